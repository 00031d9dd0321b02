#include "decisions/group_state.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::decisions {

FailoverContext makeFailoverContext(const GroupState& state)
{
    return { state.record, state.health, state.isLeaving, state.rank, {} };
}

static void applyConfiguration(GroupState& state, const GroupConfigurationChanged& event, TimePoint now)
{
    if (!(state.record == event.record)) {
        bool isFirst = state.record.members.empty();
        state.health = isFirst ? makeHealth(event.record, now) : updateForRecord(state.health, state.record, event.record, now);
        state.failover.phase = FailoverPhase::Idle;
        state.failover.grants.clear();
        state.failover.refusals.clear();
        state.record = event.record;
    }
    state.isLeaving = event.isLeaving;
    state.rank = event.rank;
}

static bool hasNotableChange(const GroupHealth& before, const GroupHealth& after)
{
    if (before.primary != after.primary || before.term != after.term)
        return true;
    return !std::ranges::equal(before.members, after.members, {}, &MemberHealth::isReachable, &MemberHealth::isReachable);
}

// Every home sees a new primary in its probes. Promotions by other homes also count against the group's promotion limits.
static void reportPrimaryChange(GroupStep& step, const GroupHealth& before, TimePoint now)
{
    auto& state = step.state;
    auto& health = state.health;
    if (health.primary && health.term > state.lastReportedTerm) {
        auto& name = state.record.members[*health.primary].name;
        step.actions.emplace_back(AddTimelineEntry { "primary-seen", fmt::format("{} in term {}", name, health.term) });
        bool isFirst = state.lastReportedTerm == 0 || before.term == 0;
        if (!isFirst && health.term != state.failover.promotedTerm)
            state.failover.recentPromotions.push_back(now);
        state.lastReportedTerm = health.term;
    } else if (!health.primary && before.primary)
        step.actions.emplace_back(AddTimelineEntry { "primary-lost", fmt::format("none is known in term {}", health.term) });
}

static void runFailover(GroupStep& step, const FailoverEvent& event, TimePoint now)
{
    auto failover = stepFailover(makeFailoverContext(step.state), std::move(step.state.failover), event, now);
    step.state.failover = std::move(failover.state);
    std::ranges::move(failover.actions, std::back_inserter(step.actions));
}

static void applyHealth(GroupStep& step, GroupHealth health, TimePoint now)
{
    auto before = std::move(step.state.health);
    step.state.health = std::move(health);
    step.hasNotableChange = hasNotableChange(before, step.state.health);
    if (step.hasNotableChange)
        reportPrimaryChange(step, before, now);
    runFailover(step, Tick {}, now);
}

GroupStep stepGroup(GroupState state, const GroupEvent& event, TimePoint now)
{
    GroupStep step { std::move(state), {}, false };
    auto& health = step.state.health;
    if (auto* configuration = std::get_if<GroupConfigurationChanged>(&event))
        applyConfiguration(step.state, *configuration, now);
    else if (std::holds_alternative<ServingStarted>(event))
        health.withoutPrimarySince = now;
    else if (auto* status = std::get_if<StatusAnswered>(&event))
        applyHealth(step, applyStatus(health, status->member, status->status, status->askedAt, now), now);
    else if (auto* piggybacked = std::get_if<PiggybackedStatusReceived>(&event))
        applyHealth(step, applyPiggybackedStatus(health, piggybacked->member, piggybacked->status, piggybacked->askedAt, now), now);
    else if (auto* failure = std::get_if<ProbeFailed>(&event))
        applyHealth(step, applyProbeFailure(health, failure->member, failure->wasRefused, failure->askedAt), now);
    else
        runFailover(step, std::get<FailoverEvent>(event), now);
    return step;
}

}
