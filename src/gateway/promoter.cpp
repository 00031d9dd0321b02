#include "gateway/promoter.h"
#include "base/event_log.h"
#include "base/families.h"
#include "base/metrics.h"
#include "base/tasks.h"
#include "gateway/directory.h"
#include "gateway/promoter_evidence.h"
#include <algorithm>
#include <set>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;

static constexpr milliseconds kNoPrimaryDelay { 600 }; // how long no primary may be known before an attempt to find or promote one
static constexpr milliseconds kRelistingTime { 2500 }; // members whose entries expired during a store outage register again within this time
static constexpr milliseconds kStandbyDelay { 300 }; // added for each rank before a reported primary is checked
static constexpr milliseconds kOrderRejectionCooldown { 10000 }; // how long a host whose order was rejected leaves orders to other coordinators

bool Promoter::isLive(const std::string& host) const
{
    return host == m_context.self.host || m_context.peers.isUsable(host);
}

decisions::HostCapabilities Promoter::getCapabilities() const
{
    bool canOrder = m_orderRejectedAt == TimePoint {} || Clock::now() - m_orderRejectedAt > kOrderRejectionCooldown;
    return { m_context.hasStore(), canOrder };
}

bool Promoter::canPerformTask(const std::string& host, decisions::PromotionTask task) const
{
    return decisions::canPerform(host == m_context.self.host ? getCapabilities() : m_context.peers.getCapabilities(host), task);
}

void Promoter::raiseAlarm(const std::string& group, const std::string& reason)
{
    auto& state = m_groups[group];
    if (state.alarmedAt != TimePoint {})
        return;
    state.alarmedAt = Clock::now();
    state.alarmReason = reason;
}

std::vector<std::string> Promoter::getCoordinators(const std::string& group) const
{
    std::vector<std::string> names;
    auto it = m_groups.find(group);
    if (it == m_groups.end())
        return names;
    for (auto& coordinator : it->second.record.coordinators)
        names.push_back(coordinator.host);
    return names;
}

CoordinatorRole Promoter::getCoordinatorRole() const
{
    CoordinatorRole role;
    for (auto& [group, state] : m_groups) {
        if (!decisions::findRank(state.record, m_context.self))
            continue;
        role.groups.insert(group);
        for (auto& it : state.record.coordinators)
            role.coordinators.insert(it.host);
    }
    return role;
}

void Promoter::onPrimaryConfirmed(const std::string& group, TimePoint confirmedAt)
{
    auto it = m_groups.find(group);
    if (it == m_groups.end() || it->second.isPromoting || confirmedAt < it->second.alarmedAt)
        return;
    it->second.alarmedAt = {};
}

void Promoter::onPrimaryChanged(const std::string& group)
{
    auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    it->second.alarmedAt = {};
    it->second.handoverDueAt = {};
}

void Promoter::onPromotionOrdered(const std::string& group, const std::string& host)
{
    auto& state = m_groups[group];
    auto& coordinators = state.record.coordinators;
    auto it = std::ranges::find(coordinators, host, &decisions::Coordinator::host);
    if (it != coordinators.end())
        state.firstUsableRank = std::max(state.firstUsableRank, static_cast<size_t>(it - coordinators.begin()));
}

std::vector<decisions::CoordinatorState> Promoter::getCoordinatorStates(const GroupState& state, decisions::PromotionTask task) const
{
    std::vector<decisions::CoordinatorState> states;
    for (auto& it : state.record.coordinators) {
        bool isSelf = it == m_context.self;
        auto host = m_context.view.hosts.find(it.host);
        bool isSameIncarnation = host != m_context.view.hosts.end() && host->second.incarnation == it.incarnation;
        bool isUsable = isSelf ? !m_context.isDraining : isSameIncarnation && m_context.peers.isUsable(it.host);
        bool areTokensSpent = states.size() < state.firstUsableRank;
        states.push_back({ isUsable && !areTokensSpent, canPerformTask(it.host, task) });
    }
    return states;
}

std::optional<size_t> Promoter::findActingRank(const GroupState& state, decisions::PromotionTask task) const
{
    auto rank = decisions::findRank(state.record, m_context.self);
    if (!rank)
        return std::nullopt;
    auto acting = decisions::rankUsableCoordinators(getCoordinatorStates(state, task));
    auto it = std::ranges::find(acting, *rank);
    if (it == acting.end())
        return std::nullopt;
    return static_cast<size_t>(it - acting.begin());
}

// Logged by every coordinator, so that the log shows who each of them expected to act.
void Promoter::logActingCoordinator(const std::string& group, GroupState& state)
{
    if (!decisions::findRank(state.record, m_context.self))
        return;
    auto acting = decisions::rankUsableCoordinators(getCoordinatorStates(state, decisions::PromotionTask::HandOver));
    auto actingCoordinator = acting.empty() ? std::string() : state.record.coordinators[acting.front()].host;
    if (actingCoordinator == state.loggedCoordinator)
        return;
    state.loggedCoordinator = actingCoordinator;
    base::logEvent(LogClass::State, "in-charge", { { "group", std::string_view(group) }, { "holder", std::string_view(state.record.coordinators.front().host) }, { "in_charge", std::string_view(actingCoordinator) } });
}

bool Promoter::mustHandOver(const GroupView& groupView) const
{
    auto it = m_context.view.members.find(groupView.primary.member);
    return it != m_context.view.members.end() && (it->second.registration.isLeaving || it->second.unlistedAt);
}

// A task that is due for a group.
struct Promoter::DueTask {
    decisions::PromotionTask task;
    TimePoint at;
    std::string cause;
};

std::optional<Promoter::DueTask> Promoter::findDueTask(const GroupView& groupView, GroupState& state, TimePoint now) const
{
    auto rank = decisions::findRank(state.record, m_context.self).value_or(0);
    bool hasNoPrimary = groupView.primary.member.empty();
    if (!hasNoPrimary)
        state.noPrimarySince = {};
    else if (state.noPrimarySince == TimePoint {})
        state.noPrimarySince = now;
    if (!mustHandOver(groupView))
        state.handoverDueAt = {};
    else if (state.handoverDueAt == TimePoint {})
        state.handoverDueAt = now;
    // Whoever is primary now, only a promotion of the member that an earlier order names ends the uncertainty.
    if (state.pending && state.pending->isInForce)
        return DueTask { decisions::PromotionTask::HandOver, state.pending->since, "an earlier order may still be carried out" };
    // A leaving primary is replaced even if it is alive, so an alarm must not turn the handover into a check that finds it alive.
    if (state.handoverDueAt != TimePoint {})
        return DueTask { decisions::PromotionTask::HandOver, state.handoverDueAt, "the primary is leaving" };
    if (state.alarmedAt != TimePoint {} && !hasNoPrimary)
        return DueTask { decisions::PromotionTask::CheckPrimary, state.alarmedAt + rank * kStandbyDelay, state.alarmReason };
    if (hasNoPrimary && now - state.startedAt > kRelistingTime)
        return DueTask { decisions::PromotionTask::FindPrimary, state.noPrimarySince + kNoPrimaryDelay, "no primary is known" };
    return std::nullopt;
}

// The first usable coordinator acts at once, each standby one takeover delay later.
bool Promoter::mustActNow(const GroupState& state, const DueTask& due, TimePoint now) const
{
    auto actingRank = findActingRank(state, due.task);
    return actingRank && now >= due.at + *actingRank * decisions::getTakeoverDelay(due.task); // no subtraction, as the product is unsigned
}

// Hosts that are not coordinators only check at intervals whether a record is due.
void Promoter::sweep(TimePoint now)
{
    if (!m_isCoordinator && now - m_sweptAt < kRecordCheckInterval)
        return;
    m_sweptAt = now;
    m_isCoordinator = std::ranges::any_of(m_groups, [&](auto& it) { return decisions::findRank(it.second.record, m_context.self).has_value(); });
    for (auto& [group, groupView] : m_context.view.groups) {
        if (!m_context.view.configuration.groups.contains(group)) // named by a member's entry only
            continue;
        auto& state = m_groups[group];
        if (state.startedAt == TimePoint {})
            state.startedAt = now;
        maintainCoordinatorRecord(group, state, now);
        logActingCoordinator(group, state);
        maintainSuspensions(group, groupView, state, now);
        auto due = findDueTask(groupView, state, now);
        if (!due || state.isPromoting || state.isResuming || now < state.nextAttemptAt || !mustActNow(state, *due, now))
            continue;
        state.isPromoting = true;
        base::spawnTask(m_context.context, "replace-primary", replacePrimary(group, due->task == decisions::PromotionTask::HandOver, due->cause), [this, group] {
            auto& failed = m_groups[group];
            failed.isPromoting = false;
            failed.isResuming = false;
            failed.nextAttemptAt = Clock::now() + kAttemptCooldown;
        });
    }
}

}
