#include "decisions/freshness.h"
#include <algorithm>

namespace alderward::decisions {

// Of a stated age, what is left for the interval: a floor is up to a proof's interval old when it is told, and the ping itself takes time.
static constexpr double kShareForPings = 0.5;

milliseconds getPingInterval(milliseconds leastAge)
{
    if (leastAge.count() <= 0)
        return kPingIntervalMost;
    auto share = milliseconds(static_cast<int64_t>(kShareForPings * static_cast<double>(leastAge.count())));
    return std::clamp(share, kPingIntervalLeast, kPingIntervalMost);
}

FloorHistory takeFloor(FloorHistory history, const Floor& floor)
{
    auto& floors = history.floors;
    auto it = std::ranges::upper_bound(floors, floor.since, {}, &Floor::since);
    // Marks and times rise together; a floor that says less than an older one says nothing.
    if (it != floors.begin() && std::prev(it)->mark > floor.mark)
        return history;
    // Two in one step: the younger one stands for both, unless it is the newest of all, which is always kept.
    bool isCrowded = it != floors.begin() && std::prev(it) != floors.begin() && floor.since - std::prev(it, 2)->since < kFloorStep;
    if (isCrowded && std::prev(it)->mark.term == floor.mark.term)
        *std::prev(it) = floor;
    else
        it = floors.insert(it, floor);
    while (floors.size() > 1 && floors.back().since - floors.front().since > kFloorMemory)
        floors.pop_front();
    return history;
}

std::optional<Mark> getFloor(const FloorHistory& history, milliseconds maximumAge, TimePoint sent)
{
    auto oldest = sent - maximumAge;
    auto it = std::ranges::lower_bound(history.floors, oldest, {}, &Floor::since);
    return it == history.floors.end() ? std::nullopt : std::optional(it->mark);
}

bool hasLostLog(const Mark& known, const Mark& received)
{
    return received.term == known.term && received.position < known.position;
}

std::optional<Mark> getReadMark(const DatabaseRoute& route, const FloorHistory& history, const Mark& sessionCommit, TimePoint sent)
{
    auto floor = getFloor(history, route.maximumAge, sent);
    if (!floor || route.consistency != Consistency::ReadYourWrites)
        return floor;
    return std::max(*floor, sessionCommit);
}

}
