#include "gateway/status_exchange.h"
#include <algorithm>

namespace alderward::gateway {

using std::chrono::duration_cast;
using std::chrono::microseconds;

static constexpr milliseconds kProofSharingTime { 1000 }; // how long this host's own confirmation of a primary is reported
static constexpr milliseconds kRelayedFloorSharingTime { 2000 }; // how long a floor from another host is reported; older ones are of no use to reads

static uint64_t getAgeUs(TimePoint since, TimePoint now)
{
    return static_cast<uint64_t>(duration_cast<microseconds>(now - since).count());
}

void writeGroupStatus(peer::Pong& wire, const ClusterView& view, bool withRelayed, TimePoint now)
{
    for (auto& [name, group] : view.groups) {
        if (group.floors.isEmpty())
            continue;
        auto& newest = group.floors.floors.back();
        bool isProven = now - group.lastProofAt <= kProofSharingTime;
        bool isRelayed = withRelayed && now - newest.coveredUntil <= kRelayedFloorSharingTime;
        if (!isProven && !isRelayed)
            continue;
        auto& floor = *wire.add_floors();
        floor.set_group(name);
        encodeMark(*floor.mutable_mark(), newest.mark);
        floor.set_age_us(getAgeUs(newest.coveredUntil, now));
        // An ordered promotion is reported while it is pending, for hosts without a connection to the coordinator. Later an assumed term is not.
        bool isOrdered = isProven && now < group.promotionPendingUntil;
        if (group.primary.term != newest.mark.term && !isOrdered)
            continue;
        auto& primary = *wire.add_leads();
        primary.set_group(name);
        primary.set_member(group.primary.member);
        primary.set_term(group.primary.term);
    }
}

// The fields `floors` and `leads` list groups in the same order, and each group in `leads` is also in `floors`.
std::vector<std::optional<TimePoint>> findEvidenceTimes(const peer::Pong& wire, TimePoint sentAt)
{
    std::vector<std::optional<TimePoint>> times;
    auto floor = wire.floors().begin();
    for (auto& primary : wire.leads()) {
        floor = std::find_if(floor, wire.floors().end(), [&](const peer::Floor& it) { return it.group() == primary.group(); });
        bool hasEvidence = floor != wire.floors().end() && floor->mark().term() == primary.term();
        times.push_back(hasEvidence ? std::optional(sentAt - microseconds(floor->age_us())) : std::nullopt);
    }
    return times;
}

void writePosition(peer::Load& wire, const ClusterView& view, TimePoint now)
{
    auto it = view.members.find(wire.member());
    if (it == view.members.end() || it->second.progress.position.term == 0)
        return;
    encodeMark(*wire.mutable_position(), it->second.progress.position);
    wire.set_position_age_us(getAgeUs(it->second.progress.observedAt, now));
}

void applyPositions(ClusterView& view, const peer::Pong& wire, TimePoint sentAt)
{
    for (auto& it : wire.loads()) {
        auto member = view.members.find(it.member());
        if (member == view.members.end() || !it.has_position())
            continue;
        auto& progress = member->second.progress;
        progress = decisions::applyPosition(progress, decodeMark(it.position()), sentAt - microseconds(it.position_age_us()));
    }
}

}
