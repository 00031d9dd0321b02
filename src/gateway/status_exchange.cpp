#include "gateway/status_exchange.h"
#include <algorithm>

namespace alderward::gateway {

using std::chrono::duration_cast;
using std::chrono::microseconds;

static constexpr milliseconds kProofToldFor { 1000 }; // a proof of ours is told to others this long
static constexpr milliseconds kHeardToldFor { 2000 }; // a floor that was heard; an older one helps no read

static uint64_t getAgeUs(TimePoint since, TimePoint now)
{
    return static_cast<uint64_t>(duration_cast<microseconds>(now - since).count());
}

void writeGroups(peer::Pong& wire, const ClusterView& view, bool withHeard, TimePoint now)
{
    for (auto& [name, group] : view.groups) {
        if (group.floors.isEmpty())
            continue;
        auto& newest = group.floors.floors.back();
        bool isProven = now - group.lastProofAt <= kProofToldFor;
        bool isHeard = withHeard && now - newest.coveredUntil <= kHeardToldFor;
        if (!isProven && !isHeard)
            continue;
        auto& floor = *wire.add_floors();
        floor.set_group(name);
        writeMark(*floor.mutable_mark(), newest.mark);
        floor.set_age_us(getAgeUs(newest.coveredUntil, now));
        // Hosts that the orderer has no connection to hear of an order from those that have one; after the order's time an assumed term is told no more.
        bool isOrdered = isProven && now < group.promotionPendingUntil;
        if (group.primary.term != newest.mark.term && !isOrdered)
            continue;
        auto& lead = *wire.add_leads();
        lead.set_group(name);
        lead.set_member(group.primary.member);
        lead.set_term(group.primary.term);
    }
}

// Floors and leads stand in the same order, a floor for each lead.
std::vector<std::optional<TimePoint>> findLeadTimes(const peer::Pong& wire, TimePoint sentAt)
{
    std::vector<std::optional<TimePoint>> times;
    auto floor = wire.floors().begin();
    for (auto& lead : wire.leads()) {
        floor = std::find_if(floor, wire.floors().end(), [&](const peer::Floor& it) { return it.group() == lead.group(); });
        bool isShown = floor != wire.floors().end() && floor->mark().term() == lead.term();
        times.push_back(isShown ? std::optional(sentAt - microseconds(floor->age_us())) : std::nullopt);
    }
    return times;
}

void writePosition(peer::Load& wire, const ClusterView& view, TimePoint now)
{
    auto it = view.members.find(wire.member());
    if (it == view.members.end() || it->second.progress.position.term == 0)
        return;
    writeMark(*wire.mutable_position(), it->second.progress.position);
    wire.set_position_age_us(getAgeUs(it->second.progress.observedAt, now));
}

void takePositions(ClusterView& view, const peer::Pong& wire, TimePoint sentAt)
{
    for (auto& it : wire.loads()) {
        auto member = view.members.find(it.member());
        if (member == view.members.end() || !it.has_position())
            continue;
        auto& progress = member->second.progress;
        progress = decisions::applyPosition(progress, readMark(it.position()), sentAt - microseconds(it.position_age_us()));
    }
}

}
