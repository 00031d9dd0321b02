#include "decisions/failover.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::decisions {

static constexpr std::chrono::hours kPromotionWindow { 1 };

// ---- detection ----

namespace {

struct PrimaryContacts {
    size_t withContact { 0 }; // reachable replicas with recent contact to the primary
    size_t withoutContact { 0 }; // reachable replicas without
};

}

static PrimaryContacts countPrimaryContacts(const FailoverContext& context, size_t primary, TimePoint now)
{
    PrimaryContacts contacts;
    auto failingSince = context.health.members[primary].failingSince;
    for (size_t i = 0; i < context.health.members.size(); ++i) {
        auto& it = context.health.members[i];
        bool isFresh = it.probedAt >= failingSince && now - it.probedAt <= context.timings.maxStatusAge;
        if (i == primary || !it.isReachable() || !isFresh)
            continue;
        // A replica in an older term lost contact through the last promotion, not through a failure of the current primary.
        bool hasContact = it.status.term == context.health.term && it.status.primaryContactAge < context.timings.primaryContactTimeout;
        ++(hasContact ? contacts.withContact : contacts.withoutContact);
    }
    return contacts;
}

static std::string getPrimaryUnreachableReason(const FailoverContext& context, size_t primary, TimePoint now)
{
    auto& it = context.health.members[primary];
    if (it.failures == 0)
        return {};
    bool isRefusing = it.refusals >= 2 && now - it.failingSince >= context.timings.refusalTimeout;
    bool isSilent = now - it.failingSince >= context.timings.silenceTimeout;
    if (!isRefusing && !isSilent)
        return {};
    // If a replica still has contact, or too few answer to fence a majority, the network path of this host may be at fault.
    auto contacts = countPrimaryContacts(context, primary, now);
    if (contacts.withContact > 0 || contacts.withoutContact < context.record.getMajority())
        return {};
    return fmt::format("primary {} {} and {} replicas do not hear it", context.record.members[primary].name, isRefusing ? "refuses connections" : "does not answer", contacts.withoutContact);
}

std::string getPrimaryDownReason(const FailoverContext& context, TimePoint now)
{
    if (context.health.primary)
        return getPrimaryUnreachableReason(context, *context.health.primary, now);
    auto reachable = std::ranges::count_if(context.health.members, &MemberHealth::isReachable);
    if (static_cast<size_t>(reachable) < context.record.getMajority())
        return {};
    if (now - context.health.withoutPrimarySince < context.timings.silenceTimeout)
        return {};
    return "no member is primary";
}

// ---- helpers ----

static void setPhase(FailoverState& state, FailoverPhase phase, TimePoint now)
{
    state.phase = phase;
    state.phaseStartedAt = now;
}

static void endAttempt(FailoverStep& step, const FailoverContext& context, TimePoint now, const std::string& reason)
{
    if (!reason.empty())
        step.actions.emplace_back(AddTimelineEntry { "promotion-ended", fmt::format("term {}: {}", step.state.term, reason) });
    setPhase(step.state, FailoverPhase::Idle, now);
    step.state.earliestStart = now + context.timings.retryDelay;
    step.state.grants.clear();
    step.state.refusals.clear();
    step.state.chosenMember.reset();
    step.state.isPlanned = false;
}

// Returns why the group's promotion settings forbid a promotion now; empty if they allow it.
static std::string getPromotionBlocker(const FailoverContext& context, FailoverState& state, TimePoint now)
{
    auto& limits = context.record.promotion;
    while (!state.recentPromotions.empty() && now - state.recentPromotions.front() > kPromotionWindow)
        state.recentPromotions.pop_front();
    if (limits.mode == PromotionMode::Off)
        return "the record has promotion mode off";
    if (!state.recentPromotions.empty() && now - state.recentPromotions.back() < limits.minInterval)
        return fmt::format("the last promotion is less than {} ms ago", limits.minInterval.count());
    if (state.recentPromotions.size() >= limits.maxPerHour)
        return fmt::format("{} promotions within an hour", state.recentPromotions.size());
    return {};
}

static bool canAllMembersFence(const FailoverContext& context)
{
    return std::ranges::all_of(context.record.members, &MemberRecord::canFence);
}

static uint64_t getNextTerm(const FailoverContext& context, const FailoverState& state)
{
    return 1 + std::max({ getHighestTerm(context.health), state.highestTerm, context.health.term });
}

static void startClaiming(FailoverStep& step, const FailoverContext& context, TimePoint now)
{
    step.state.term = getNextTerm(context, step.state);
    setPhase(step.state, FailoverPhase::Claiming, now);
    step.actions.emplace_back(AddTimelineEntry { "promotion-began", fmt::format("term {}: {}", step.state.term, step.state.cause) });
    step.actions.emplace_back(WriteClaim { step.state.term });
}

static void startFencing(FailoverStep& step, const FailoverContext& context, TimePoint now)
{
    setPhase(step.state, FailoverPhase::Fencing, now);
    for (size_t i = 0; i < context.record.members.size(); ++i) {
        if (!step.state.grants.contains(i))
            step.actions.emplace_back(SendFence { step.state.term, i });
    }
}

// Groups whose members do not support fencing rely on the claim: the store accepts one claim for each term. The follow
// requests of the new term end the old one.
static std::optional<size_t> chooseWithoutFence(const FailoverContext& context)
{
    std::optional<size_t> best;
    for (size_t i = 0; i < context.health.members.size(); ++i) {
        auto& it = context.health.members[i];
        if (!it.isReachable() || context.isLeaving[i] || context.health.primary == i)
            continue;
        auto getLogOrder = [&](size_t n) { return std::pair(context.health.members[n].status.log.term, context.health.members[n].status.log.position); };
        if (!best || getLogOrder(i) > getLogOrder(*best))
            best = i;
    }
    return best;
}

static void startPromoting(FailoverStep& step, TimePoint now, size_t member)
{
    step.state.chosenMember = member;
    setPhase(step.state, FailoverPhase::Promoting, now);
    step.actions.emplace_back(SendPromote { step.state.term, member });
}

static void continueAfterClaim(FailoverStep& step, const FailoverContext& context, TimePoint now)
{
    if (!canAllMembersFence(context)) {
        auto member = chooseWithoutFence(context);
        if (!member)
            return endAttempt(step, context, now, "no reachable member to promote");
        return startPromoting(step, now, *member);
    }
    if (step.state.isPlanned && context.health.primary) {
        setPhase(step.state, FailoverPhase::Draining, now);
        step.actions.emplace_back(SendFence { step.state.term, *context.health.primary });
        return;
    }
    startFencing(step, context, now);
}

// ---- fencing ----

// Chooses the grant with the highest log term and position. A leaving member is chosen only if no other is as advanced.
static size_t chooseMostAdvanced(const FailoverContext& context, const FailoverState& state)
{
    auto getLogOrder = [&](const std::pair<const size_t, FenceAnswer>& it) {
        return std::tuple(it.second.log.term, it.second.log.position, !context.isLeaving[it.first], it.first);
    };
    auto best = std::ranges::max_element(state.grants, {}, getLogOrder);
    return best->first;
}

static void evaluateGrants(FailoverStep& step, const FailoverContext& context, TimePoint now)
{
    auto& state = step.state;
    auto members = context.record.members.size();
    auto majority = context.record.getMajority();
    if (state.grants.size() + (members - state.refusals.size() - state.grants.size()) < majority)
        return endAttempt(step, context, now, "a majority cannot be fenced");
    if (state.grants.size() < majority)
        return;
    if (state.majorityGrantedAt < state.phaseStartedAt)
        state.majorityGrantedAt = now;
    bool allAnswered = state.grants.size() + state.refusals.size() == members;
    if (allAnswered || now - state.majorityGrantedAt >= context.timings.fenceGracePeriod)
        startPromoting(step, now, chooseMostAdvanced(context, state));
}

static void handleFenceAnswer(FailoverStep& step, const FailoverContext& context, const FenceAnswered& event, TimePoint now)
{
    auto& state = step.state;
    if (event.answer)
        state.highestTerm = std::max(state.highestTerm, event.answer->fencedTerm);
    bool isCurrentAttempt = event.term == state.term && event.member < context.record.members.size()
        && (state.phase == FailoverPhase::Fencing || state.phase == FailoverPhase::Draining);
    if (!isCurrentAttempt)
        return;
    // A grant of a term is final, whatever later answers say. A member must not be in both sets: it would count twice.
    if (event.answer && event.answer->isGranted) {
        state.grants[event.member] = *event.answer;
        state.refusals.erase(event.member);
    } else if (!state.grants.contains(event.member))
        state.refusals.insert(event.member);
    if (state.phase == FailoverPhase::Fencing)
        return evaluateGrants(step, context, now);
    if (!event.answer || !event.answer->isGranted)
        endAttempt(step, context, now, "the leaving primary did not grant the term");
}

// ---- planned handover ----

static bool hasReplicaCaughtUp(const FailoverContext& context, const FailoverState& state)
{
    if (!context.health.primary || !state.grants.contains(*context.health.primary))
        return false;
    auto& required = state.grants.at(*context.health.primary).log;
    for (size_t i = 0; i < context.health.members.size(); ++i) {
        auto& it = context.health.members[i];
        if (i != *context.health.primary && it.isReachable() && !context.isLeaving[i] && it.status.log.term == required.term && it.status.log.position >= required.position)
            return true;
    }
    return false;
}

static bool canHandOverPrimary(const FailoverContext& context, TimePoint now)
{
    if (!context.health.primary || !context.isLeaving[*context.health.primary] || !canAllMembersFence(context))
        return false;
    for (size_t i = 0; i < context.health.members.size(); ++i) {
        auto& it = context.health.members[i];
        if (i == *context.health.primary || !it.isReachable() || context.isLeaving[i])
            continue;
        auto age = getStalenessBound(context.health, it.status.log.term, it.status.log.position, now);
        if (age && *age <= context.timings.maxHandoverLag + context.timings.silenceTimeout)
            return true;
    }
    return false;
}

// ---- ticks by phase ----

static void setHoldBackReason(FailoverStep& step, const std::string& reason)
{
    if (step.state.holdBackReason != reason && !reason.empty())
        step.actions.emplace_back(AddTimelineEntry { "promotion-held-back", reason });
    step.state.holdBackReason = reason;
}

static void tickIdle(FailoverStep& step, const FailoverContext& context, TimePoint now)
{
    auto& state = step.state;
    auto reason = getPrimaryDownReason(context, now);
    bool isPlanned = reason.empty() && canHandOverPrimary(context, now);
    if (isPlanned)
        reason = "primary " + context.record.members[*context.health.primary].name + " is leaving";
    if (reason.empty())
        return setHoldBackReason(step, {});
    auto blocker = isPlanned && context.record.promotion.mode == PromotionMode::Automatic ? std::string() : getPromotionBlocker(context, state, now);
    if (!blocker.empty())
        return setHoldBackReason(step, blocker + "; " + reason);
    setHoldBackReason(step, {});
    if (now < state.earliestStart)
        return;
    state.cause = reason;
    state.isPlanned = isPlanned;
    state.startedAt = now;
    if (context.rank == 0)
        return startClaiming(step, context, now);
    setPhase(state, FailoverPhase::Waiting, now);
}

static void tickWaiting(FailoverStep& step, const FailoverContext& context, TimePoint now)
{
    bool isStillDue = step.state.isPlanned ? canHandOverPrimary(context, now) : !getPrimaryDownReason(context, now).empty();
    if (!isStillDue)
        return setPhase(step.state, FailoverPhase::Idle, now);
    if (now - step.state.phaseStartedAt >= context.timings.rankDelay * static_cast<int>(context.rank))
        startClaiming(step, context, now);
}

// After a pause of the process all health data is stale, so no attempt starts until new probes have been answered.
static void detectPause(FailoverState& state, const FailoverContext& context, TimePoint now)
{
    bool wasPaused = state.lastTickAt != TimePoint {} && now - state.lastTickAt > context.timings.maxTickGap;
    if (wasPaused)
        state.earliestStart = std::max(state.earliestStart, now + context.timings.silenceTimeout);
    state.lastTickAt = now;
}

static void handleTick(FailoverStep& step, const FailoverContext& context, TimePoint now)
{
    auto& state = step.state;
    detectPause(state, context, now);
    auto elapsed = now - state.phaseStartedAt;
    bool isSuperseded = state.phase != FailoverPhase::Idle && context.health.primary && context.health.term >= state.term && state.term > 0 && state.phase != FailoverPhase::Waiting;
    if (isSuperseded)
        return endAttempt(step, context, now, fmt::format("term {} has a primary", context.health.term));
    switch (state.phase) {
    case FailoverPhase::Idle:
        return tickIdle(step, context, now);
    case FailoverPhase::Waiting:
        return tickWaiting(step, context, now);
    case FailoverPhase::Claiming:
        // The controller answers within claimTimeout, so after twice that time the answer is lost.
        if (elapsed >= context.timings.claimTimeout * 2)
            endAttempt(step, context, now, "no answer about the claim");
        return;
    case FailoverPhase::Draining:
        if (hasReplicaCaughtUp(context, state))
            return startFencing(step, context, now);
        if (elapsed >= context.timings.catchUpTimeout)
            endAttempt(step, context, now, "no replica caught up in time");
        return;
    case FailoverPhase::Fencing:
        evaluateGrants(step, context, now);
        if (step.state.phase == FailoverPhase::Fencing && elapsed >= context.timings.fenceTimeout)
            endAttempt(step, context, now, "fencing took too long");
        return;
    case FailoverPhase::Promoting:
        if (elapsed >= context.timings.promoteTimeout)
            endAttempt(step, context, now, "no answer to promote");
        return;
    }
}

// ---- other events ----

static void handleClaimAnswer(FailoverStep& step, const FailoverContext& context, const ClaimAnswered& event, TimePoint now)
{
    auto& state = step.state;
    state.highestTerm = std::max(state.highestTerm, event.storedTerm);
    if (state.phase != FailoverPhase::Claiming || event.term != state.term)
        return;
    if (event.outcome == ClaimOutcome::Lost)
        return endAttempt(step, context, now, "another host claimed the term");
    if (event.outcome == ClaimOutcome::Unavailable && !canAllMembersFence(context))
        return endAttempt(step, context, now, "the store is out of reach and the members cannot fence");
    continueAfterClaim(step, context, now);
}

static void handlePromoteAnswer(FailoverStep& step, const FailoverContext& context, const PromoteAnswered& event, TimePoint now)
{
    auto& state = step.state;
    if (state.phase != FailoverPhase::Promoting || event.term != state.term)
        return;
    if (!event.isDone)
        return endAttempt(step, context, now, "the chosen member refused or did not answer");
    auto primary = *state.chosenMember;
    state.promotedTerm = state.term;
    step.actions.emplace_back(AddTimelineEntry { "promoted", fmt::format("{} in term {}: {}", context.record.members[primary].name, state.term, state.cause) });
    for (size_t i = 0; i < context.record.members.size(); ++i) {
        if (i != primary)
            step.actions.emplace_back(SendFollow { state.term, i, primary });
    }
    step.actions.emplace_back(AnnouncePrimary { state.term, primary });
    if (!state.isPlanned)
        state.recentPromotions.push_back(now);
    endAttempt(step, context, now, {});
}

FailoverStep stepFailover(const FailoverContext& context, FailoverState state, const FailoverEvent& event, TimePoint now)
{
    FailoverStep step { std::move(state), {} };
    if (std::holds_alternative<Tick>(event))
        handleTick(step, context, now);
    else if (auto* claim = std::get_if<ClaimAnswered>(&event))
        handleClaimAnswer(step, context, *claim, now);
    else if (auto* fence = std::get_if<FenceAnswered>(&event))
        handleFenceAnswer(step, context, *fence, now);
    else if (auto* promote = std::get_if<PromoteAnswered>(&event))
        handlePromoteAnswer(step, context, *promote, now);
    return step;
}

// Covers members that were unreachable during a promotion. Members that granted a later term would refuse and are skipped.
std::vector<SendFollow> getPendingFollows(const GroupRecord& record, const GroupHealth& health)
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
