#include "decisions/freshness.h"
#include <algorithm>

namespace alderward::decisions {

// Fraction of the maximum age spent on the ping interval; the rest covers the floor's age when sent and the transfer.
static constexpr double kPingAgeFraction = 0.5;

milliseconds getPingInterval(milliseconds minAge)
{
    if (minAge.count() <= 0)
        return kMaxPingInterval;
    auto share = milliseconds(static_cast<int64_t>(kPingAgeFraction * static_cast<double>(minAge.count())));
    return std::clamp(share, kMinPingInterval, kMaxPingInterval);
}

FloorHistory addFloor(FloorHistory history, const Floor& floor)
{
    auto& floors = history.floors;
    auto it = std::ranges::upper_bound(floors, floor.coveredUntil, {}, &Floor::coveredUntil);
    // Marks never fall over time: a floor below an older one adds nothing.
    if (it != floors.begin() && std::prev(it)->mark > floor.mark)
        return history;
    // Merges floors that are closer than the spacing, but always keeps the newest one.
    bool isTooClose = it != floors.begin() && std::prev(it) != floors.begin() && floor.coveredUntil - std::prev(it, 2)->coveredUntil < kMinFloorSpacing;
    if (isTooClose && std::prev(it)->mark.term == floor.mark.term)
        *std::prev(it) = floor;
    else
        it = floors.insert(it, floor);
    while (floors.size() > 1 && floors.back().coveredUntil - floors.front().coveredUntil > kFloorRetention)
        floors.pop_front();
    return history;
}

std::optional<Mark> getFloor(const FloorHistory& history, milliseconds maximumAge, TimePoint sentAt)
{
    auto earliest = sentAt - maximumAge;
    auto it = std::ranges::lower_bound(history.floors, earliest, {}, &Floor::coveredUntil);
    return it == history.floors.end() ? std::nullopt : std::optional(it->mark);
}

bool hasLostLog(const Mark& known, const Mark& received)
{
    return received.term == known.term && received.position < known.position;
}

std::optional<Mark> getReadMark(const DatabaseRoute& route, const FloorHistory& history, const Mark& sessionCommit, TimePoint sentAt)
{
    auto floor = getFloor(history, route.maximumAge, sentAt);
    if (!floor || route.consistency != Consistency::ReadYourWrites)
        return floor;
    return std::max(*floor, sessionCommit);
}

}
