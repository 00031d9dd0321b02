#include "gateway/caller_session.h"
#include "base/event_log.h"
#include "decisions/hashing.h"
#include "decisions/scheduling.h"

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using decisions::ErrorKind;
using decisions::SessionState;
using decisions::Statement;
using decisions::StatementKind;

static constexpr size_t kMaxPreparedStatements = 256; // in one session; limits its memory
static constexpr size_t kMaxVariables = 256;
// A caller that ends its sending direction within this time of its statement is taken to wait for the answer, as one that sends its last statement
// does. Must exceed the interval of checkCaller().
static constexpr milliseconds kHalfCloseGrace { 40 };

CallerSession::CallerSession(SessionContext context, uint64_t number)
    : m_context(std::move(context))
    , m_name(std::to_string(number))
    , m_channel(std::make_shared<links::Channel>(m_context.context.get_executor(), links::ChannelOptions {}))
{
}

void CallerSession::start(boost::asio::ip::tcp::socket socket)
{
    auto self = shared_from_this();
    m_channel->start(
        std::move(socket), [self](std::string_view message) { self->handleMessage(message); }, [self](const std::string& reason) { self->close(reason); });
}

void CallerSession::handleMessage(std::string_view message)
{
    auto parsed = m_context.codec.parseCallerMessage(message);
    if (auto* opening = std::get_if<links::OpenSession>(&parsed); opening && !m_isOpen) {
        open(*opening);
    } else if (auto* statement = std::get_if<Statement>(&parsed); statement && m_isOpen) {
        handleStatement(*statement);
    } else if (std::holds_alternative<links::EndSession>(parsed)) {
        close("ended by the caller");
    } else {
        m_channel->send(m_context.codec.formatError({ ErrorKind::BadRequest, "unknown message, or not allowed in this state of the session" }));
        m_channel->closeAfterWrite();
        close("bad message");
    }
}

// Takes the route from the current configuration. Called between transactions only.
void CallerSession::refreshRoute()
{
    auto it = m_context.view.configuration.routes.find(m_database);
    if (it != m_context.view.configuration.routes.end())
        m_route = it->second;
    else
        m_route = {};
}

void CallerSession::handleStatement(const Statement& statement)
{
    m_isRunning = true;
    m_statementArrivedAt = Clock::now();
    m_hasSendingEnded = false;
    m_channel->setReadingPaused(true); // one statement at a time, as the next may depend on its result
    if (m_state == SessionState::Idle)
        refreshRoute();
    if (checkKeyLost()) {
        answerLostKey();
        return;
    }
    if (m_route.database.empty()) {
        answerError(ErrorKind::UnknownGroup, "the database no longer exists");
        return;
    }
    if (m_context.stop.phase == StopPhase::EndingTransactions && m_state != SessionState::Idle) {
        refuseForStop(statement);
        return;
    }
    if (m_state == SessionState::Failed) {
        endFailedTransaction(statement);
        return;
    }
    switch (statement.kind) {
    case StatementKind::SetVariable:
        setVariable(statement);
        break;
    case StatementKind::Prepare:
        prepare(statement);
        break;
    case StatementKind::Deallocate:
        deallocate(statement);
        break;
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        beginTransaction(statement);
        break;
    case StatementKind::Rollback:
        rollback(statement);
        break;
    case StatementKind::Unknown:
        answerError(ErrorKind::BadRequest, "unknown statement");
        break;
    default:
        runOnTarget(statement);
    }
}

void CallerSession::setVariable(const Statement& statement)
{
    if (m_variables.size() >= kMaxVariables && !m_variables.contains(statement.name)) {
        answerError(ErrorKind::BadRequest, "too many variables in one session");
        return;
    }
    m_variables[statement.name] = statement.argument;
    answerOk();
}

void CallerSession::prepare(const Statement& statement)
{
    if (m_prepared.size() >= kMaxPreparedStatements && !m_prepared.contains(statement.name)) {
        answerError(ErrorKind::BadRequest, "too many prepared statements in one session");
        return;
    }
    m_prepared[statement.name] = { statement.argument, statement.isWrite };
    answerOk();
}

void CallerSession::deallocate(const Statement& statement)
{
    if (m_prepared.erase(statement.name) == 0)
        answerError(ErrorKind::UnknownStatement, "no prepared statement has this name");
    else
        answerOk();
}

// The transaction begins at a target with its first statement; until then it needs no connection.
void CallerSession::beginTransaction(const Statement& statement)
{
    if (m_state != SessionState::Idle) {
        answerError(ErrorKind::BadRequest, "a transaction is already open");
        return;
    }
    m_state = SessionState::InTransaction;
    m_isReadOnly = statement.kind == StatementKind::BeginReadOnly;
    m_hasWritten = false;
    m_transactionTime = {};
    m_transaction.reset();
    answerOk();
}

void CallerSession::rollback(const Statement&)
{
    if (m_state != SessionState::InTransaction) {
        answerError(ErrorKind::BadRequest, "no transaction is open");
        return;
    }
    rollBack();
    m_state = SessionState::Idle;
    answerOk();
}

// Ends the transaction at its member, if it has begun there. The caller has still to be told.
void CallerSession::rollBack()
{
    if (m_transaction)
        m_context.router.end(*m_transaction);
    m_transaction.reset();
}

// The transaction was rolled back when it failed. The caller must still end it.
void CallerSession::endFailedTransaction(const Statement& statement)
{
    bool isEnd = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    if (!isEnd) {
        answerError(ErrorKind::BadRequest, "the transaction failed: commit or roll back before other statements");
        return;
    }
    m_state = SessionState::Idle;
    if (statement.kind == StatementKind::Rollback)
        answerOk();
    else
        answerError(ErrorKind::TransactionAborted, "the transaction failed earlier and was rolled back");
}

bool CallerSession::fillRoutedStatement(RoutedStatement& routed, const Statement& statement)
{
    auto now = m_statementArrivedAt;
    routed.route = m_route;
    routed.session = m_name;
    routed.arrivedAt = now;
    routed.request.statement = statement;
    routed.request.variables = m_variables;
    routed.request.priority = m_route.priority;
    routed.request.account = m_account;
    routed.request.database = static_cast<uint32_t>(decisions::getHash(m_route.database));
    bool isInTransaction = m_state == SessionState::InTransaction;
    routed.request.objective = decisions::getObjectiveEnd(now, m_route.objective, isInTransaction ? m_transactionTime : TimePoint::duration());
    routed.request.deadline = std::min(now + m_route.statementLimit, m_context.stop.answersUntil);
    if (statement.kind != StatementKind::Execute)
        return true;
    auto it = m_prepared.find(statement.name);
    if (it == m_prepared.end())
        return false;
    routed.request.shape = it->second;
    routed.request.statement.isWrite = it->second.isWrite;
    return true;
}

void CallerSession::runOnTarget(const Statement& statement)
{
    RoutedStatement routed;
    bool isCommit = statement.kind == StatementKind::Commit;
    if (isCommit && m_state != SessionState::InTransaction) {
        answerError(ErrorKind::BadRequest, "no transaction is open");
        return;
    }
    if (!fillRoutedStatement(routed, statement)) {
        answerError(ErrorKind::UnknownStatement, "no prepared statement has this name");
        return;
    }
    auto self = shared_from_this();
    auto resolvedStatement = routed.request.statement;
    auto done = [self, resolvedStatement](const Outcome& outcome, const std::optional<TransactionHandle>& transaction) { self->handleOutcome(resolvedStatement, outcome, transaction); };
    if (m_transaction) {
        m_statement = m_context.router.runNext(*m_transaction, std::move(routed), done);
        return;
    }
    bool isFirstInTransaction = m_state == SessionState::InTransaction;
    routed.request.kind = isFirstInTransaction ? RequestKind::Begin : RequestKind::Single;
    bool isReadOnly = isFirstInTransaction ? m_isReadOnly : !resolvedStatement.isWrite;
    routed.needsPrimary = !isReadOnly || m_route.consistency == decisions::Consistency::Primary;
    if (!routed.needsPrimary) {
        auto mark = decisions::getReadMark(m_route, m_context.view.groups[m_route.group].floors, m_lastCommit, routed.arrivedAt);
        routed.needsPrimary = !mark; // no floor is recent enough: only the primary can prove freshness
        routed.requiredMark = mark.value_or(Mark {});
    }
    routed.request.isReadOnly = isReadOnly && !routed.needsPrimary;
    m_statement = m_context.router.run(std::move(routed), done);
}

// The error reported to the caller. An unclear outcome becomes TransactionAborted only if no commit can have reached a target.
decisions::Error CallerSession::translateError(const Statement& statement, const decisions::Error& error, bool wasSent) const
{
    bool isInTransaction = m_state == SessionState::InTransaction;
    bool isCommit = statement.kind == StatementKind::Commit;
    bool mayBeCommitted = (isCommit && m_hasWritten) || (!isInTransaction && statement.isWrite);
    bool isOutcomeUnclear = error.kind == ErrorKind::OutcomeUnknown || error.kind == ErrorKind::StatementTimedOut || error.kind == ErrorKind::Internal;
    if (isOutcomeUnclear && mayBeCommitted && wasSent)
        return { ErrorKind::OutcomeUnknown, error.message };
    if (isOutcomeUnclear)
        return { ErrorKind::TransactionAborted, error.message };
    return error;
}

void CallerSession::handleOutcome(const Statement& statement, const Outcome& outcome, const std::optional<TransactionHandle>& transaction)
{
    if (!m_isRunning) // it was answered at the end of the grace period
        return;
    m_statement.reset();
    bool isCommit = statement.kind == StatementKind::Commit;
    bool wasInTransaction = m_state == SessionState::InTransaction;
    auto answer = outcome;
    if (answer.error)
        answer.error = translateError(statement, *answer.error, answer.wasSent);
    if (!answer.error && (isCommit ? m_hasWritten : !wasInTransaction && statement.isWrite))
        m_lastCommit = std::max(m_lastCommit, answer.position);
    if (wasInTransaction) {
        m_transactionTime += Clock::now() - m_statementArrivedAt;
        if (!m_transaction && transaction && !answer.error)
            m_transaction = transaction;
        m_hasWritten = m_hasWritten || statement.isWrite;
        if (answer.error && m_transaction && !isCommit)
            m_context.router.end(*m_transaction);
        if (answer.error || isCommit)
            m_transaction.reset();
        m_state = isCommit ? SessionState::Idle : answer.error ? SessionState::Failed
                                                               : SessionState::InTransaction;
    }
    bool isCallerGone = m_hasCallerGone || !m_channel->isOpen(); // it disconnected while its statement was running
    if (isCallerGone || m_context.stop.phase == StopPhase::EndingTransactions)
        rollBack();
    send(answer);
}

void CallerSession::answerOk()
{
    send({});
}

void CallerSession::answerError(ErrorKind kind, const std::string& message)
{
    if (m_state == SessionState::InTransaction && kind != ErrorKind::UnknownStatement) {
        rollBack();
        m_state = SessionState::Failed;
    }
    send(decisions::makeFailure(kind, message));
}

void CallerSession::send(const Outcome& outcome)
{
    m_isRunning = false;
    m_idleSince = Clock::now();
    m_channel->send(m_context.codec.formatAnswer(outcome, m_state));
    if (m_hasCallerGone) { // it may still receive, if it has ended only its sending direction
        m_channel->closeAfterWrite();
        close("the caller disconnected");
        return;
    }
    if (m_context.stop.phase != StopPhase::Serving && m_state == SessionState::Idle) {
        close("this host is stopping");
        return;
    }
    m_channel->setReadingPaused(false);
}

// The end of the caller's sending direction is all that is seen of a closed connection until something is sent on it. Unless it came together with
// the statement, the caller is taken to have gone.
void CallerSession::checkCaller(TimePoint now)
{
    if (!m_statement || m_hasCallerGone || !m_channel->isOpen())
        return;
    auto end = m_channel->checkRemoteEnd();
    if (end == links::RemoteEnd::Open)
        return;
    if (end == links::RemoteEnd::SendingEnded && (m_hasSendingEnded || now - m_statementArrivedAt < kHalfCloseGrace)) {
        m_hasSendingEnded = true;
        return;
    }
    m_hasCallerGone = true;
    m_context.router.abandon(m_statement);
}

void CallerSession::sweep(TimePoint now)
{
    if (m_pendingOpen && !mustWaitForConfiguration()) {
        auto message = std::move(*m_pendingOpen);
        m_pendingOpen.reset();
        open(message);
        return;
    }
    if (!m_isRunning && checkKeyLost()) {
        closeForLostKey();
        return;
    }
    auto limit = m_context.view.configuration.transactionIdle;
    bool isIdleInTransaction = m_state == SessionState::InTransaction && !m_isRunning && m_transaction;
    if (limit.count() == 0 || !isIdleInTransaction || now - m_idleSince < limit)
        return;
    base::logEvent(LogClass::Failure, "transaction-ended", { { "session", std::string_view(m_name) }, { "reason", "the transaction was idle for too long" } });
    rollBack();
    m_state = SessionState::Failed;
}

void CallerSession::close(const std::string&)
{
    m_channel->closeAfterWrite();
    if (!m_isRunning)
        rollBack();
    auto self = shared_from_this();
    if (m_context.onEnd)
        m_context.onEnd(self);
}

}
