// The connections of a target pool: when they are opened, for which account, and how they end.
#include "base/families.h"
#include "gateway/target_pool.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

static constexpr milliseconds kConnectTimeout { 700 };
static constexpr milliseconds kConnectionRefusedBackoff { 300 }; // other hosts may use all connections of the target
static constexpr milliseconds kConnectFailureBackoff { 100 };
static constexpr unsigned kMaxOpening = 2; // opening a connection occupies a slot of the target

size_t TargetPool::countWaitingForConnection() const
{
    return static_cast<size_t>(std::ranges::count_if(m_queue.entries, [](const decisions::QueueEntry& it) { return !it.scheduling.isContinuation; }));
}

// Opens connections for the jobs that wait for one, within the limits.
void TargetPool::openSessions(TimePoint now)
{
    if (m_logComparison != LogComparison::NotNeeded) // a new connection's first position is compared with the known mark, which the comparison must provide first
        return;
    if (m_limits.isPerAccount) {
        openSessionsByAccount(now);
        return;
    }
    auto needed = countWaitingForConnection();
    auto wanted = std::min<size_t>(needed, m_limits.concurrency) + m_transactions.size() + m_runningJobs.size();
    auto maxSessions = std::min<size_t>(wanted, m_limits.maxConnections);
    while (countIdleSessions() + m_openingCount < needed && m_sessions.size() + m_openingCount < maxSessions && m_openingCount < kMaxOpening && now >= m_nextOpeningAt)
        openSession({});
}

void TargetPool::openSessionsByAccount(TimePoint now)
{
    // Each connection being opened occupies a slot of the target; half of the slots are left to statements.
    auto maxOpening = std::max(1U, (m_limits.concurrency - 1) / 2);
    while (m_openingCount < maxOpening && now >= m_nextOpeningAt) {
        auto plan = decisions::planOpening(getPooledConnections(), getDemands(now), { m_limits.maxConnections, m_openingCount, maxOpening }, now);
        if (!plan)
            return;
        if (plan->evicted)
            evictSession(m_sessions[*plan->evicted]);
        openSession(plan->account);
    }
}

// Closes an idle connection to make room for another account.
void TargetPool::evictSession(const SessionPtr& session)
{
    base::incrementCounter(base::MetricFamily::ConnectionsEvicted, { { "member", m_target.member } });
    closeUnused(session);
    std::erase(m_sessions, SessionPtr(session));
}

// Closes a connection on which no job runs.
void TargetPool::closeUnused(const SessionPtr& session)
{
    base::incrementCounter(base::MetricFamily::ConnectionsClosed, { { "member", m_target.member } });
    session->close();
}

std::vector<decisions::PooledConnection> TargetPool::getPooledConnections() const
{
    std::vector<decisions::PooledConnection> pooled;
    for (auto& it : m_sessions) {
        pooled.push_back({ it->account, it->isIdle(), it->isBusy && it->transaction == 0, it->servedJobs > 0, it->lastUsedAt });
    }
    return pooled;
}

// Returns the accounts whose jobs wait for a connection, the most urgent first.
std::vector<decisions::AccountDemand> TargetPool::getDemands(TimePoint now) const
{
    auto entries = m_queue.entries;
    std::erase_if(entries, [&](const decisions::QueueEntry& it) { return it.scheduling.isContinuation || !canRunOnceConnected(*m_waitingJobs.at(it.number), now); });
    std::ranges::sort(entries, [&](const decisions::QueueEntry& a, const decisions::QueueEntry& b) { return decisions::isScheduledBefore(m_queue, a, b, now); });
    std::vector<decisions::AccountDemand> demands;
    for (auto& it : entries) {
        std::string_view account = m_waitingJobs.at(it.number)->request.account;
        auto demand = std::ranges::find(demands, account, &decisions::AccountDemand::account);
        if (demand != demands.end()) {
            ++demand->waiting;
            continue;
        }
        auto opening = m_openingByAccount.find(std::string(account));
        demands.push_back({ account, 1, opening == m_openingByAccount.end() ? 0 : opening->second, decisions::getKeptConnections(m_queue.shares, it.account, m_limits.maxConnections) });
    }
    return demands;
}

void TargetPool::openSession(const std::string& account)
{
    ++m_openingCount;
    ++m_openingByAccount[account];
    auto session = std::make_shared<TargetSession>(m_executor, m_codec);
    session->account = account;
    auto self = shared_from_this();
    std::weak_ptr<TargetSession> weak = session;
    auto onOpen = [self, session, knownMark = m_observer.getKnownMark(m_target)](const Outcome& outcome) { self->handleOpened(session, outcome, knownMark); };
    auto onClosed = [self, weak](const std::string& reason) {
        if (auto session = weak.lock())
            self->dropSession(session, reason);
    };
    session->open(m_target, account.empty() ? m_hostName : account, kConnectTimeout, onOpen, onClosed);
}

void TargetPool::handleOpened(const SessionPtr& session, const Outcome& outcome, const Mark& knownMark)
{
    --m_openingCount;
    if (--m_openingByAccount[session->account] == 0)
        m_openingByAccount.erase(session->account);
    base::incrementCounter(base::MetricFamily::ConnectionsOpened, { { "member", m_target.member }, { "result", outcome.error ? decisions::getErrorRow(outcome.error->kind).name : "opened" } });
    if (isShutDown()) { // nobody would use or close the connection
        if (!outcome.error)
            closeUnused(session);
        return;
    }
    m_hasOpenFailed = outcome.error.has_value();
    if (outcome.error) {
        bool isRefused = outcome.error->kind == ErrorKind::TooManyConnections;
        m_nextOpeningAt = Clock::now() + (isRefused ? kConnectionRefusedBackoff : kConnectFailureBackoff);
        if (isRefused)
            m_observer.onConnectionRefused(m_target, m_sessions.size(), outcome.error->message);
        else
            m_observer.onConnectionFailure(m_target, outcome.error->message);
        // Without any connection no job can be served; failing at once lets callers try another target.
        if (m_sessions.empty())
            failWaiting(*outcome.error);
        return;
    }
    m_observer.onAnswer(m_target);
    // A primary that lost its log would accept a single write without an error, so the position in the handshake is checked before statements are sent.
    if (m_observer.isKnownPrimary(m_target) && decisions::hasLostLog(knownMark, outcome.position)) {
        m_observer.onLostLog(m_target, outcome.position);
        closeUnused(session);
        failWaiting({ ErrorKind::NotPrimary, "the member has lost its log" });
        return;
    }
    session->lastUsedAt = Clock::now();
    m_sessions.push_back(session);
    dispatch();
}

// A connection on which a transaction is still open must not serve another caller. A failed statement or ROLLBACK can leave one open.
void TargetPool::releaseSession(const SessionPtr& session)
{
    session->isBusy = false;
    if (session->isOpen() && session->transaction == 0 && session->getTargetState() != decisions::SessionState::Idle)
        dropSession(session, "a transaction was left open on it");
}

// The outcome of a job whose connection has ended.
Outcome TargetPool::makeLostOutcome(const Job& job, const std::string& reason)
{
    if (job.isSent)
        return decisions::makeFailure(ErrorKind::OutcomeUnknown, reason, true);
    bool isContinuation = job.request.kind == RequestKind::Continue;
    return decisions::makeFailure(isContinuation ? ErrorKind::TransactionAborted : ErrorKind::TargetUnreachable, reason);
}

void TargetPool::dropSession(const SessionPtr& session, const std::string& reason, bool isFailure)
{
    auto it = std::ranges::find(m_sessions, session);
    if (it == m_sessions.end())
        return;
    m_sessions.erase(it);
    base::incrementCounter(base::MetricFamily::ConnectionsClosed, { { "member", m_target.member } });
    detachTransaction(session);
    bool hasPending = session->countPending() > 0;
    auto pendingSince = session->getOldestPendingAt();
    // close() fails pending statements and thereby their jobs; jobs without a pending statement are completed below.
    session->close();
    auto running = m_runningJobs;
    for (auto& [job, jobSession] : running) {
        if (jobSession == session)
            completeJob(job, session, makeLostOutcome(*job, reason));
    }
    // A later answer on another connection shows that the target is alive. Clearing the proof time makes the next sweep request a proof at once.
    bool isAlive = std::ranges::any_of(m_sessions, [&](const SessionPtr& it) { return it->getLastReceivedAt() > pendingSince; });
    if (isFailure && hasPending && !isAlive)
        m_observer.onConnectionFailure(m_target, reason);
    if (isFailure && hasPending)
        m_primaryProvenAt = {};
    dispatch();
}

void TargetPool::shutDown(const std::string& reason)
{
    m_shutDownReason = reason;
    failWaitingIf([](const Job& it) { return it.request.kind == RequestKind::Continue; }, { ErrorKind::TransactionAborted, reason });
    failWaiting({ ErrorKind::TargetUnreachable, reason });
    auto sessions = m_sessions;
    for (auto& it : sessions)
        dropSession(it, reason);
}

}
