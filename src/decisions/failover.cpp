#include "decisions/failover.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::decisions {

static constexpr std::chrono::hours kPromotionWindow { 1 };

// ---- detection ----

namespace {

struct Hearing {
    size_t hear { 0 }; // reachable replicas that still hear the primary
    size_t doNotHear { 0 }; // reachable replicas that do not
};

}

static Hearing askReplicas(const FailoverView& view, size_t primary, TimePoint now)
{
    Hearing hearing;
    auto failingSince = view.health.members[primary].failingSince;
    for (size_t i = 0; i < view.health.members.size(); ++i) {
        auto& it = view.health.members[i];
        bool isFresh = it.probedAt >= failingSince && now - it.probedAt <= view.timings.freshFor;
        if (i == primary || !it.isReachable() || !isFresh)
            continue;
        // One that follows an older term was cut off by the last promotion, not by this fault.
        bool hears = it.status.term == view.health.term && it.status.heardPrimaryAgo < view.timings.unheardFor;
        ++(hears ? hearing.hear : hearing.doNotHear);
    }
    return hearing;
}

static std::string getUnreachableReason(const FailoverView& view, size_t primary, TimePoint now)
{
    auto& it = view.health.members[primary];
    if (it.failures == 0)
        return {};
    bool isRefusing = it.refusals >= 2 && now - it.failingSince >= view.timings.refusedFor;
    bool isSilent = now - it.failingSince >= view.timings.silentFor;
    if (!isRefusing && !isSilent)
        return {};
    // Too few answer to fence a majority, or one still hears the primary: then the fault is our path, not the primary.
    auto hearing = askReplicas(view, primary, now);
    if (hearing.hear > 0 || hearing.doNotHear < view.record.getMajority())
        return {};
    return fmt::format("primary {} {} and {} replicas do not hear it", view.record.members[primary].name, isRefusing ? "refuses connections" : "does not answer", hearing.doNotHear);
}

std::string getDownReason(const FailoverView& view, TimePoint now)
{
    if (view.health.primary)
        return getUnreachableReason(view, *view.health.primary, now);
    auto reachable = std::ranges::count_if(view.health.members, &MemberHealth::isReachable);
    if (static_cast<size_t>(reachable) < view.record.getMajority())
        return {};
    if (now - view.health.withoutPrimarySince < view.timings.silentFor)
        return {};
    return "no member is primary";
}

// ---- small steps ----

static void setPhase(FailoverState& state, FailoverPhase phase, TimePoint now)
{
    state.phase = phase;
    state.phaseSince = now;
}

static void endAttempt(FailoverStep& step, const FailoverView& view, TimePoint now, const std::string& why)
{
    if (!why.empty())
        step.actions.emplace_back(Note { "promotion-ended", fmt::format("term {}: {}", step.state.term, why) });
    setPhase(step.state, FailoverPhase::Idle, now);
    step.state.notBefore = now + view.timings.retryAfter;
    step.state.grants.clear();
    step.state.refusals.clear();
    step.state.chosen.reset();
    step.state.isPlanned = false;
}

// Why the record's bounds forbid an automatic promotion now; empty if they do not.
static std::string getBound(const FailoverView& view, FailoverState& state, TimePoint now)
{
    auto& limits = view.record.promotion;
    while (!state.promotions.empty() && now - state.promotions.front() > kPromotionWindow)
        state.promotions.pop_front();
    if (limits.mode == PromotionMode::Off)
        return "the record has promotion mode off";
    if (!state.promotions.empty() && now - state.promotions.back() < limits.minInterval)
        return fmt::format("the last promotion is less than {} ms ago", limits.minInterval.count());
    if (state.promotions.size() >= limits.maxPerHour)
        return fmt::format("{} promotions within an hour", state.promotions.size());
    return {};
}

static bool canAllFence(const FailoverView& view)
{
    return std::ranges::all_of(view.record.members, &MemberRecord::canFence);
}

static uint64_t getNextTerm(const FailoverView& view, const FailoverState& state)
{
    return 1 + std::max({ getHighestTerm(view.health), state.highestTerm, view.health.term });
}

static void beginClaiming(FailoverStep& step, const FailoverView& view, TimePoint now)
{
    step.state.term = getNextTerm(view, step.state);
    setPhase(step.state, FailoverPhase::Claiming, now);
    step.actions.emplace_back(Note { "promotion-began", fmt::format("term {}: {}", step.state.term, step.state.cause) });
    step.actions.emplace_back(WriteClaim { step.state.term });
}

static void beginFencing(FailoverStep& step, const FailoverView& view, TimePoint now)
{
    setPhase(step.state, FailoverPhase::Fencing, now);
    for (size_t i = 0; i < view.record.members.size(); ++i) {
        if (!step.state.grants.contains(i))
            step.actions.emplace_back(SendFence { step.state.term, i });
    }
}

// The claim decides for a group whose members cannot fence: the store takes only one claim for a term, promote() at the
// claimed term opens it, and follow() at the higher term closes the old one.
static std::optional<size_t> chooseWithoutFence(const FailoverView& view)
{
    std::optional<size_t> best;
    for (size_t i = 0; i < view.health.members.size(); ++i) {
        auto& it = view.health.members[i];
        if (!it.isReachable() || view.isLeaving[i] || view.health.primary == i)
            continue;
        auto place = [&](size_t n) { return std::pair(view.health.members[n].status.log.term, view.health.members[n].status.log.position); };
        if (!best || place(i) > place(*best))
            best = i;
    }
    return best;
}

static void beginPromoting(FailoverStep& step, TimePoint now, size_t member)
{
    step.state.chosen = member;
    setPhase(step.state, FailoverPhase::Promoting, now);
    step.actions.emplace_back(SendPromote { step.state.term, member });
}

static void beginAfterClaim(FailoverStep& step, const FailoverView& view, TimePoint now)
{
    if (!canAllFence(view)) {
        auto member = chooseWithoutFence(view);
        if (!member)
            return endAttempt(step, view, now, "no reachable member to promote");
        return beginPromoting(step, now, *member);
    }
    if (step.state.isPlanned && view.health.primary) {
        setPhase(step.state, FailoverPhase::Draining, now);
        step.actions.emplace_back(SendFence { step.state.term, *view.health.primary });
        return;
    }
    beginFencing(step, view, now);
}

// ---- fencing ----

// The highest (term, position) among the grants. A leaving member is taken only if no other is as far.
static size_t chooseHighest(const FailoverView& view, const FailoverState& state)
{
    auto place = [&](const std::pair<const size_t, FenceAnswer>& it) {
        return std::tuple(it.second.log.term, it.second.log.position, !view.isLeaving[it.first], it.first);
    };
    auto best = std::ranges::max_element(state.grants, {}, place);
    return best->first;
}

static void considerGrants(FailoverStep& step, const FailoverView& view, TimePoint now)
{
    auto& state = step.state;
    auto members = view.record.members.size();
    auto majority = view.record.getMajority();
    if (state.grants.size() + (members - state.refusals.size() - state.grants.size()) < majority)
        return endAttempt(step, view, now, "a majority cannot be fenced");
    if (state.grants.size() < majority)
        return;
    if (state.majorityAt < state.phaseSince)
        state.majorityAt = now;
    bool allAnswered = state.grants.size() + state.refusals.size() == members;
    if (allAnswered || now - state.majorityAt >= view.timings.fenceGrace)
        beginPromoting(step, now, chooseHighest(view, state));
}

static void takeFence(FailoverStep& step, const FailoverView& view, const FenceAnswered& event, TimePoint now)
{
    auto& state = step.state;
    if (event.answer)
        state.highestTerm = std::max(state.highestTerm, event.answer->fencedTerm);
    bool isOurs = event.term == state.term && event.member < view.record.members.size()
        && (state.phase == FailoverPhase::Fencing || state.phase == FailoverPhase::Draining);
    if (!isOurs)
        return;
    if (event.answer && event.answer->isGranted)
        state.grants[event.member] = *event.answer;
    else
        state.refusals.insert(event.member);
    if (state.phase == FailoverPhase::Fencing)
        return considerGrants(step, view, now);
    if (!event.answer || !event.answer->isGranted)
        endAttempt(step, view, now, "the leaving primary did not grant the term");
}

// ---- planned hand-over ----

static bool hasCaughtUp(const FailoverView& view, const FailoverState& state)
{
    if (!view.health.primary || !state.grants.contains(*view.health.primary))
        return false;
    auto& wanted = state.grants.at(*view.health.primary).log;
    for (size_t i = 0; i < view.health.members.size(); ++i) {
        auto& it = view.health.members[i];
        if (i != *view.health.primary && it.isReachable() && !view.isLeaving[i] && it.status.log.term == wanted.term && it.status.log.position >= wanted.position)
            return true;
    }
    return false;
}

static bool canHandOver(const FailoverView& view, TimePoint now)
{
    if (!view.health.primary || !view.isLeaving[*view.health.primary] || !canAllFence(view))
        return false;
    for (size_t i = 0; i < view.health.members.size(); ++i) {
        auto& it = view.health.members[i];
        if (i == *view.health.primary || !it.isReachable() || view.isLeaving[i])
            continue;
        auto age = getAgeBound(view.health, it.status.log.term, it.status.log.position, now);
        if (age && *age <= view.timings.handOverLag + view.timings.silentFor)
            return true;
    }
    return false;
}

// ---- ticks by phase ----

static void holdBack(FailoverStep& step, const std::string& why)
{
    if (step.state.heldBack != why && !why.empty())
        step.actions.emplace_back(Note { "promotion-held-back", why });
    step.state.heldBack = why;
}

static void tickIdle(FailoverStep& step, const FailoverView& view, TimePoint now)
{
    auto& state = step.state;
    auto reason = getDownReason(view, now);
    bool isPlanned = reason.empty() && canHandOver(view, now);
    if (isPlanned)
        reason = "primary " + view.record.members[*view.health.primary].name + " is leaving";
    if (reason.empty())
        return holdBack(step, {});
    auto bound = isPlanned && view.record.promotion.mode == PromotionMode::Automatic ? std::string() : getBound(view, state, now);
    if (!bound.empty())
        return holdBack(step, bound + "; " + reason);
    holdBack(step, {});
    if (now < state.notBefore)
        return;
    state.cause = reason;
    state.isPlanned = isPlanned;
    state.beganAt = now;
    if (view.rank == 0)
        return beginClaiming(step, view, now);
    setPhase(state, FailoverPhase::Waiting, now);
}

static void tickWaiting(FailoverStep& step, const FailoverView& view, TimePoint now)
{
    bool isStillDue = step.state.isPlanned ? canHandOver(view, now) : !getDownReason(view, now).empty();
    if (!isStillDue)
        return setPhase(step.state, FailoverPhase::Idle, now);
    if (now - step.state.phaseSince >= view.timings.turnLength * static_cast<int>(view.rank))
        beginClaiming(step, view, now);
}

// After a pause every probe looks failed and every answer is old: wait until new answers are in.
static void notePause(FailoverState& state, const FailoverView& view, TimePoint now)
{
    bool wasPaused = state.tickedAt != TimePoint {} && now - state.tickedAt > view.timings.pauseLimit;
    if (wasPaused)
        state.notBefore = std::max(state.notBefore, now + view.timings.silentFor);
    state.tickedAt = now;
}

static void tick(FailoverStep& step, const FailoverView& view, TimePoint now)
{
    auto& state = step.state;
    notePause(state, view, now);
    auto elapsed = now - state.phaseSince;
    bool hasMovedOn = state.phase != FailoverPhase::Idle && view.health.primary && view.health.term >= state.term && state.term > 0 && state.phase != FailoverPhase::Waiting;
    if (hasMovedOn)
        return endAttempt(step, view, now, fmt::format("term {} has a primary", view.health.term));
    switch (state.phase) {
    case FailoverPhase::Idle:
        return tickIdle(step, view, now);
    case FailoverPhase::Waiting:
        return tickWaiting(step, view, now);
    case FailoverPhase::Claiming:
        // The controller answers within claimLimit; twice that means that its answer is lost.
        if (elapsed >= view.timings.claimLimit * 2)
            endAttempt(step, view, now, "no answer about the claim");
        return;
    case FailoverPhase::Draining:
        if (hasCaughtUp(view, state))
            return beginFencing(step, view, now);
        if (elapsed >= view.timings.drainLimit)
            endAttempt(step, view, now, "no replica caught up in time");
        return;
    case FailoverPhase::Fencing:
        considerGrants(step, view, now);
        if (step.state.phase == FailoverPhase::Fencing && elapsed >= view.timings.fenceLimit)
            endAttempt(step, view, now, "fencing took too long");
        return;
    case FailoverPhase::Promoting:
        if (elapsed >= view.timings.promoteLimit)
            endAttempt(step, view, now, "no answer to promote");
        return;
    }
}

// ---- other events ----

static void takeClaim(FailoverStep& step, const FailoverView& view, const ClaimAnswered& event, TimePoint now)
{
    auto& state = step.state;
    state.highestTerm = std::max(state.highestTerm, event.storedTerm);
    if (state.phase != FailoverPhase::Claiming || event.term != state.term)
        return;
    if (event.outcome == ClaimOutcome::Lost)
        return endAttempt(step, view, now, "another host claimed the term");
    if (event.outcome == ClaimOutcome::Unavailable && !canAllFence(view))
        return endAttempt(step, view, now, "the store is out of reach and the members cannot fence");
    beginAfterClaim(step, view, now);
}

static void takePromote(FailoverStep& step, const FailoverView& view, const PromoteAnswered& event, TimePoint now)
{
    auto& state = step.state;
    if (state.phase != FailoverPhase::Promoting || event.term != state.term)
        return;
    if (!event.isDone)
        return endAttempt(step, view, now, "the chosen member refused or did not answer");
    auto primary = *state.chosen;
    state.promotedTerm = state.term;
    step.actions.emplace_back(Note { "promoted", fmt::format("{} in term {}: {}", view.record.members[primary].name, state.term, state.cause) });
    for (size_t i = 0; i < view.record.members.size(); ++i) {
        if (i != primary)
            step.actions.emplace_back(SendFollow { state.term, i, primary });
    }
    step.actions.emplace_back(Announce { state.term, primary });
    if (!state.isPlanned)
        state.promotions.push_back(now);
    endAttempt(step, view, now, {});
}

FailoverStep stepFailover(const FailoverView& view, FailoverState state, const FailoverEvent& event, TimePoint now)
{
    FailoverStep step { std::move(state), {} };
    if (std::holds_alternative<Tick>(event))
        tick(step, view, now);
    else if (auto* claim = std::get_if<ClaimAnswered>(&event))
        takeClaim(step, view, *claim, now);
    else if (auto* fence = std::get_if<FenceAnswered>(&event))
        takeFence(step, view, *fence, now);
    else if (auto* promote = std::get_if<PromoteAnswered>(&event))
        takePromote(step, view, *promote, now);
    return step;
}

// A member that was away during a promotion learns of it here. It has not granted a later term, or it would refuse.
std::vector<SendFollow> getFollowers(const GroupRecord& record, const GroupHealth& health)
{
    std::vector<SendFollow> actions;
    if (!health.primary || !health.members[*health.primary].isReachable())
        return actions;
    auto& primaryName = record.members[*health.primary].name;
    for (size_t i = 0; i < health.members.size(); ++i) {
        auto& it = health.members[i];
        if (i == *health.primary || !it.isReachable() || it.status.term > health.term || it.status.fencedTerm > health.term)
            continue;
        if (it.status.term < health.term || it.status.primary != primaryName)
            actions.push_back({ health.term, i, *health.primary });
    }
    return actions;
}

}
