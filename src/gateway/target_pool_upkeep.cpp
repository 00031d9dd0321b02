// What a pool does at each sweep: answers that seem lost, limits that have passed, connections that are silent or of no use, proofs of the lead.
#include "gateway/target_pool.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kKeepAliveInterval { 1000 }; // an idle connection that was quiet for this long is asked something
static constexpr milliseconds kSilenceTimeout { 300 }; // for questions that need no work at the target
static constexpr milliseconds kIdleTimeoutAsForwarder { 10000 }; // a connection that was of no use for this long is closed
static constexpr milliseconds kIdleTimeoutOtherwise { 500 }; // the same where another host carries now, which needs the connections
static constexpr double kStallFactor = 8; // of the usual time: a statement's answer may be lost; the slowest usual ones take five times
static constexpr milliseconds kMinStallTimeout { 150 }; // below this a hiccup of the network would count

void TargetPool::sweep(TimePoint now)
{
    markStalledJobs(now);
    closeStalledSession(now);
    failOverdueJobs(now);
    closeSilentSessions(now);
    provePrimary(now);
    queryPosition(now);
    sendKeepAlives(now);
    closeUnusedSessions(now);
    dispatch();
}

milliseconds TargetPool::getStallTimeout() const
{
    return std::max(kMinStallTimeout, milliseconds(static_cast<int64_t>(kStallFactor * m_queue.workMs)));
}

// A few hung statements can hold all connections. While others wait for one, the statement that has hung longest gives its connection up,
// if that leaves nothing behind at the target: it is run anew, or its transaction, which is rolled back there, is reported as ended.
// One at each sweep: the next may be answered meanwhile. Without any answer since, twice the time must pass.
void TargetPool::closeStalledSession(TimePoint now)
{
    bool isScarce = countIdleSessions() == 0 && m_sessions.size() + m_openingCount >= m_limits.maxConnections;
    if (!isScarce || countWaitingForConnection() == 0)
        return;
    for (auto& [job, session] : m_runningJobs) { // in the order in which they were started
        auto& request = job->request;
        bool isSafeToAbandon = request.statement.kind != StatementKind::Commit && (!request.statement.isWrite || request.kind == RequestKind::Begin || request.kind == RequestKind::Continue);
        bool isOverdue = job->isStalled || now - job->startedAt > 2 * getStallTimeout();
        if (!isSafeToAbandon || !isOverdue)
            continue;
        dropSession(SessionPtr(session), "its answer seems to be lost and others wait for a connection", false);
        return;
    }
}

// A statement that takes several times as long as usual, while later ones were answered, has probably lost its answer. It gives up its
// place, or a few of these would stop all others until their time is over. A read is run once more; whichever answer comes first counts.
// Nothing is ended for it: a slow answer is delivered as well.
void TargetPool::markStalledJobs(TimePoint now)
{
    auto limit = getStallTimeout();
    auto running = m_runningJobs;
    for (auto& [job, session] : running) {
        if (job->isStalled && job->isDone()) { // its repetition was answered
            dropSession(session, "the answer is no longer waited for");
            continue;
        }
        if (job->isStalled || now - job->startedAt < limit || m_lastAnswerAt < job->startedAt + limit / 2)
            continue;
        job->isStalled = true;
        auto& request = job->request;
        bool canHedge = !request.statement.isWrite && (request.kind == RequestKind::Single || request.kind == RequestKind::PrimaryRead);
        bool isBusy = m_waitingJobs.size() >= m_limits.concurrency; // a repetition would take a turn from somebody who has had none
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
    refuseEntries(decisions::removeExpired(m_queue, now), "no turn came in time");
    auto running = m_runningJobs;
    for (auto& [job, session] : running) {
        if (now < job->request.deadline)
            continue;
        finish(job, decisions::makeFailure(ErrorKind::StatementTimedOut, "the target did not answer in time", true));
        auto askedAt = session->getOldestPendingAt();
        dropSession(session, "no answer in time");
        // Other connections that have been quiet since may have died in the same way.
        auto sessions = m_sessions;
        for (auto& it : sessions) {
            if (it->isIdle() && it->getLastReceivedAt() < askedAt)
                dropSession(it, "quiet since a connection to the same target died");
        }
    }
}

// Questions of our own need no work at the target: silence means that the connection is dead.
void TargetPool::closeSilentSessions(TimePoint now)
{
    auto sessions = m_sessions;
    for (auto& it : sessions) {
        bool hasJob = std::ranges::any_of(m_runningJobs, [&](const auto& running) { return running.second == it; });
        if (!hasJob && it->countPending() > 0 && now - it->getOldestPendingAt() > kSilenceTimeout)
            dropSession(it, "the target is silent");
    }
}

// A connection on which nothing is under way.
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
    m_primaryProvenAt = now; // the next question is due an interval after this one, whatever its answer
    session->isBusy = true;
    auto known = m_observer.getKnownMark(m_target);
    session->sendStatement(m_codec.formatBegin(false, {}), [self = shared_from_this(), session, now, known](const Outcome& outcome) {
        if (outcome.error && outcome.error->kind == ErrorKind::NotPrimary)
            self->m_observer.onReplicaReported(self->m_target);
        if (outcome.error) {
            self->releaseSession(session);
            return;
        }
        self->m_lastAnswerAt = Clock::now();
        self->applyPrimaryProof(outcome.position, now, known);
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

// An empty transaction: its answer tells the position, and it takes no slot of the target.
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
