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

static constexpr unsigned kReservedConnections = 2; // not available to transactions, so that single statements are still served
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

void TargetPool::finish(const JobPtr& job, Outcome outcome)
{
    if (job->isDone())
        return;
    auto done = std::move(*job->done);
    *job->done = nullptr;
    boost::asio::post(m_executor, [done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
}

void TargetPool::failWaiting(const decisions::Error& error)
{
    auto waiting = std::move(m_waitingJobs);
    m_waitingJobs.clear();
    m_queue.entries.clear();
    for (auto& [number, job] : waiting)
        finish(job, decisions::makeFailure(error.kind, error.message));
}

unsigned TargetPool::countRunning() const
{
    return static_cast<unsigned>(std::ranges::count_if(m_runningJobs, [](const auto& it) { return !it.first->isStalled; }));
}

}
