// What a planned stop of this host does to a caller's session. Whatever a caller has sent is answered before its connection is closed.
#include "gateway/caller_session.h"

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;
using decisions::SessionState;
using decisions::Statement;
using decisions::StatementKind;

// Of a transaction that was rolled back: so that its caller learns it from an answer. Longer than callers pause between two statements.
static constexpr milliseconds kAbortNoticeTime { 1000 };

void CallerSession::advanceStop(TimePoint now)
{
    if (m_isRunning || m_pendingOpen || m_channel->hasUnreadBytes()) // answered first
        return;
    if (m_state == SessionState::Idle) {
        close("this host is stopping");
        return;
    }
    if (m_context.stop.phase != StopPhase::EndingTransactions)
        return;
    rollBack();
    bool hadTime = now - std::max(m_idleSince, m_context.stop.transactionsEndAt) >= kAbortNoticeTime;
    if (hadTime)
        close("this host is stopping");
}

// No further statement of an open transaction is passed on. Nothing of it is kept, also if its caller asks for a commit.
void CallerSession::refuseForStop(const Statement& statement)
{
    rollBack();
    m_state = SessionState::Idle;
    if (statement.kind == StatementKind::Rollback)
        answerOk();
    else
        answerError(ErrorKind::TransactionAborted, "this host is stopping: the transaction was rolled back");
}

void CallerSession::endStop()
{
    if (m_isRunning && m_statement) {
        auto statement = m_statement->request.statement;
        auto error = translateError(statement, { ErrorKind::OutcomeUnknown, "this host is stopping, and the member has not answered" }, true);
        bool isInTransaction = m_state == SessionState::InTransaction && statement.kind != StatementKind::Commit;
        m_state = isInTransaction ? SessionState::Failed : SessionState::Idle;
        send(decisions::makeFailure(error.kind, error.message, true));
    }
    if (m_channel->isOpen())
        close("this host is stopping");
}

}
