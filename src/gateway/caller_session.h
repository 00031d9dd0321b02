// A caller's session: one connection with its variables, prepared statements and transaction. Statements that only change the session are
// answered here; all others go to a target.
//
// [SECTION] by source file
//   caller_session.cpp         statements and transactions
//   caller_session_opening.cpp the handshake and the caller's key
//   caller_session_stop.cpp    a planned stop of this host
#pragma once
#include "gateway/statement_router.h"

namespace alderward::gateway {

// How far a planned stop of this host has got.
enum class StopPhase {
    Serving, // sessions are opened and kept
    ClosingIdle, // sessions are closed between transactions
    EndingTransactions, // no further statement of an open transaction is passed on
};

struct StopState {
    StopPhase phase { StopPhase::Serving };
    TimePoint transactionsEndAt { TimePoint::max() }; // begin of EndingTransactions
    TimePoint answersUntil { TimePoint::max() }; // statements that arrive are answered by then, before the process ends
};

struct SessionContext {
    boost::asio::io_context& context;
    const links::StatementCodec& codec;
    ClusterView& view;
    StatementRouter& router;
    const StopState& stop;
    base::TimePoint configurationDeadline; // until then, new sessions wait for the first configuration of this process
    std::function<void(const std::shared_ptr<class CallerSession>&)> onEnd;
};

class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(SessionContext context, uint64_t number);

    void start(boost::asio::ip::tcp::socket socket);
    // Closes the session if the phase of the stop asks for it and nothing of it is unanswered. Call it every few tens of ms during a stop.
    void advanceStop(TimePoint now);
    // Answers a running statement, whose outcome is then unknown, and closes the session.
    void endStop();
    // Periodic check: opens a session that waited for the configuration, closes it if its key is no longer valid, and rolls back a
    // transaction that was idle for too long.
    void sweep(TimePoint now);

    // Checks whether the caller of a running statement has disconnected. Call it every few tens of ms.
    void checkCaller(TimePoint now);

private:
    void handleMessage(std::string_view message);
    void open(const links::OpenSession& message);
    bool mustWaitForConfiguration() const;
    void handleStatement(const decisions::Statement& statement);
    void setVariable(const decisions::Statement& statement);
    void prepare(const decisions::Statement& statement);
    void deallocate(const decisions::Statement& statement);
    void beginTransaction(const decisions::Statement& statement);
    void rollback(const decisions::Statement& statement);
    void rollBack();
    void refuseForStop(const decisions::Statement& statement);
    void endFailedTransaction(const decisions::Statement& statement);
    void runOnTarget(const decisions::Statement& statement);
    bool fillRoutedStatement(RoutedStatement& routed, const decisions::Statement& statement);
    void handleOutcome(const decisions::Statement& statement, const Outcome& outcome, const std::optional<TransactionHandle>& transaction);
    decisions::Error translateError(const decisions::Statement& statement, const decisions::Error& error, bool wasSent) const;
    void answerOk();
    void answerError(decisions::ErrorKind kind, const std::string& message);
    void send(const Outcome& outcome);
    void close(const std::string& reason);
    void refreshRoute();
    // Looks up the caller's account in the current configuration. Empty string: the database is public or there are no accounts; nullopt:
    // the key is not valid.
    std::optional<std::string> findOwnAccount() const;
    // Looks the key up again after a change of the configuration. Returns whether the session must end.
    bool checkKeyLost();
    void answerLostKey();
    void closeForLostKey();
    void logLostKey() const;

    SessionContext m_context;
    std::string m_name; // for the log
    std::shared_ptr<links::Channel> m_channel;
    std::string m_database;
    decisions::DatabaseRoute m_route;
    decisions::KeyDigest m_keyDigest {};
    std::string m_account; // empty: the database is public or the platform has no accounts
    uint64_t m_keyCheckedVersion { 0 }; // version of the configuration in which the key was last looked up
    decisions::SessionVariables m_variables;
    std::map<std::string, decisions::PreparedShape> m_prepared;
    decisions::SessionState m_state { decisions::SessionState::Idle };
    bool m_isReadOnly { false }; // of the transaction
    bool m_hasWritten { false }; // in the transaction
    TimePoint::duration m_transactionTime {}; // spent on statements so far
    TimePoint m_statementArrivedAt {}; // of the running statement
    std::shared_ptr<RoutedStatement> m_statement; // the running one, if it is at the router
    std::optional<TransactionHandle> m_transaction; // empty until its first statement
    Mark m_lastCommit;
    TimePoint m_idleSince {};
    std::optional<links::OpenSession> m_pendingOpen; // waiting for the configuration
    bool m_isOpen { false };
    bool m_isRunning { false };
    bool m_hasSendingEnded { false }; // the caller has ended its sending direction and waits for the answer
    bool m_hasCallerGone { false };
};

}
