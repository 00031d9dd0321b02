#include "gateway/target_pool.h"
#include "base/families.h"
#include "base/metrics.h"
#include "base/random.h"
#include "decisions/limits.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kConnectTimeout { 700 };
static constexpr milliseconds kConnectionRefusedBackoff { 300 }; // other hosts may use all connections of the target
static constexpr milliseconds kConnectFailureBackoff { 100 };
static constexpr unsigned kReservedConnections = 2; // not available to transactions, so that single statements are still served
static constexpr milliseconds kBusyRetryDelay { 15 }; // about the time of one statement
static constexpr size_t kMaxPreparedShapes = 200; // per connection; the connection is reset beyond this
static constexpr unsigned kMaxOpening = 2; // opening a connection occupies a slot of the target
static constexpr milliseconds kMinRetryAfter { 300 }; // earlier, refused callers would meet the same queue

TargetPool::TargetPool(boost::asio::any_io_executor executor, const links::StatementCodec& codec, TargetAddress target, std::string hostName, PoolObserver observer)
    : m_executor(std::move(executor))
    , m_codec(codec)
    , m_target(std::move(target))
    , m_hostName(std::move(hostName))
    , m_observer(std::move(observer))
{
}

PoolLoad TargetPool::getLoad() const
{
    return { static_cast<unsigned>(m_waitingJobs.size()), countRunning(), m_queue.workMs };
}

std::map<std::string, AccountPoolUse> TargetPool::getUseByAccount() const
{
    std::map<std::string, AccountPoolUse> uses;
    for (auto& it : m_sessions)
        ++uses[it->account].connections;
    for (auto& [number, job] : m_waitingJobs)
        ++uses[job->request.account].waiting;
    for (auto& [job, session] : m_runningJobs)
        uses[job->request.account].running += job->isStalled ? 0 : 1;
    return uses;
}

void TargetPool::setLimits(const PoolLimits& limits)
{
    m_limits = limits;
    m_queue.concurrency = limits.concurrency;
    m_queue.shares.isEnabled = limits.isPerAccount;
}

static bool isInTransaction(RequestKind kind)
{
    return kind == RequestKind::Begin || kind == RequestKind::Continue;
}

static decisions::SchedulingParameters getScheduling(const StatementRequest& request)
{
    return { request.kind == RequestKind::Continue, request.priority, request.objective, request.deadline };
}

decisions::QueueEntry TargetPool::makeQueueEntry(const Job& job)
{
    return { job.number, getScheduling(job.request), { job.request.database, isInTransaction(job.request.kind) }, job.submittedAt, job.account };
}

uint32_t TargetPool::identifyAccount(const std::string& account)
{
    if (!m_limits.isPerAccount)
        return 0;
    auto number = decisions::getAccountNumber(m_queue.shares, account);
    m_queue.shares.accounts[number].weight = m_observer.getAccountWeight(account);
    return number;
}

uint64_t TargetPool::submit(StatementRequest request, RequestCallback done)
{
    auto now = Clock::now();
    m_lastRequestAccount = request.account;
    auto job = std::make_shared<Job>(Job { std::move(request), std::make_shared<RequestCallback>(std::move(done)), now });
    if (isShutDown()) {
        bool isContinuation = job->request.kind == RequestKind::Continue;
        finish(job, decisions::makeFailure(isContinuation ? ErrorKind::TransactionAborted : ErrorKind::TargetUnreachable, m_shutDownReason));
        return 0;
    }
    if (m_hasOpenFailed && m_sessions.empty()) { // the target is probably down: fail fast and let a new attempt run in the background
        if (m_openingCount == 0 && now >= m_nextOpeningAt)
            openSession(job->request.account);
        finish(job, decisions::makeFailure(ErrorKind::TargetUnreachable, "no connection to the target could be opened"));
        return 0;
    }
    job->number = ++m_lastQueueNumber;
    job->account = identifyAccount(job->request.account);
    auto handle = job->handle = job->number;
    m_waitingJobs[job->number] = job;
    refuseEntries(decisions::admit(m_queue, makeQueueEntry(*job), now), false);
    if (!m_isDispatching) {
        m_isDispatching = true;
        boost::asio::post(m_executor, [self = shared_from_this()] {
            self->m_isDispatching = false;
            self->dispatch();
        });
    }
    return handle;
}

// A hedge is removed silently while its first attempt may still be answered.
CancelResult TargetPool::cancel(uint64_t handle)
{
    bool isRunning = std::ranges::any_of(m_runningJobs, [&](const auto& it) { return it.first->handle == handle && !it.first->isDone(); });
    auto waiting = std::ranges::find_if(m_waitingJobs, [&](const auto& it) { return it.second->handle == handle && !it.second->isDone(); });
    if (waiting == m_waitingJobs.end())
        return isRunning ? CancelResult::Running : CancelResult::NotFound;
    auto job = waiting->second;
    std::erase_if(m_queue.entries, [&](const decisions::QueueEntry& it) { return it.number == job->number; });
    m_waitingJobs.erase(waiting);
    if (isRunning)
        return CancelResult::Running;
    finish(job, decisions::makeFailure(ErrorKind::CallerGone, "the caller disconnected before the statement was sent"));
    if (job->request.kind == RequestKind::Continue)
        endTransaction(job->request.transaction);
    return CancelResult::Removed;
}

// Queues a job without admission control, as it has been admitted before.
void TargetPool::enqueue(const JobPtr& job)
{
    job->number = ++m_lastQueueNumber;
    m_waitingJobs[job->number] = job;
    m_queue.entries.push_back(makeQueueEntry(*job));
}

void TargetPool::countAccountRefusal(bool isAboveShare, bool wasQueued) const
{
    std::string_view reason = "deadline";
    if (isAboveShare)
        reason = "above-share";
    else if (wasQueued)
        reason = "waited";
    else if (m_queue.overload.isSustained)
        reason = "overload";
    base::incrementCounter(base::MetricFamily::AccountRefused, { { "member", m_target.member }, { "reason", reason } });
}

// Fails the jobs of entries that the queue refused on arrival or removed. None of them was sent.
void TargetPool::refuseEntries(const std::vector<decisions::QueueEntry>& entries, bool wasQueued)
{
    for (auto& it : entries) {
        auto job = m_waitingJobs.at(it.number);
        m_waitingJobs.erase(it.number);
        bool isAboveShare = decisions::getShareRank(m_queue.shares, it.account) > 0;
        std::string reason = "not sent before its deadline or the queue's wait limit";
        if (!wasQueued)
            reason = fmt::format("overloaded: {} statements queued at {:.0f} ms each{}", m_waitingJobs.size(), m_queue.workMs, m_queue.overload.isSustained ? " for a sustained time" : "");
        if (isAboveShare)
            reason += "; the client account uses more than its share of the member";
        if (m_limits.isPerAccount)
            countAccountRefusal(isAboveShare, wasQueued);
        if (!wasQueued || m_limits.isPerAccount) {
            auto wait = milliseconds(static_cast<int64_t>(decisions::getRetryAfterMs(m_queue, it)));
            auto retryAfter = decisions::jitterRetryAfter(std::max(wait, kMinRetryAfter), base::getRandom());
            reason += fmt::format("; retry after {} ms", retryAfter.count());
        }
        finish(job, decisions::makeFailure(ErrorKind::Overloaded, reason));
    }
}

// Whether the job may write and must wait for a handover.
bool TargetPool::isHeld(const Job& job, TimePoint now) const
{
    auto& request = job.request;
    bool mayWrite = request.statement.isWrite || (request.kind == RequestKind::Begin && !request.isReadOnly) || request.statement.kind == StatementKind::Commit;
    return mayWrite && now < m_writesHeldUntil;
}

static bool needsPrimary(const StatementRequest& request)
{
    bool isWrite = request.kind == RequestKind::Single && request.statement.isWrite;
    return isWrite || request.kind == RequestKind::PrimaryRead || (request.kind == RequestKind::Begin && !request.isReadOnly);
}

// Whether the job could be sent now if it had a connection.
bool TargetPool::canRunOnceConnected(const Job& job, TimePoint now) const
{
    auto& request = job.request;
    if (now < job.retryAt || isHeld(job, now) || (m_logComparison != LogComparison::NotNeeded && needsPrimary(request)))
        return false;
    return request.kind != RequestKind::Begin || decisions::canBeginTransaction(m_queue.shares, job.account, getTransactionPlaces(), m_transactions.size());
}

size_t TargetPool::getTransactionPlaces() const
{
    return m_limits.maxConnections - std::min(kReservedConnections, m_limits.maxConnections - 1);
}

bool TargetPool::isRunnable(const Job& job, TimePoint now) const
{
    if (!canRunOnceConnected(job, now))
        return false;
    if (job.request.kind != RequestKind::Continue)
        return hasIdleSession(job.request.account);
    auto it = m_transactions.find(job.request.transaction);
    return it == m_transactions.end() || !it->second.session->isBusy;
}

bool TargetPool::hasIdleSession(const std::string& account) const
{
    return std::ranges::any_of(m_sessions, [&](const SessionPtr& it) { return it->isIdle() && it->account == account; });
}

unsigned TargetPool::countIdleSessions() const
{
    return static_cast<unsigned>(std::ranges::count_if(m_sessions, [](const SessionPtr& it) { return it->isIdle(); }));
}

TargetPool::JobPtr TargetPool::popNext(TimePoint now)
{
    auto next = decisions::popNextRunnable(m_queue, now, [&](const decisions::QueueEntry& it) { return isRunnable(*m_waitingJobs.at(it.number), now); });
    if (!next)
        return nullptr;
    auto job = m_waitingJobs.at(next->number);
    m_waitingJobs.erase(next->number);
    job->chargedMs = next->chargedMs;
    return job;
}

// Fails matching jobs in the queue, none of which was sent. A hedge is removed silently, as its first attempt may still be answered.
void TargetPool::failWaitingIf(const std::function<bool(const Job&)>& mustFail, const decisions::Error& error)
{
    std::vector<JobPtr> failed;
    std::erase_if(m_queue.entries, [&](const decisions::QueueEntry& it) {
        auto job = m_waitingJobs.at(it.number);
        if (!mustFail(*job))
            return false;
        failed.push_back(job);
        m_waitingJobs.erase(it.number);
        return true;
    });
    for (auto& job : failed) {
        if (!job->isHedge)
            finish(job, decisions::makeFailure(error.kind, error.message));
    }
}

void TargetPool::dispatch()
{
    auto now = Clock::now();
    // A leaving member can stop accepting operations while they are queued, so it is checked here as well as in routing.
    if (!m_acceptsNewOperations)
        failWaitingIf([](const Job& it) { return it.request.kind != RequestKind::Continue; }, { ErrorKind::TargetUnreachable, "the member is leaving and accepts no new operations" });
    // The replicas may not answer for long, so callers get an error at once; another host may know the primary's state.
    if (m_logComparison == LogComparison::AnswersMissing)
        failWaitingIf([](const Job& it) { return needsPrimary(it.request); }, { ErrorKind::NoPrimary, "the primary may have lost its log, and the replicas that could tell do not answer" });
    std::erase_if(m_queue.entries, [&](const decisions::QueueEntry& it) {
        bool isDone = m_waitingJobs.at(it.number)->isDone(); // a hedge whose first attempt has been answered
        if (isDone)
            m_waitingJobs.erase(it.number);
        return isDone;
    });
    if (now < m_writesHeldUntil)
        decisions::noteQueueHeld(m_queue, now);
    while (!m_waitingJobs.empty() && countRunning() < m_limits.concurrency) {
        auto job = popNext(now);
        if (!job)
            break;
        if (!decisions::isWorthSending(getScheduling(job->request), now, m_queue.workMs) && job->request.statement.kind != StatementKind::Commit) {
            decisions::settleCharge(m_queue, job->account, job->chargedMs, 0);
            finish(job, decisions::makeFailure(ErrorKind::Overloaded, "queued too long to be answered before the deadline"));
            continue;
        }
        auto session = findSession(*job);
        if (session)
            startJob(job, session);
        else { // its transaction lost its connection while the job was queued
            decisions::settleCharge(m_queue, job->account, job->chargedMs, 0);
            finish(job, decisions::makeFailure(ErrorKind::TransactionAborted, "the connection of the transaction was lost"));
        }
    }
    openSessions(now);
}

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

// Returns the connection of the job's transaction, or else the idle one that needs the fewest messages to set up the session's state.
TargetPool::SessionPtr TargetPool::findSession(const Job& job) const
{
    if (job.request.kind == RequestKind::Continue) {
        auto it = m_transactions.find(job.request.transaction);
        return it == m_transactions.end() ? nullptr : it->second.session;
    }
    SessionPtr best;
    size_t bestCost = 0;
    for (auto& it : m_sessions) {
        if (!it->isIdle() || it->account != job.request.account)
            continue;
        auto cost = decisions::planConnection(it->state, job.request.variables, job.request.shape).getCost();
        if (!best || cost < bestCost) {
            best = it;
            bestCost = cost;
        }
    }
    return best;
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

void TargetPool::startJob(const JobPtr& job, const SessionPtr& session)
{
    job->startedAt = Clock::now();
    base::observeHistogram(base::MetricFamily::QueueSeconds, { { "member", m_target.member } }, std::chrono::duration<double>(job->startedAt - job->submittedAt).count());
    bool isContinuation = job->request.kind == RequestKind::Continue;
    base::checkInvariant(!session->isBusy && (session->transaction != 0) == isContinuation, "a connection was assigned to a job while another job or transaction holds it", m_target.member);
    session->isBusy = true;
    m_runningJobs.emplace_back(job, session);
    prepareSession(*job, session);
    if (job->request.kind == RequestKind::Begin || job->request.kind == RequestKind::PrimaryRead)
        beginTransaction(job, session);
    else
        runStatement(job, session);
}

// Sets the session's variables and prepared statement on the connection. Pipelined with the statement, as a target does not refuse these
// messages; if one fails nevertheless, the connection is closed.
void TargetPool::prepareSession(const Job& job, const SessionPtr& session)
{
    auto& request = job.request;
    auto plan = decisions::planConnection(session->state, request.variables, request.shape);
    if (session->state.prepared.size() > kMaxPreparedShapes)
        plan = decisions::planConnection({ { { "", "" } }, {} }, request.variables, request.shape);
    auto self = shared_from_this();
    auto closeOnError = [self, session](const Outcome& outcome) {
        if (outcome.error)
            self->dropSession(session, "session setup failed: " + outcome.error->message);
    };
    if (plan.mustReset)
        session->sendStatement(m_codec.formatReset(), closeOnError);
    for (const auto& [name, value] : plan.variables)
        session->sendStatement(m_codec.formatSetVariable(name, value), closeOnError);
    if (plan.mustPrepare)
        session->sendStatement(m_codec.formatPrepare(decisions::getPreparedName(*request.shape), *request.shape), closeOnError);
    session->state = decisions::applyPlan(std::move(session->state), plan, request.shape);
}

void TargetPool::beginTransaction(const JobPtr& job, const SessionPtr& session)
{
    auto sentAt = Clock::now();
    bool isReadOnly = job->request.kind == RequestKind::Begin && job->request.isReadOnly;
    if (job->request.kind == RequestKind::Begin) {
        session->transaction = job->request.transaction;
        m_transactions[job->request.transaction] = { session, { job->request.database, true }, job->account };
        ++m_queue.shares.accounts[job->account].openTransactions;
    }
    auto knownMark = m_observer.getKnownMark(m_target);
    session->sendStatement(m_codec.formatBegin(isReadOnly, job->request.atLeast), [self = shared_from_this(), job, session, sentAt, isReadOnly, knownMark](const Outcome& outcome) {
        if (!outcome.error) {
            if (!isReadOnly && !self->applyPrimaryProof(outcome.position, sentAt, knownMark)) {
                self->detachTransaction(session);
                self->completeJob(job, session, decisions::makeFailure(ErrorKind::NotPrimary, "the member has lost its log"));
                return;
            }
            if (job->isDone()) // it timed out meanwhile, and its connection is closed
                return;
            self->runStatement(job, session);
            return;
        }
        self->detachTransaction(session);
        auto refused = outcome;
        refused.wasSent = false; // only the BEGIN was sent
        if (refused.error->kind == ErrorKind::OutcomeUnknown)
            refused.error->kind = ErrorKind::TargetUnreachable;
        self->completeJob(job, session, refused);
    });
}

void TargetPool::runStatement(const JobPtr& job, const SessionPtr& session)
{
    auto& request = job->request;
    base::checkInvariant(session->transaction == request.transaction || request.kind == RequestKind::Single || request.kind == RequestKind::PrimaryRead, "a statement was about to run in a transaction other than its own", m_target.member);
    base::checkInvariant(session->state.variables == request.variables, "a statement was about to run with variables that are not its session's", m_target.member);
    auto atLeast = request.kind == RequestKind::Single ? request.atLeast : Mark {};
    auto bytes = m_codec.formatStatement(request.statement, atLeast, request.shape ? decisions::getPreparedName(*request.shape) : "");
    auto sentAt = Clock::now();
    auto knownMark = m_observer.getKnownMark(m_target);
    session->sendStatement(bytes, [self = shared_from_this(), job, session, sentAt, knownMark](const Outcome& outcome) {
        auto& request = job->request;
        bool isCommit = request.statement.kind == StatementKind::Commit;
        if (!outcome.error)
            self->recordWorkTime(*job);
        // A write outside a transaction succeeds only at a primary.
        if (!outcome.error && request.kind == RequestKind::Single && request.statement.isWrite)
            self->applyPrimaryProof(outcome.position, sentAt, knownMark);
        if (isCommit && !self->canRetryWhenBusy(*job, session, outcome))
            self->detachTransaction(session);
        self->completeJob(job, session, outcome);
    });
    if (request.kind == RequestKind::PrimaryRead)
        rollBack(session);
}

// The connection is released when the target has answered the ROLLBACK.
void TargetPool::rollBack(const SessionPtr& session)
{
    session->sendStatement(m_codec.formatRollback(), [self = shared_from_this(), session](const Outcome&) {
        self->releaseSession(session);
        self->dispatch();
    });
}

// Records the time of a statement, and adds it to the cost of its operation.
void TargetPool::recordWorkTime(const Job& job)
{
    std::chrono::duration<double, std::milli> elapsed = Clock::now() - job.startedAt;
    m_queue.workMs = decisions::updateWorkTime(m_queue.workMs, elapsed.count());
    if (!isInTransaction(job.request.kind))
        decisions::recordOperationCost(m_queue.costs, { job.request.database, false }, elapsed.count());
    else if (auto it = m_transactions.find(job.request.transaction); it != m_transactions.end())
        it->second.slotMs += elapsed.count();
}

// Removes the transaction from its connection, whatever its outcome, and records its cost.
void TargetPool::detachTransaction(const SessionPtr& session)
{
    auto it = m_transactions.find(session->transaction);
    session->transaction = 0;
    if (it == m_transactions.end())
        return;
    if (it->second.slotMs > 0)
        decisions::recordOperationCost(m_queue.costs, it->second.kind, it->second.slotMs);
    --m_queue.shares.accounts[it->second.account].openTransactions;
    m_transactions.erase(it);
}

// Applies an answer that only a primary gives. Returns false if the target has lost its log, so the answer is no proof.
bool TargetPool::applyPrimaryProof(const Mark& position, TimePoint sentAt, const Mark& knownMark)
{
    if (decisions::hasLostLog(knownMark, position)) {
        m_observer.onLostLog(m_target, position);
        return false;
    }
    m_primaryProvenAt = std::max(m_primaryProvenAt, sentAt);
    m_observer.onPrimaryProven(m_target, position, sentAt);
    return true;
}

void TargetPool::completeJob(const JobPtr& job, const SessionPtr& session, const Outcome& outcome)
{
    auto it = std::ranges::find(m_runningJobs, job, &std::pair<JobPtr, SessionPtr>::first);
    if (it != m_runningJobs.end()) {
        m_runningJobs.erase(it);
        std::chrono::duration<double, std::milli> used = Clock::now() - job->startedAt;
        // A stalled statement occupies no slot as far as the pool knows, so its account keeps the typical charge.
        decisions::settleCharge(m_queue, job->account, job->chargedMs, job->isStalled ? job->chargedMs : used.count());
    }
    if (session->isOpen()) {
        std::chrono::duration<double, std::milli> elapsed = Clock::now() - job->startedAt;
        m_lastAnswerAt = Clock::now();
        base::observeHistogram(base::MetricFamily::TargetSeconds, { { "member", m_target.member } }, elapsed.count() / 1000);
        m_observer.onAnswer(m_target);
        if (outcome.position.term != 0)
            m_observer.onPosition(m_target, outcome.position);
        if (outcome.error && outcome.error->kind == ErrorKind::NotPrimary)
            m_observer.onReplicaReported(m_target);
        session->lastUsedAt = Clock::now();
        ++session->servedJobs;
        bool awaitsRollback = session->countPending() > 0;
        if (!awaitsRollback)
            releaseSession(session);
    }
    if (canRetryWhenBusy(*job, session, outcome)) {
        ++job->busyCount;
        job->retryAt = Clock::now() + kBusyRetryDelay;
        job->isStalled = false;
        enqueue(job);
    } else
        finish(job, outcome);
    dispatch();
}

// A busy target has not executed the statement. A transaction cannot move to another target, and aborting it would waste its work so far.
bool TargetPool::canRetryWhenBusy(const Job& job, const SessionPtr& session, const Outcome& outcome) const
{
    bool wasBusy = outcome.error && outcome.error->kind == ErrorKind::Overloaded && outcome.wasSent;
    bool isInTransaction = job.request.kind == RequestKind::Continue && session->isOpen() && session->getTargetState() == decisions::SessionState::InTransaction;
    return wasBusy && isInTransaction && !job.isDone() && job.busyCount < decisions::kMaxBusyAttempts && Clock::now() + kBusyRetryDelay < job.request.deadline;
}

// A connection on which a transaction is still open must not serve another caller. A failed statement or ROLLBACK can leave one open.
void TargetPool::releaseSession(const SessionPtr& session)
{
    session->isBusy = false;
    if (session->isOpen() && session->transaction == 0 && session->getTargetState() != decisions::SessionState::Idle)
        dropSession(session, "a transaction was left open on it");
}

void TargetPool::finish(const JobPtr& job, Outcome outcome)
{
    if (job->isDone())
        return;
    auto done = std::move(*job->done);
    *job->done = nullptr;
    boost::asio::post(m_executor, [done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

void TargetPool::endTransaction(uint64_t transaction)
{
    auto it = m_transactions.find(transaction);
    if (it == m_transactions.end())
        return;
    auto session = it->second.session;
    detachTransaction(session);
    if (session->isBusy) { // a statement is running at the target; closing the connection aborts it
        dropSession(session, "its transaction was ended while a statement was running");
        return;
    }
    session->isBusy = true;
    rollBack(session);
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
            completeJob(job, session, decisions::makeFailure(ErrorKind::OutcomeUnknown, reason, true));
    }
    // A later answer on another connection shows that the target is alive. Clearing the proof time makes the next sweep request a proof at once.
    bool isAlive = std::ranges::any_of(m_sessions, [&](const SessionPtr& it) { return it->getLastReceivedAt() > pendingSince; });
    if (isFailure && hasPending && !isAlive)
        m_observer.onConnectionFailure(m_target, reason);
    if (isFailure && hasPending)
        m_primaryProvenAt = {};
    dispatch();
}

void TargetPool::failWaiting(const decisions::Error& error)
{
    auto waiting = std::move(m_waitingJobs);
    m_waitingJobs.clear();
    m_queue.entries.clear();
    for (auto& [number, job] : waiting)
        finish(job, decisions::makeFailure(error.kind, error.message));
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

unsigned TargetPool::countRunning() const
{
    return static_cast<unsigned>(std::ranges::count_if(m_runningJobs, [](const auto& it) { return !it.first->isStalled; }));
}

}
