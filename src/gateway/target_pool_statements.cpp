// The statements and transactions of a target pool, from the connection that was chosen to the answer.
#include "base/event_log.h"
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
    job->isSent = false;
    m_runningJobs.emplace_back(job, session);
    auto setup = sendSetup(*job, session);
    if (job->request.kind == RequestKind::Begin || job->request.kind == RequestKind::PrimaryRead) {
        beginTransaction(job, session, setup);
        return;
    }
    if (setup->pendingAnswers == 0) {
        runStatement(job, session);
        return;
    }
    setup->onDone = [self = shared_from_this(), job, session, setup = setup.get()] { // the setup owns this function
        if (setup->error)
            self->refuseSetup(job, session, *setup->error);
        else if (!job->isDone()) // it has not timed out meanwhile
            self->runStatement(job, session);
    };
}

decisions::ConnectionPlan TargetPool::planSetup(const Job& job, const TargetSession& session) const
{
    if (session.state.prepared.size() <= kMaxPreparedShapes)
        return decisions::planConnection(session.state, job.request.variables, job.request.shape);
    auto state = session.state;
    state.isUncertain = true; // it is reset
    return decisions::planConnection(state, job.request.variables, job.request.shape);
}

// Sets the job's variables and its prepared statement on the connection. A target may refuse any of these messages, so the statement must not be sent
// before all of them are answered; a connection that is set up already costs no round trip.
TargetPool::SetupPtr TargetPool::sendSetup(const Job& job, const SessionPtr& session)
{
    auto& request = job.request;
    auto setup = std::make_shared<SessionSetup>();
    setup->plan = planSetup(job, *session);
    auto& plan = setup->plan;
    setup->pendingAnswers = plan.getCost();
    if (setup->pendingAnswers == 0) {
        base::incrementCounter(base::MetricFamily::SessionSetups, { { "member", m_target.member }, { "result", "not-needed" } });
        return setup;
    }
    auto onAnswer = [self = shared_from_this(), setup, session, shape = request.shape](const Outcome& outcome) { self->handleSetupAnswer(setup, shape, session, outcome); };
    if (plan.mustReset)
        session->sendStatement(m_codec.formatReset(), onAnswer);
    for (const auto& [name, value] : plan.variables)
        session->sendStatement(m_codec.formatSetVariable(name, value), onAnswer);
    if (!plan.preparedName.empty())
        session->sendStatement(m_codec.formatPrepare(plan.preparedName, *request.shape), onAnswer);
    return setup;
}

void TargetPool::handleSetupAnswer(const SetupPtr& setup, const std::optional<decisions::PreparedShape>& shape, const SessionPtr& session, const Outcome& outcome)
{
    bool isReset = setup->plan.mustReset && setup->pendingAnswers == setup->plan.getCost(); // it was sent first
    setup->isResetRefused = setup->isResetRefused || (isReset && outcome.error);
    if (outcome.error && !setup->error)
        setup->error = outcome.error;
    if (--setup->pendingAnswers > 0)
        return;
    session->state = setup->error ? decisions::applyRefusedPlan(std::move(session->state), setup->plan) : decisions::applyPlan(std::move(session->state), setup->plan, shape);
    base::incrementCounter(base::MetricFamily::SessionSetups, { { "member", m_target.member }, { "result", setup->error ? "failed" : "accepted" } });
    if (setup->isResetRefused) // the connection could never be used again
        dropSession(session, "the connection could not be reset: " + setup->error->message);
    auto onDone = std::exchange(setup->onDone, nullptr);
    if (onDone)
        onDone();
}

// The statement was not sent. A target that calls the setup malformed would not be the only one, so the caller gets that error; for other errors, another
// target or connection may be tried. An open transaction is rolled back.
void TargetPool::refuseSetup(const JobPtr& job, const SessionPtr& session, const decisions::Error& error)
{
    auto reason = "the connection could not be set up: " + error.message;
    base::logEvent(base::LogClass::Failure, "setup-refused", { { "member", std::string_view(m_target.member) }, { "request", std::string_view(job->request.statement.id) }, { "reason", std::string_view(reason) } });
    bool isFinal = error.kind == ErrorKind::BadRequest || decisions::canTryOtherTarget(error.kind);
    auto kind = isFinal ? error.kind : ErrorKind::TargetUnreachable;
    if (job->request.kind == RequestKind::Continue) {
        kind = ErrorKind::TransactionAborted;
        detachTransaction(session);
        if (session->isOpen())
            rollBack(session);
    }
    completeJob(job, session, decisions::makeFailure(kind, reason));
}

void TargetPool::beginTransaction(const JobPtr& job, const SessionPtr& session, const SetupPtr& setup)
{
    auto sentAt = Clock::now();
    bool isReadOnly = job->request.kind == RequestKind::Begin && job->request.isReadOnly;
    if (job->request.kind == RequestKind::Begin) {
        session->transaction = job->request.transaction;
        m_transactions[job->request.transaction] = { session, { job->request.database, true }, job->account };
        ++m_queue.shares.accounts[job->account].openTransactions;
    }
    auto knownMark = m_observer.getKnownMark(m_target);
    session->sendStatement(m_codec.formatBegin(isReadOnly, job->request.atLeast), [self = shared_from_this(), job, session, setup, sentAt, isReadOnly, knownMark](const Outcome& outcome) {
        if (setup->error) {
            self->detachTransaction(session);
            if (!outcome.error)
                self->rollBack(session);
            self->refuseSetup(job, session, *setup->error);
            return;
        }
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
    auto bytes = m_codec.formatStatement(request.statement, atLeast, request.shape ? decisions::findPreparedName(session->state, *request.shape) : "");
    job->isSent = true;
    noteWrite(*job);
    job->termBefore = m_observer.getKnownTerm(m_target);
    auto sentAt = Clock::now();
    auto knownMark = m_observer.getKnownMark(m_target);
    session->sendStatement(bytes, [self = shared_from_this(), job, session, sentAt, knownMark](const Outcome& outcome) {
        auto& request = job->request;
        bool isCommit = request.statement.kind == StatementKind::Commit;
        if (!outcome.error)
            self->recordWorkTime(*job);
        // A write outside a transaction succeeds only at a primary. With synchronous replicas its answer may come after a change of the term, and then
        // does not tell who leads the new one.
        bool mayHaveLostLead = job->termBefore != 0 && outcome.position.term > job->termBefore;
        if (!outcome.error && !mayHaveLostLead && request.kind == RequestKind::Single && request.statement.isWrite)
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
        finishConfirmed(job, outcome);
    dispatch();
}

void TargetPool::noteWrite(Job& job)
{
    auto transaction = m_transactions.find(job.request.transaction);
    if (transaction == m_transactions.end())
        return;
    bool isCommit = job.request.statement.kind == StatementKind::Commit;
    transaction->second.hasWritten = transaction->second.hasWritten || job.request.statement.isWrite;
    job.isWritingCommit = isCommit && transaction->second.hasWritten;
}

// A commit that a promotion could lose is not acknowledged to its caller.
void TargetPool::finishConfirmed(const JobPtr& job, const Outcome& outcome)
{
    bool isSingleWrite = job->request.kind == RequestKind::Single && job->request.statement.isWrite;
    if (outcome.error || !(isSingleWrite || job->isWritingCommit)) {
        finish(job, outcome);
        return;
    }
    AcknowledgedCommit commit { m_target, job->termBefore, outcome.position };
    m_observer.confirmCommit(commit, job->request.deadline, [self = shared_from_this(), job, outcome](bool isConfirmed) {
        self->finish(job, isConfirmed ? outcome : decisions::makeFailure(ErrorKind::OutcomeUnknown, "committed, but the member that may be promoted has not confirmed it", true));
    });
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
