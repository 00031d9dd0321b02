// The periodic work of a target pool: stalled and overdue jobs, silent and unused connections, keep-alives and proofs of the primary.
#include "base/event_log.h"
#include "gateway/target_pool.h"
#include <algorithm>
#include <fmt/ranges.h>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kKeepAliveInterval { 1000 }; // for idle connections
static constexpr milliseconds kSilenceTimeout { 300 }; // for messages that need no slot of the target
static constexpr milliseconds kIdleTimeoutAsForwarder { 10000 };
static constexpr milliseconds kIdleTimeoutOtherwise { 500 }; // the forwarder needs the connections
static constexpr milliseconds kCompetitionLogInterval { 1000 }; // an overload can come and go many times a second
static constexpr double kStallFactor = 8; // times the typical time of a statement
static constexpr milliseconds kMinStallTimeout { 150 }; // tolerates short network delays

void TargetPool::sweep(TimePoint now)
{
    markStalledJobs(now);
    closeOldestStalledSession(now);
    failOverdueJobs(now);
    closeSilentSessions(now);
    provePrimary(now);
    queryPosition(now);
    sendKeepAlives(now);
    closeUnusedSessions(now);
    logCompetition(now);
    dispatch();
}

// Logs when accounts begin or cease to compete for the target, at most once per interval.
void TargetPool::logCompetition(TimePoint now)
{
    auto& shares = m_queue.shares;
    if (!m_limits.isPerAccount || shares.isCompeting == m_wasCompeting || now - m_competitionLoggedAt < kCompetitionLogInterval)
        return;
    m_wasCompeting = shares.isCompeting;
    m_competitionLoggedAt = now;
    std::vector<std::string_view> above;
    for (uint32_t i = 1; i < shares.accounts.size(); ++i) {
        if (decisions::getShareRank(shares, i) > 0)
            above.push_back(shares.accounts[i].name);
    }
    base::logEvent(base::LogClass::State, "accounts-compete", { { "member", std::string_view(m_target.member) }, { "competing", shares.isCompeting }, { "waiting", static_cast<int64_t>(m_queue.entries.size()) }, { "above_share", std::string_view(fmt::format("{}", fmt::join(above, " "))) } });
}

milliseconds TargetPool::getStallTimeout() const
{
    return std::max(kMinStallTimeout, milliseconds(static_cast<int64_t>(kStallFactor * m_queue.workMs)));
}

// Prevents stalled statements from occupying all connections. While other jobs wait for one, closes the connection of the oldest stalled
// statement that can be aborted without an uncertain effect. Closes at most one per sweep, as others may be answered meanwhile. If the
// target has answered nothing since, the job counts as stalled only after twice the timeout.
void TargetPool::closeOldestStalledSession(TimePoint now)
{
    bool isScarce = countIdleSessions() == 0 && m_sessions.size() + m_openingCount >= m_limits.maxConnections;
    if (!isScarce || countWaitingForConnection() == 0)
        return;
    for (auto& [job, session] : m_runningJobs) { // in order of their start
        auto& request = job->request;
        bool isSafeToAbandon = request.statement.kind != StatementKind::Commit && (!request.statement.isWrite || request.kind == RequestKind::Begin || request.kind == RequestKind::Continue);
        bool hasStalled = job->isStalled || now - job->startedAt > 2 * getStallTimeout();
        if (!isSafeToAbandon || !hasStalled)
            continue;
        dropSession(SessionPtr(session), "statement stalled while others wait for a connection", false);
        return;
    }
}

// If a statement takes several times the typical time while later ones are answered, its answer is probably lost. It no longer counts
// against the concurrency limit, so that a few lost answers do not block the queue until they time out. A read outside a transaction is
// hedged: sent a second time, and the first answer counts.
void TargetPool::markStalledJobs(TimePoint now)
{
    auto limit = getStallTimeout();
    auto running = m_runningJobs;
    for (auto& [job, session] : running) {
        if (job->isStalled && job->isDone()) { // its hedge was answered
            dropSession(session, "its hedged request was answered first");
            continue;
        }
        if (job->isStalled || now - job->startedAt < limit || m_lastAnswerAt < job->startedAt + limit / 2)
            continue;
        job->isStalled = true;
        auto& request = job->request;
        bool canHedge = !request.statement.isWrite && (request.kind == RequestKind::Single || request.kind == RequestKind::PrimaryRead);
        bool isBusy = m_waitingJobs.size() >= m_limits.concurrency; // a hedge would delay statements that have not been sent at all
        if (!canHedge || isBusy)
            continue;
        auto hedge = std::make_shared<Job>(*job);
        hedge->isStalled = false;
        hedge->isHedge = true;
        enqueue(hedge);
    }
}

void TargetPool::failOverdueJobs(TimePoint now)
{
    refuseEntries(decisions::removeExpired(m_queue, now), true);
    auto running = m_runningJobs;
    for (auto& [job, session] : running) {
        if (now < job->request.deadline)
            continue;
        if (job->isSent)
            finish(job, decisions::makeFailure(ErrorKind::StatementTimedOut, "the target did not answer in time", true));
        else
            finish(job, decisions::makeFailure(ErrorKind::Overloaded, "the target did not answer the setup of the connection in time"));
        auto pendingSince = session->getOldestPendingAt();
        dropSession(session, "no answer before the deadline");
        // Idle connections without a later answer may have failed in the same way.
        auto sessions = m_sessions;
        for (auto& it : sessions) {
            if (it->isIdle() && it->getLastReceivedAt() < pendingSince)
                dropSession(it, "no answer since another connection to the target timed out");
        }
    }
}

// Messages of the pool itself need no slot of the target, so a missing answer means that the connection is dead.
void TargetPool::closeSilentSessions(TimePoint now)
{
    auto sessions = m_sessions;
    for (auto& it : sessions) {
        bool hasJob = std::ranges::any_of(m_runningJobs, [&](const auto& running) { return running.second == it; });
        if (!hasJob && it->countPending() > 0 && now - it->getOldestPendingAt() > kSilenceTimeout)
            dropSession(it, "the target did not answer a keep-alive or other message of the pool");
    }
}

// Returns an idle connection without pending answers, if any.
TargetPool::SessionPtr TargetPool::findIdleSession() const
{
    auto it = std::ranges::find_if(m_sessions, [](const SessionPtr& it) { return it->isIdle() && it->countPending() == 0; });
    return it == m_sessions.end() ? nullptr : *it;
}

void TargetPool::provePrimary(TimePoint now)
{
    if (m_logComparison != LogComparison::NotNeeded || m_proofInterval.count() == 0 || now - m_primaryProvenAt < m_proofInterval)
        return;
    auto session = findIdleSession();
    if (!session) {
        if (m_sessions.empty() && m_openingCount == 0 && now >= m_nextOpeningAt)
            openSession(m_lastRequestAccount);
        return;
    }
    m_primaryProvenAt = now; // the next proof is due one interval later, whatever the answer
    session->isBusy = true;
    auto knownMark = m_observer.getKnownMark(m_target);
    session->sendStatement(m_codec.formatBegin(false, {}), [self = shared_from_this(), session, now, knownMark](const Outcome& outcome) {
        if (outcome.error && outcome.error->kind == ErrorKind::NotPrimary)
            self->m_observer.onReplicaReported(self->m_target);
        if (outcome.error) {
            self->releaseSession(session);
            return;
        }
        self->m_lastAnswerAt = Clock::now();
        self->applyPrimaryProof(outcome.position, now, knownMark);
        self->m_observer.onAnswer(self->m_target);
        self->rollBack(session);
    });
}

void TargetPool::sendKeepAlives(TimePoint now)
{
    for (auto& it : m_sessions) {
        if (it->isBusy || it->transaction != 0 || it->countPending() > 0 || now - it->getLastReceivedAt() < kKeepAliveInterval)
            continue;
        sendEmptyTransaction(it);
    }
}

// Sends a read-only BEGIN and a ROLLBACK, which return the log position and occupy no slot of the target.
void TargetPool::sendEmptyTransaction(const SessionPtr& session)
{
    session->isBusy = true;
    session->sendStatement(m_codec.formatBegin(true, {}), [](const Outcome&) {});
    session->sendStatement(m_codec.formatRollback(), [self = shared_from_this(), session](const Outcome& outcome) {
        if (outcome.position.term != 0)
            self->m_observer.onPosition(self->m_target, outcome.position);
        self->releaseSession(session);
        self->dispatch();
    });
}

void TargetPool::queryPosition(TimePoint now)
{
    if (m_positionInterval.count() == 0 || now - m_positionQueriedAt < m_positionInterval)
        return;
    auto session = findIdleSession();
    if (!session) {
        if (m_sessions.empty() && m_openingCount == 0 && now >= m_nextOpeningAt)
            openSession(m_lastRequestAccount);
        return;
    }
    m_positionQueriedAt = now;
    sendEmptyTransaction(session);
}

void TargetPool::closeUnusedSessions(TimePoint now)
{
    auto limit = m_isForwarder ? kIdleTimeoutAsForwarder : kIdleTimeoutOtherwise;
    auto sessions = m_sessions;
    for (auto& it : sessions) {
        bool isLast = m_isForwarder && m_sessions.size() == 1;
        if (!isLast && it->isIdle() && it->countPending() == 0 && now - it->lastUsedAt > limit)
            dropSession(it, "unused");
    }
}

}
