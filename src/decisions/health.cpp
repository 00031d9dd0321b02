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

// The primary of the largest term in which one is known. One that promised to a later term is a primary no more.
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

// A majority fenced or working above a term proves that its primary is superseded, even if we cannot reach it.
static bool isSuperseded(const GroupHealth& health, uint64_t term)
{
    auto above = std::ranges::count_if(health.members, [term](const MemberHealth& it) {
        return it.isKnown && std::max(it.status.term, it.status.fencedTerm) > term;
    });
    return static_cast<size_t>(above) > health.members.size() / 2;
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

// A mark is confirmed once a majority, the primary included, stood in the term when asked at or after the mark's time.
static void confirmCheckpoints(GroupHealth& health)
{
    for (auto& checkpoint : health.freshnessCheckpoints) {
        if (checkpoint.isConfirmed)
            continue;
        auto standing = std::ranges::count_if(health.members, [&](const MemberHealth& it) {
            return it.isKnown && it.askedAt >= checkpoint.askedAt && it.status.isActiveInTerm(health.term);
        });
        checkpoint.isConfirmed = static_cast<size_t>(standing) > health.members.size() / 2;
    }
}

// Marks nearer to each other than this would push out the old ones, which lagging replicas are measured by.
static bool isCheckpointDue(const GroupHealth& health, TimePoint askedAt)
{
    return health.freshnessCheckpoints.empty() || askedAt - health.freshnessCheckpoints.back().askedAt >= kFreshnessCheckpointInterval;
}

// Old marks go first, but the newest confirmed one always stays: dropping it would make a reachable group look ageless.
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

// The bound of an age stays an upper one: a glimpse of the primary shows at least the position it had when it was asked.
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
    // Of a group that nobody uses, one home watches the primary closely; it tells the others of a new one.
    bool isWatched = !timings.isIdle || (timings.isFirstHome && health.primary == index);
    auto interval = isWatched ? timings.interval : timings.idleInterval;
    // Steady answers would end just before a fault, and each detection begin a whole interval after it; without them it is
    // half of one on the mean. So the primary is given no more than that.
    auto patience = health.primary == index ? interval / 2 : interval;
    return std::min(std::max(sentAt + interval, it.askedAt + patience), sentAt + timings.fullStatusInterval);
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
