// The statements and transactions of a target pool, from the connection that was chosen to the answer.
#include "base/families.h"
#include "base/metrics.h"
#include "gateway/target_pool.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;
using decisions::StatementKind;

static constexpr milliseconds kBusyRetryDelay { 15 }; // about the time of one statement
static constexpr size_t kMaxPreparedShapes = 200; // per connection; the connection is reset beyond this

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

}
