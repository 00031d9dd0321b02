// Orders that the platform may carry out late, in groups with synchronous replicas: replicas are suspended while one is pending, so that its member
// receives every commit that is acknowledged (docs/design/0015-synchronous-promotion.md). The suspensions are state of the members. They outlive the
// host that asked for them, and tell the next coordinator that an order may be pending.
#include "base/event_log.h"
#include "base/families.h"
#include "base/metrics.h"
#include "base/tasks.h"
#include "decisions/suspension.h"
#include "gateway/promoter_evidence.h"
#include <algorithm>
#include <fmt/format.h>

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::LogClass;
using decisions::MemberFinding;
using links::ReplicationChange;
using links::StatusQuery;

static constexpr int kReplicationAttempts = 4; // of one change at a member that is busy
static constexpr int kUnreachedAttempts = 2; // at one that does not answer: it may have made the change and its answer was lost
static constexpr milliseconds kReplicationRetryDelay { 30 }; // about the time of a few statements
static constexpr milliseconds kSuspensionCheckInterval { 2000 }; // until all replicas have answered
// Between checks for replicas that a host suspended which then died. One that the others did not reach may have told nobody.
static constexpr milliseconds kRoutineCheckInterval { 10000 };
// How long writes wait for an order at members that cannot be suspended; renewed with each attempt. Must exceed the time in which a standby
// coordinator takes over (decisions::getTakeoverDelay()) and has gathered its evidence.
static constexpr milliseconds kOrderHoldTime { 6000 };

bool Promoter::isActing(const GroupState& state) const
{
    return findActingRank(state, decisions::PromotionTask::HandOver) == std::optional<size_t>(0);
}

// The acting coordinator looks for suspended replicas when it begins to act, after each order, and else at kRoutineCheckInterval.
void Promoter::maintainSuspensions(const std::string& group, const GroupView& groupView, GroupState& state, TimePoint now)
{
    if (getSynchronousReplicas(group) == 0) {
        state.pending.reset();
        state.orderedMembers.clear();
        state.sentMembers.clear();
        return;
    }
    if (state.pending && groupView.provenTerm > state.pending->previousTerm)
        settlePending(group, "promoted");
    applyRecordedOrders(group, state);
    removeRefusedOrders(group, state);
    bool isActingNow = isActing(state);
    state.mustCheckSuspensions = state.mustCheckSuspensions || (isActingNow && !state.wasActing);
    state.wasActing = isActingNow;
    auto sinceCheck = now - state.suspensionsCheckedAt;
    bool isRoutineDue = isActingNow && sinceCheck >= kRoutineCheckInterval;
    bool isCheckDue = state.mustCheckSuspensions && (isActingNow || !state.resumable.empty()) && sinceCheck >= kSuspensionCheckInterval;
    bool isBusy = state.pending || state.isPromoting || state.isCheckingSuspensions;
    if (isBusy || m_context.isDraining || (!isRoutineDue && !isCheckDue))
        return;
    state.isCheckingSuspensions = true;
    base::spawnTask(m_context.context, "check-suspensions", checkSuspensions(group), [this, group] {
        m_groups[group].isCheckingSuspensions = false;
        m_groups[group].isResuming = false;
    });
}

// After an attempt: without an order that may be carried out, nothing is to stay suspended.
void Promoter::releaseSuspensions(const std::string& group)
{
    auto& state = m_groups[group];
    if (state.resumable.empty())
        return;
    state.mustCheckSuspensions = true;
    state.suspensionsCheckedAt = {};
}

asio::awaitable<bool> Promoter::resumeReplicas(std::string group, std::vector<MemberFinding> findings)
{
    auto& state = m_groups[group];
    state.isResuming = true;
    bool haveAllAnswered = true;
    for (auto& it : findings) {
        auto member = m_context.view.members.find(it.member);
        if (it.suspendedFor == 0 || member == m_context.view.members.end())
            continue;
        StatusQuery query { ReplicationChange::Resume };
        auto report = co_await changeReplication(member->second.getTarget(), query);
        haveAllAnswered = haveAllAnswered && report.status.term != 0;
    }
    state.isResuming = false;
    co_return haveAllAnswered;
}

asio::awaitable<void> Promoter::resumeAllReplicas(std::string group, std::string primary)
{
    auto replicas = std::make_shared<ReplicaQuery>(m_context.context.get_executor());
    queryReplicas(group, primary, false, replicas);
    co_await replicas->latch.wait();
    co_await resumeReplicas(group, replicas->findings);
}

// The member of an earlier order, as the suspended replicas show it. Those that this host suspended for an order that was not sent say nothing.
std::optional<std::string> Promoter::findEarlierSuccessor(const GroupState& state, std::vector<MemberFinding> replicas, uint64_t newestTerm)
{
    for (auto& it : replicas) {
        if (state.resumable.contains(it.member))
            it.suspendedFor = 0;
    }
    return decisions::findEarlierSuccessor(replicas, newestTerm);
}

// Resumes replicas that no order needs, or finds that an order may be pending.
asio::awaitable<void> Promoter::checkSuspensions(std::string group)
{
    auto replicas = std::make_shared<ReplicaQuery>(m_context.context.get_executor());
    queryReplicas(group, m_context.view.groups[group].primary.member, false, replicas);
    co_await replicas->latch.wait();
    auto findings = replicas->findings;
    auto& state = m_groups[group];
    auto newestTerm = std::max(m_context.view.groups[group].provenTerm, decisions::findNewerTerm(findings, 0).value_or(0));
    auto earlier = findEarlierSuccessor(state, findings, newestTerm);
    bool haveAllAnswered = std::ranges::all_of(findings, [](const MemberFinding& it) { return it.term != 0; });
    bool isUndisturbed = !state.pending && !state.isPromoting;
    if (isUndisturbed && earlier) {
        PendingPromotion pending { *earlier, false, newestTerm, {}, true, Clock::now() }; // its sender is unknown
        setPending(group, pending, "found");
    }
    bool isDone = isUndisturbed && !earlier && haveAllAnswered;
    if (isDone)
        isDone = co_await resumeReplicas(group, findings);
    if (isDone)
        state.resumable.clear();
    state.mustCheckSuspensions = !isDone;
    state.suspensionsCheckedAt = Clock::now();
    state.isCheckingSuspensions = false;
}

// ---- before an order ----

// An order that may be pending binds the next ones to its member: a second member that led in between could acknowledge commits that the first lacks.
std::optional<std::string> Promoter::chooseSuccessor(const std::string& group, const std::vector<MemberFinding>& findings, uint64_t newestTerm) const
{
    auto synchronousReplicas = getSynchronousReplicas(group);
    auto listed = countListedMembers(group);
    if (synchronousReplicas == 0)
        return decisions::chooseSuccessor(findings, 0, listed);
    auto replicas = findings;
    auto& primary = m_context.view.groups[group].primary.member;
    std::erase_if(replicas, [&](const MemberFinding& it) { return it.member == primary && it.term == 0; }); // a primary that is gone need not answer
    auto& state = m_groups.at(group);
    auto earlier = state.pending ? std::optional(state.pending->member) : findEarlierSuccessor(state, replicas, newestTerm);
    bool isKnown = earlier && m_context.view.members.contains(*earlier);
    if (!isKnown)
        return decisions::chooseSuccessor(replicas, synchronousReplicas, listed);
    auto it = std::ranges::find(replicas, *earlier, &MemberFinding::member);
    return it != replicas.end() && it->term != 0 ? earlier : std::nullopt;
}

// Changes whether a member receives log entries. Returns its last report, without a status if it has not confirmed the change.
asio::awaitable<StatusReport> Promoter::changeReplication(TargetAddress target, StatusQuery query)
{
    bool isSuspension = query.change == ReplicationChange::Suspend;
    StatusReport report;
    bool isDone = false;
    for (int i = 0; i < kReplicationAttempts && !isDone; ++i) {
        if (i > 0)
            co_await base::sleepFor(kReplicationRetryDelay);
        report = co_await queryStatusFromAnyHost(target, query);
        bool isRefused = report.isRefused;
        if (isRefused) { // also if an earlier attempt was carried out and its answer was lost
            StatusQuery plainQuery;
            report = co_await queryStatusFromAnyHost(target, plainQuery);
        }
        bool hasStatus = report.status.term != 0;
        isDone = hasStatus && (isSuspension ? report.status.suspendedFor >= query.term : report.status.suspendedFor == 0);
        report.isRefused = isRefused && hasStatus && !isDone;
        bool isUnreached = !report.wasReached && i + 1 >= kUnreachedAttempts;
        if (report.isRefused || isUnreached)
            break;
    }
    std::string_view result = isDone ? "done" : report.isRefused ? "refused"
                                                                 : "unanswered";
    std::string_view change = isSuspension ? "suspend" : "resume";
    auto received = fmt::format("{}.{}", report.status.received.term, report.status.received.position);
    base::incrementCounter(base::MetricFamily::ReplicationChanges, { { "group", target.group }, { "change", change }, { "result", result } });
    base::logEvent(LogClass::State, "replication", { { "group", std::string_view(target.group) }, { "member", std::string_view(target.member) }, { "change", change }, { "term", static_cast<int64_t>(query.term) }, { "result", result }, { "received", std::string_view(received) } });
    if (!isDone)
        report.status = {};
    co_return report;
}

// Suspensions of several replicas at a time.
struct Promoter::SuspensionRound {
    explicit SuspensionRound(const asio::any_io_executor& executor)
        : latch(executor, 1)
    {
    }
    base::Latch latch;
    std::vector<MemberFinding> suspended {};
    bool isRefused { false }; // by a member that does not know the command
    bool isIncomplete { false }; // some member did not confirm its suspension
};

asio::awaitable<void> Promoter::suspendReplica(TargetAddress target, uint64_t term, std::shared_ptr<SuspensionRound> round)
{
    StatusQuery query { ReplicationChange::Suspend, term };
    auto report = co_await changeReplication(target, query);
    auto& status = report.status;
    round->isRefused = round->isRefused || report.isRefused;
    round->isIncomplete = round->isIncomplete || status.term == 0;
    if (status.term != 0)
        round->suspended.push_back({ target.member, true, status.isPrimary, status.term, status.received, true, status.suspendedFor });
    round->latch.countDown();
}

asio::awaitable<std::shared_ptr<Promoter::SuspensionRound>> Promoter::suspendReplicas(std::string group, std::vector<std::string> members, uint64_t term)
{
    auto round = std::make_shared<SuspensionRound>(m_context.context.get_executor());
    for (auto& it : members) {
        auto member = m_context.view.members.find(it);
        if (member == m_context.view.members.end()) // gone meanwhile
            continue;
        if (!hasOrderInForce(group))
            m_groups[group].resumable.insert(it);
        round->latch.add();
        base::spawnTask(m_context.context, "suspend-replica", suspendReplica(member->second.getTarget(), term, round), [round] {
            round->isIncomplete = true; // as if the replica had not answered
            round->latch.countDown();
        });
    }
    round->latch.countDown();
    co_await round->latch.wait();
    co_return round;
}

asio::awaitable<Promoter::CommitGuard> Promoter::guardCommits(std::string group, std::string primary, std::string successor, std::vector<MemberFinding> findings, uint64_t previousTerm)
{
    auto found = std::ranges::find(findings, successor, &MemberFinding::member);
    auto primaryFound = std::ranges::find(findings, primary, &MemberFinding::member);
    bool mustResume = found != findings.end() && found->suspendedFor != 0;
    bool isPrimaryAlive = primaryFound != findings.end() && primaryFound->saysPrimary;
    std::erase_if(findings, [&](const MemberFinding& it) { return it.member == primary; });
    auto others = decisions::chooseReplicasToSuspend(findings, successor, getSynchronousReplicas(group));
    auto round = co_await suspendReplicas(group, others, previousTerm + 1);
    if (round->isRefused) {
        bool areHeld = co_await holdWritesForOrder(group, primary, successor);
        co_return areHeld ? CommitGuard::WritesHeld : CommitGuard::Failed;
    }
    auto member = m_context.view.members.find(successor);
    if (round->isIncomplete || member == m_context.view.members.end())
        co_return CommitGuard::Failed;
    if (mustResume) { // suspended for an earlier order of another member, which has restarted or is gone
        StatusQuery query { ReplicationChange::Resume };
        co_await changeReplication(member->second.getTarget(), query);
    }
    // Under an earlier order writes are not held, and the successor has received what was acknowledged since.
    bool mustReachPrimary = isPrimaryAlive && (mustResume || !isBoundToSuccessor(group));
    if (!mustReachPrimary)
        primary.clear();
    bool isHeld = co_await waitUntilSuccessorHolds(primary, successor, round->suspended);
    co_return isHeld ? CommitGuard::ReplicasSuspended : CommitGuard::Failed;
}

// Waits until the successor has received what the suspended replicas have, and what the primary had when it was asked, unless `primary` is empty.
asio::awaitable<bool> Promoter::waitUntilSuccessorHolds(std::string primary, std::string successor, std::vector<MemberFinding> suspended)
{
    auto until = Clock::now() + kCatchUpTimeout;
    auto required = std::move(suspended);
    if (auto it = m_context.view.members.find(primary); it != m_context.view.members.end()) {
        auto report = co_await queryStatusFromAnyHost(it->second.getTarget());
        if (report.status.isPrimary)
            required.push_back({ primary, true, true, report.status.term, report.status.received });
    }
    for (;;) {
        auto member = m_context.view.members.find(successor);
        if (member == m_context.view.members.end())
            co_return false;
        auto report = co_await queryStatusFromAnyHost(member->second.getTarget());
        MemberFinding finding { successor, report.wasReached, report.status.isPrimary, report.status.term, report.status.received };
        if (report.status.term != 0 && decisions::holdsAllOf(finding, required))
            co_return true;
        if (Clock::now() >= until)
            co_return false;
        co_await base::sleepFor(kCatchUpPollInterval);
    }
}

// For members that do not know how to suspend: compares logs while no host lets writes through, and keeps it so until the order is settled.
asio::awaitable<bool> Promoter::holdWritesForOrder(std::string group, std::string primary, std::string successor)
{
    holdWritesEverywhere(group, primary, kOrderHoldTime);
    co_await base::sleepFor(kHoldPropagationTime);
    auto replicas = std::make_shared<ReplicaQuery>(m_context.context.get_executor());
    queryReplicas(group, primary, false, replicas);
    co_await replicas->latch.wait();
    auto it = std::ranges::find(replicas->findings, successor, &MemberFinding::member);
    bool isHeld = it != replicas->findings.end() && it->term != 0 && decisions::holdsAllOf(*it, replicas->findings);
    if (!isHeld && !hasOrderInForce(group))
        holdWritesEverywhere(group, primary, milliseconds(0));
    co_return isHeld;
}

// Before an order is repeated: replicas that have restarted or are new have received commits since, or the successor has lost its log. Returns whether
// the successor holds all that is acknowledged.
asio::awaitable<bool> Promoter::renewGuard(std::string group, std::string primary, std::string successor, uint64_t previousTerm)
{
    auto replicas = std::make_shared<ReplicaQuery>(m_context.context.get_executor());
    queryReplicas(group, primary, false, replicas);
    co_await replicas->latch.wait();
    auto others = decisions::chooseReplicasToSuspend(replicas->findings, successor, getSynchronousReplicas(group));
    std::vector<MemberFinding> suspended;
    std::ranges::copy_if(replicas->findings, std::back_inserter(suspended), [&](const MemberFinding& it) { return decisions::isSuspended(it, previousTerm); });
    std::erase_if(others, [&](const std::string& name) { return std::ranges::find(suspended, name, &MemberFinding::member) != suspended.end(); });
    auto round = co_await suspendReplicas(group, others, previousTerm + 1);
    if (round->isRefused)
        co_return co_await holdWritesForOrder(group, primary, successor);
    if (round->isIncomplete)
        co_return false;
    suspended.insert(suspended.end(), round->suspended.begin(), round->suspended.end());
    std::string noPrimary; // it may be ahead of what is acknowledged
    co_return co_await waitUntilSuccessorHolds(noPrimary, successor, suspended); // it may have lost its log, which is listed later
}

}
