#include "decisions/health.h"
#include <algorithm>

namespace alderward::decisions {

GroupHealth makeHealth(const GroupRecord& record, TimePoint now)
{
    GroupHealth health;
    health.members.resize(record.members.size());
    health.withoutPrimarySince = now;
    return health;
}

uint64_t getHighestTerm(const GroupHealth& health)
{
    uint64_t highest = 0;
    for (auto& it : health.members)
        highest = std::max({ highest, it.status.term, it.status.fencedTerm });
    return highest;
}

// Finds the primary of the highest term. A primary that granted a later term no longer counts.
static std::optional<size_t> findPrimary(const GroupHealth& health)
{
    std::optional<size_t> found;
    for (size_t i = 0; i < health.members.size(); ++i) {
        auto& it = health.members[i];
        if (!it.isKnown || it.status.role != Role::Primary || it.status.fencedTerm > it.status.term)
            continue;
        if (!found || it.status.term > health.members[*found].status.term)
            found = i;
    }
    return found;
}

// Once a majority is in or has granted a higher term, the primary is superseded, even if it cannot be reached.
static bool isSuperseded(const GroupHealth& health, uint64_t term)
{
    auto inHigherTerm = std::ranges::count_if(health.members, [term](const MemberHealth& it) {
        return it.isKnown && std::max(it.status.term, it.status.fencedTerm) > term;
    });
    return static_cast<size_t>(inHigherTerm) > health.members.size() / 2;
}

static void updatePrimary(GroupHealth& health, TimePoint now)
{
    auto found = findPrimary(health);
    if (found && isSuperseded(health, health.members[*found].status.term))
        found.reset();
    auto term = found ? health.members[*found].status.term : health.term;
    if (health.primary && !found)
        health.withoutPrimarySince = now;
    if (term != health.term)
        health.freshnessCheckpoints.clear();
    health.primary = found;
    health.term = term;
}

// Confirms checkpoints for which a majority, including the primary, was active in the term in answers to later probes.
static void confirmCheckpoints(GroupHealth& health)
{
    for (auto& checkpoint : health.freshnessCheckpoints) {
        if (checkpoint.isConfirmed)
            continue;
        auto active = std::ranges::count_if(health.members, [&](const MemberHealth& it) {
            return it.isKnown && it.askedAt >= checkpoint.askedAt && it.status.isActiveInTerm(health.term);
        });
        checkpoint.isConfirmed = static_cast<size_t>(active) > health.members.size() / 2;
    }
}

// A minimum interval keeps frequent replies from evicting the old checkpoints that lagging replicas need.
static bool isCheckpointDue(const GroupHealth& health, TimePoint askedAt)
{
    return health.freshnessCheckpoints.empty() || askedAt - health.freshnessCheckpoints.back().askedAt >= kFreshnessCheckpointInterval;
}

// Evicts the oldest checkpoint, but never the newest confirmed one: without it, no staleness bound would be known.
static void addCheckpoint(GroupHealth& health, const FreshnessCheckpoint& checkpoint)
{
    health.freshnessCheckpoints.push_back(checkpoint);
    if (health.freshnessCheckpoints.size() <= kMaxFreshnessCheckpoints)
        return;
    auto newestConfirmed = std::ranges::find_if(health.freshnessCheckpoints.rbegin(), health.freshnessCheckpoints.rend(), &FreshnessCheckpoint::isConfirmed);
    auto victim = health.freshnessCheckpoints.begin();
    if (newestConfirmed != health.freshnessCheckpoints.rend() && std::prev(newestConfirmed.base()) == victim)
        ++victim;
    health.freshnessCheckpoints.erase(victim);
}

GroupHealth applyStatus(GroupHealth health, size_t index, const MemberStatus& status, TimePoint askedAt, TimePoint now)
{
    auto& it = health.members[index];
    if (it.isKnown && askedAt < it.askedAt)
        return health;
    it.isKnown = true;
    it.status = status;
    it.askedAt = askedAt;
    it.probedAt = askedAt;
    it.failures = 0;
    it.refusals = 0;
    updatePrimary(health, now);
    if (health.primary == index && isCheckpointDue(health, askedAt))
        addCheckpoint(health, { askedAt, status.log.position, false });
    confirmCheckpoints(health);
    return health;
}

bool matchesLastStatus(const MemberHealth& member, const PiggybackedStatus& piggybacked)
{
    auto& status = member.status;
    return piggybacked.term == status.term && piggybacked.fencedTerm == status.fencedTerm && piggybacked.log.term == status.log.term;
}

// The staleness bound stays an upper bound: the primary reports at least the position that it had at `askedAt`.
GroupHealth applyPiggybackedStatus(GroupHealth health, size_t index, const PiggybackedStatus& piggybacked, TimePoint askedAt, TimePoint now)
{
    auto& it = health.members[index];
    if (!it.isReachable() || askedAt < it.askedAt || !matchesLastStatus(it, piggybacked))
        return health;
    auto probedAt = it.probedAt;
    auto status = it.status;
    status.log.position = std::max(status.log.position, piggybacked.log.position);
    health = applyStatus(std::move(health), index, status, askedAt, now);
    health.members[index].probedAt = probedAt;
    return health;
}

bool isGroupHealthy(const GroupHealth& health)
{
    return health.primary && std::ranges::all_of(health.members, [&](const MemberHealth& it) {
        return it.isReachable() && it.status.isActiveInTerm(health.term);
    });
}

TimePoint getNextProbeTime(const GroupHealth& health, size_t index, TimePoint sentAt, const ProbeTimings& timings)
{
    auto& it = health.members[index];
    if (!it.isReachable())
        return sentAt + timings.unreachableInterval;
    if (!isGroupHealthy(health))
        return sentAt + timings.interval;
    // Only the first home probes the primary of an idle group at the full rate; it notifies the others of a new primary.
    bool isWatched = !timings.isIdle || (timings.isFirstHome && health.primary == index);
    auto interval = isWatched ? timings.interval : timings.idleInterval;
    // Under steady traffic the last reply comes just before a fault, which would delay its detection by a whole interval.
    // Half an interval for the primary matches the mean delay without traffic.
    auto maxSilence = health.primary == index ? interval / 2 : interval;
    return std::min(std::max(sentAt + interval, it.askedAt + maxSilence), sentAt + timings.fullStatusInterval);
}

GroupHealth applyProbeFailure(GroupHealth health, size_t index, bool wasRefused, TimePoint askedAt)
{
    auto& it = health.members[index];
    if (it.isKnown && askedAt < it.askedAt)
        return health;
    if (it.failures == 0)
        it.failingSince = askedAt;
    ++it.failures;
    it.refusals = wasRefused ? it.refusals + 1 : 0;
    return health;
}

GroupHealth updateForRecord(const GroupHealth& health, const GroupRecord& before, const GroupRecord& after, TimePoint now)
{
    auto changed = makeHealth(after, now);
    for (size_t i = 0; i < after.members.size(); ++i) {
        auto it = std::ranges::find_if(before.members, [&](const MemberRecord& old) {
            return old.name == after.members[i].name && old.address == after.members[i].address;
        });
        if (it != before.members.end())
            changed.members[i] = health.members[static_cast<size_t>(it - before.members.begin())];
    }
    changed.term = health.term;
    updatePrimary(changed, now);
    return changed;
}

std::optional<milliseconds> getStalenessBound(const GroupHealth& health, uint64_t term, uint64_t position, TimePoint now)
{
    if (term != health.term)
        return std::nullopt;
    auto it = std::ranges::find_if(health.freshnessCheckpoints.rbegin(), health.freshnessCheckpoints.rend(), [position](const FreshnessCheckpoint& checkpoint) {
        return checkpoint.isConfirmed && checkpoint.position <= position;
    });
    if (it == health.freshnessCheckpoints.rend())
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now - it->askedAt);
}

}
