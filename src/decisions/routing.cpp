#include "decisions/routing.h"
#include <algorithm>
#include <tuple>

namespace alderward::decisions {

// A replica that lags by no more than this is asked to wait for the mark; otherwise the primary answers sooner.
static constexpr milliseconds kCatchUpAllowance { 3 };

namespace {

// A member that can serve a read, with the properties that rank it.
struct Candidate {
    size_t index { 0 };
    bool mustWait { false };
    bool mustConfirm { false }; // its freshness is known only after a confirmation
    bool hasWaiting { false }; // it has queued statements
    bool isPrimary { false };
    bool isFar { false };
    unsigned outstanding { 0 };

    // A replica without a queue precedes the primary even in another data centre: the longer round trip costs a read less
    // than a read at the primary costs the writes.
    auto rank() const { return std::tuple(mustWait || mustConfirm, hasWaiting, isPrimary, isFar, outstanding, index); }
};

struct ReadRejections {
    bool anyReachable { false };
    bool anyBehind { false };
    bool anyTooOld { false };
    size_t lost { 0 };
    uint64_t newestLostTerm { 0 }; // newest term of a log that has lost the mark
    Mark markAfterLoss {}; // in that log
};

}

// Returns the log state from the last probe, advanced to the newest position seen in answers to statements of the current term.
static LogState getNewestLog(const MemberHealth& it, const TargetLoad& load, uint64_t term)
{
    auto log = it.status.log;
    if (log.term == term)
        log.position = std::max(log.position, load.knownPosition);
    return log;
}

static bool isFreshEnough(const GroupHealth& health, const LogState& log, const ReadRequirements& need, TimePoint now)
{
    if (!need.maximumAge)
        return true;
    auto age = getStalenessBound(health, log.term, log.position, now);
    return age && *age <= *need.maximumAge;
}

static bool isMajorityReachable(const GroupHealth& health)
{
    auto n = std::ranges::count_if(health.members, &MemberHealth::isReachable);
    return static_cast<size_t>(n) > health.members.size() / 2;
}

// Whether the replica is so little behind that it can be asked to wait for the mark.
static bool canCatchUpSoon(const GroupHealth& health, const LogState& log, const Mark& mark, TimePoint now)
{
    if (log.term != mark.term || log.term != health.term)
        return false;
    auto age = getStalenessBound(health, log.term, log.position, now);
    auto newest = health.freshnessCheckpoints.empty() ? TimePoint {} : health.freshnessCheckpoints.back().askedAt;
    return age && now - *age + kCatchUpAllowance >= newest;
}

static std::optional<Candidate> evaluateMember(const GroupHealth& health, size_t i, const TargetLoad& load, const ReadRequirements& need, TimePoint now, ReadRejections& rejections)
{
    if (!load.isUsable)
        return std::nullopt;
    rejections.anyReachable = true;
    auto log = getNewestLog(health.members[i], load, health.term);
    bool isPrimary = health.primary == i;
    Candidate candidate { i, false, false, load.waiting > 0, isPrimary, !load.isNear, load.waiting + load.running };
    switch (getContainment(log, need.mark)) {
    case Containment::Lost:
        ++rejections.lost;
        if (log.term > rejections.newestLostTerm) {
            rejections.newestLostTerm = log.term;
            rejections.markAfterLoss = getMarkAfterLoss(log, need.mark);
        }
        return std::nullopt;
    case Containment::Behind:
        rejections.anyBehind = true;
        if (std::ranges::find(need.tried, i) != need.tried.end())
            return std::nullopt;
        // The position from the last probe is outdated: the primary holds all that the session has seen of its term.
        if (isPrimary && need.mark.term == health.term)
            break;
        if (!canCatchUpSoon(health, log, need.mark, now))
            return std::nullopt;
        candidate.mustWait = true;
        break;
    case Containment::Contained:
        break;
    }
    if (isFreshEnough(health, log, need, now))
        return candidate;
    // The primary's data is current if a majority confirms its term after the read, which needs a reachable majority.
    candidate.mustConfirm = isPrimary && isMajorityReachable(health);
    if (!candidate.mustConfirm) {
        rejections.anyTooOld = true;
        return std::nullopt;
    }
    return candidate;
}

static Route refuseRead(const ReadRejections& rejections, const GroupHealth& health)
{
    if (rejections.lost > 0 && rejections.lost > health.members.size() / 2)
        return { RouteKind::Refuse, 0, {}, ErrorKind::SessionWritesLost, rejections.markAfterLoss };
    if (rejections.anyTooOld)
        return { RouteKind::Wait, 0, {}, ErrorKind::TooStale };
    if (rejections.anyBehind || rejections.anyReachable)
        return { RouteKind::Wait, 0, {}, ErrorKind::NotCaughtUp };
    return { RouteKind::Wait, 0, {}, ErrorKind::NoPrimary };
}

Route routeRead(const GroupHealth& health, const std::vector<TargetLoad>& loads, const ReadRequirements& need, TimePoint now)
{
    std::optional<Candidate> best;
    ReadRejections rejections;
    for (size_t i = 0; i < health.members.size(); ++i) {
        auto candidate = evaluateMember(health, i, loads[i], need, now, rejections);
        if (candidate && (!best || candidate->rank() < best->rank()))
            best = candidate;
    }
    if (!best)
        return refuseRead(rejections, health);
    return { RouteKind::Member, best->index, best->mustWait ? kCatchUpAllowance * 2 : milliseconds(0), {} };
}

Route routeWrite(const GroupHealth& health, const std::vector<TargetLoad>& loads, const Mark& mark)
{
    if (!health.primary || !loads[*health.primary].isUsable)
        return { RouteKind::Wait, 0, {}, ErrorKind::NoPrimary };
    auto& log = health.members[*health.primary].status.log;
    if (log.term == health.term && getContainment(log, mark) == Containment::Lost)
        return { RouteKind::Refuse, 0, {}, ErrorKind::SessionWritesLost, getMarkAfterLoss(log, mark) };
    if (mark.term > health.term)
        return { RouteKind::Wait, 0, {}, ErrorKind::NotCaughtUp };
    return { RouteKind::Member, *health.primary, {}, {} };
}

bool canHoldWrite(const WriteHoldConditions& conditions, TimePoint now)
{
    if (conditions.held >= conditions.maxHeld || conditions.isPromotionHeldBack || conditions.isPathFault)
        return false;
    auto reachable = std::ranges::count_if(conditions.health.members, &MemberHealth::isReachable);
    bool isMajorityReachable = static_cast<size_t>(reachable) >= conditions.majority;
    // A host that has just become a home has not yet probed every member, so one of the others may be the primary.
    bool isStarting = std::ranges::any_of(conditions.health.members, [](const MemberHealth& it) { return !it.isKnown && it.failures == 0; });
    return (isMajorityReachable || isStarting) && now - conditions.primaryLostAt < conditions.limit;
}

bool wasPrimaryOfTerm(uint64_t term, const Mark& log, const PiggybackedStatus& status)
{
    if (term == 0)
        return false;
    return status.term == 0 ? log.term == term : status.term == term && status.fencedTerm <= term;
}

Confirmation confirmWrite(const PendingWrite& write, const std::vector<ConfirmationReply>& replies, size_t members)
{
    size_t confirmed = 1;
    size_t later = 0;
    for (auto& it : replies) {
        if (std::max(it.term, it.fencedTerm) > write.mark.term) {
            ++later;
            continue;
        }
        bool isInTerm = it.term == write.mark.term && it.fencedTerm <= write.mark.term;
        bool hasEntry = it.position >= write.mark.position;
        // Holding the entry proves that the member replied after the write ran, whatever the clocks say.
        if (isInTerm && (hasEntry || (!write.needsPosition && it.askedAt >= write.ranAt)))
            ++confirmed;
    }
    size_t majority = members / 2 + 1;
    if (confirmed >= majority)
        return Confirmation::Confirmed;
    return later >= majority ? Confirmation::Superseded : Confirmation::Pending;
}

}
