// The connection pool of this host to one target, with the queue of statements that wait for a connection. Sessions of this host and
// other hosts submit requests. They queue here and not at the target, so that the most urgent one is sent first and one that can no
// longer meet its deadline is refused without being sent.
//
// COMMON MISTAKES
//   - Sending a statement before the BEGIN of its transaction is answered. If the BEGIN is refused, the statement runs outside the transaction.
//   - Sending a statement before the setup of its connection is answered. If the setup is refused, the statement runs with the variables or the
//     prepared statement of another session.
#pragma once
#include "decisions/connections.h"
#include "decisions/member_queue.h"
#include "gateway/target_session.h"
#include <memory>
#include <unordered_map>

namespace alderward::gateway {

enum class RequestKind {
    Single, // a statement outside a transaction
    PrimaryRead, // a read outside a transaction that only a primary may run; the pool wraps it in a read-write transaction
    Begin, // the first statement of a transaction, preceded by BEGIN
    Continue, // a later statement of a transaction, or its COMMIT
};
// Whether the statement belongs to a transaction of its caller.
inline bool isInTransaction(RequestKind kind) { return kind == RequestKind::Begin || kind == RequestKind::Continue; }

struct StatementRequest {
    RequestKind kind { RequestKind::Single };
    std::string account {}; // client account of the caller; empty: none
    uint32_t database { 0 }; // hash of its name; operation costs are learned per database
    decisions::Statement statement {};
    std::optional<decisions::PreparedShape> shape {}; // Execute: the prepared statement
    decisions::SessionVariables variables {};
    bool isReadOnly { false }; // Begin: a read-only transaction, which may run on a replica
    Mark atLeast {}; // read floor: the target's log must contain this mark; term 0: no floor
    int priority { 0 }; // 0 is the highest
    TimePoint objective {}; // latency objective: the answer should arrive by then
    TimePoint deadline {}; // the request fails after this
    uint64_t transaction { 0 }; // Begin and Continue: number from TargetPool::takeTransactionNumber()
};

using RequestCallback = std::function<void(const Outcome& outcome)>;

// A commit that its target has acknowledged, in a group with synchronous replicas.
struct AcknowledgedCommit {
    TargetAddress primary {};
    uint64_t termBefore { 0 }; // that the target was known to lead when the commit was sent
    Mark position {}; // of its log when it acknowledged the commit; term 0: not reported
    friend bool operator==(const AcknowledgedCommit&, const AcknowledgedCommit&) = default;
};

// Callbacks with which a pool reports what it learns about its target, and queries about the target's group.
struct PoolObserver {
    // The target proved that it was primary at some time after `sentAt`, with its log at `position`.
    std::function<void(const TargetAddress&, const Mark& position, TimePoint sentAt)> onPrimaryProven;
    // Returns the highest mark known to be in the log of the target's group. Read before a message is sent, and compared with the position in the answer.
    std::function<Mark(const TargetAddress&)> getKnownMark;
    std::function<bool(const TargetAddress&)> isKnownPrimary; // whether this host believes the target to be primary
    // A target believed to be primary is at `position`, behind the known mark: it has lost its log, for example by a restart with empty storage.
    std::function<void(const TargetAddress&, const Mark& position)> onLostLog;
    // The target refused a statement because it is a replica.
    std::function<void(const TargetAddress&)> onReplicaReported;
    std::function<void(const TargetAddress&, const Mark& position)> onPosition;
    // A connection could not be opened, or it failed or timed out while an answer was pending.
    std::function<void(const TargetAddress&, const std::string& reason)> onConnectionFailure;
    std::function<void(const TargetAddress&)> onAnswer;
    // Whether a commit survives any promotion. Called once for each commit that a target has acknowledged, and answered once.
    std::function<void(const AcknowledgedCommit&, TimePoint deadline, std::function<void(bool isConfirmed)>)> confirmCommit;
    // The term that the target is known to lead; 0: its commits need no confirmation.
    std::function<uint64_t(const TargetAddress&)> getKnownTerm;
    // Returns the account's weight in sharing the target with other accounts, above 0.
    std::function<double(const std::string& account)> getAccountWeight;
    // The target refused another connection; this host has `open` connections to it.
    std::function<void(const TargetAddress&, size_t open, const std::string& reason)> onConnectionRefused;
};

// State of the comparison that shows whether a target believed to be primary still has its log. Requests that need a primary wait
// while it is in progress, and are refused when answers of replicas are missing.
enum class LogComparison {
    NotNeeded,
    InProgress,
    AnswersMissing,
};

struct PoolLimits {
    unsigned maxConnections { 4 }; // including those being opened
    unsigned concurrency { 3 }; // maximum number of statements sent to the target at a time
    bool isPerAccount { false }; // each connection serves one client account (requests without an account count as one), instead of any session
};

struct PoolLoad {
    unsigned waiting { 0 }; // queued statements
    unsigned running { 0 }; // statements at the target
    double workMs { 10 }; // typical time of one statement at the target
    friend bool operator==(const PoolLoad&, const PoolLoad&) = default;
};

// What one client account uses of a pool.
struct AccountPoolUse {
    unsigned connections { 0 };
    unsigned waiting { 0 }; // queued statements
    unsigned running { 0 }; // statements at the target
};

enum class CancelResult {
    Removed, // the request was waiting; its callback gets CallerGone
    Running, // it was sent or is being sent, and is answered as usual
    NotFound, // it has ended
};

class TargetPool : public std::enable_shared_from_this<TargetPool> {
public:
    TargetPool(boost::asio::any_io_executor executor, const links::StatementCodec& codec, TargetAddress target, std::string hostName, PoolObserver observer);

    void setLimits(const PoolLimits& limits);
    uint64_t takeTransactionNumber() { return ++m_lastTransaction; }
    // Calls `done` exactly once for each request, never from within submit(). Returns the request's handle for cancel().
    uint64_t submit(StatementRequest request, RequestCallback done);
    // Removes a waiting request. If it belongs to an open transaction, the transaction is rolled back.
    CancelResult cancel(uint64_t handle);
    // Rolls a transaction back and releases its connection. Unknown numbers are ignored.
    void endTransaction(uint64_t transaction);
    // Whether the transaction is open and still has its connection.
    bool hasTransaction(uint64_t transaction) const { return m_transactions.contains(transaction); }
    // Periodic work: fails overdue requests, closes silent and unused connections, sends keep-alives and due primary proofs.
    void sweep(TimePoint now);
    // Maximum time without a proof that the target is primary before the pool requests one; 0: never requested.
    void setProofInterval(milliseconds interval) { m_proofInterval = interval; }
    // Interval of queries for the target's log position; 0: the position is only learned from answers and keep-alives.
    void setPositionInterval(milliseconds interval) { m_positionInterval = interval; }
    // Whether this host is a forwarder for the target. If it is not, idle connections are closed sooner, so that the forwarder can open them.
    void setForwarder(bool isForwarder) { m_isForwarder = isForwarder; }
    bool isForwarder() const { return m_isForwarder; }
    // Whether the target accepts new operations. If it does not, queued ones fail without being sent, and open transactions continue.
    void setAcceptsNewOperations(bool acceptsNew) { m_acceptsNewOperations = acceptsNew; }
    void setLogComparison(LogComparison comparison) { m_logComparison = comparison; }
    // Closes all connections for good. Requests that were sent fail with OutcomeUnknown, queued and later ones with TargetUnreachable, or with
    // TransactionAborted if they belong to a transaction.
    void shutDown(const std::string& reason);
    // Keeps writes waiting until the given time, during a handover.
    void holdWrites(TimePoint until) { m_writesHeldUntil = until; }

    const TargetAddress& getTarget() const { return m_target; }
    PoolLoad getLoad() const;
    std::map<std::string, AccountPoolUse> getUseByAccount() const;
    bool isIdle() const { return m_queue.entries.empty() && m_sessions.empty(); }
    size_t countOpenSessions() const { return m_sessions.size(); }

private:
    struct Job {
        StatementRequest request;
        std::shared_ptr<RequestCallback> done; // shared with the hedge of this job; holds an empty function once called
        TimePoint submittedAt;
        TimePoint startedAt {};
        TimePoint retryAt {}; // earliest time of the next attempt after the target was busy
        unsigned busyCount { 0 };
        uint64_t number { 0 }; // of its queue entry
        uint32_t account { 0 }; // number in AccountShares
        double chargedMs { 0 }; // slot time that its account was charged when it was dequeued
        uint64_t handle { 0 }; // returned by submit(); the hedge of a job has the same
        bool isHedge { false }; // second attempt of a read whose first answer is overdue but may still arrive
        bool isStalled { false }; // its answer is probably lost, so it no longer counts against the concurrency limit
        uint64_t termBefore { 0 }; // as AcknowledgedCommit::termBefore
        bool isWritingCommit { false }; // the COMMIT of a transaction that has written
        bool isSent { false }; // the statement itself, and not only the setup of its connection or its BEGIN
        bool isDone() const { return !*done; }
    };
    using JobPtr = std::shared_ptr<Job>;
    using SessionPtr = std::shared_ptr<TargetSession>;
    // The messages that prepare a connection for a job. They are sent together; the job's statement follows once the target has accepted them all.
    struct SessionSetup {
        decisions::ConnectionPlan plan {};
        size_t pendingAnswers { 0 };
        std::optional<decisions::Error> error {}; // of the first message that failed
        bool isResetRefused { false };
        std::function<void()> onDone {};
    };
    using SetupPtr = std::shared_ptr<SessionSetup>;
    struct OpenTransaction {
        SessionPtr session;
        decisions::OperationKind kind;
        uint32_t account { 0 }; // number in AccountShares
        double slotMs { 0 }; // slot time used at the target so far, in ms
        bool hasWritten { false };
    };

    static decisions::QueueEntry makeQueueEntry(const Job& job);
    void enqueue(const JobPtr& job);
    void countAccountRefusal(bool isAboveShare, bool wasQueued) const;
    void refuseEntries(const std::vector<decisions::QueueEntry>& entries, bool wasQueued);
    uint32_t identifyAccount(const std::string& account);
    size_t getTransactionPlaces() const;
    void logCompetition(TimePoint now);
    size_t countWaitingForConnection() const;
    bool isHeld(const Job& job, TimePoint now) const;
    void failWaitingIf(const std::function<bool(const Job&)>& mustFail, const decisions::Error& error);
    void dispatch();
    void openSessions(TimePoint now);
    JobPtr popNext(TimePoint now);
    bool canRunOnceConnected(const Job& job, TimePoint now) const;
    bool isRunnable(const Job& job, TimePoint now) const;
    bool hasIdleSession(const std::string& account) const;
    SessionPtr findSession(const Job& job) const;
    unsigned countIdleSessions() const;
    void openSessionsByAccount(TimePoint now);
    void evictSession(const SessionPtr& session);
    void closeUnused(const SessionPtr& session);
    std::vector<decisions::AccountDemand> getDemands(TimePoint now) const;
    std::vector<decisions::PooledConnection> getPooledConnections() const;
    void openSession(const std::string& account);
    void handleOpened(const SessionPtr& session, const Outcome& outcome, const Mark& knownMark);
    void startJob(const JobPtr& job, const SessionPtr& session);
    decisions::ConnectionPlan planSetup(const Job& job, const TargetSession& session) const;
    SetupPtr sendSetup(const Job& job, const SessionPtr& session);
    void handleSetupAnswer(const SetupPtr& setup, const std::optional<decisions::PreparedShape>& shape, const SessionPtr& session, const Outcome& outcome);
    void refuseSetup(const JobPtr& job, const SessionPtr& session, const decisions::Error& error);
    void beginTransaction(const JobPtr& job, const SessionPtr& session, const SetupPtr& setup);
    void rollBack(const SessionPtr& session);
    void runStatement(const JobPtr& job, const SessionPtr& session);
    bool canRetryWhenBusy(const Job& job, const SessionPtr& session, const Outcome& outcome) const;
    void noteWrite(Job& job);
    void finishConfirmed(const JobPtr& job, const Outcome& outcome);
    void completeJob(const JobPtr& job, const SessionPtr& session, const Outcome& outcome);
    void finish(const JobPtr& job, Outcome outcome);
    void failWaiting(const decisions::Error& error);
    bool isShutDown() const { return !m_shutDownReason.empty(); }
    void releaseSession(const SessionPtr& session);
    bool applyPrimaryProof(const Mark& position, TimePoint sentAt, const Mark& knownMark);
    void recordWorkTime(const Job& job);
    void detachTransaction(const SessionPtr& session);
    static Outcome makeLostOutcome(const Job& job, const std::string& reason);
    // Closes the connection and removes it. With `isFailure`, a pending answer is reported as a connection failure.
    void dropSession(const SessionPtr& session, const std::string& reason, bool isFailure = true);
    void provePrimary(TimePoint now);
    void sendKeepAlives(TimePoint now);
    void queryPosition(TimePoint now);
    void sendEmptyTransaction(const SessionPtr& session);
    SessionPtr findIdleSession() const;
    void closeUnusedSessions(TimePoint now);
    unsigned countRunning() const;
    void markStalledJobs(TimePoint now);
    milliseconds getStallTimeout() const;
    void closeOldestStalledSession(TimePoint now);
    void failOverdueJobs(TimePoint now);
    void closeSilentSessions(TimePoint now);

    boost::asio::any_io_executor m_executor;
    const links::StatementCodec& m_codec;
    TargetAddress m_target;
    std::string m_hostName;
    PoolObserver m_observer;
    PoolLimits m_limits;
    decisions::MemberQueue m_queue;
    std::unordered_map<uint64_t, JobPtr> m_waitingJobs; // by number of the queue entry
    uint64_t m_lastQueueNumber { 0 };
    bool m_wasCompeting { false }; // as last logged
    TimePoint m_competitionLoggedAt {};
    std::vector<std::pair<JobPtr, SessionPtr>> m_runningJobs;
    std::vector<SessionPtr> m_sessions; // open connections
    unsigned m_openingCount { 0 };
    std::map<std::string, unsigned> m_openingByAccount; // the same count by account
    std::string m_lastRequestAccount {}; // account of the latest request
    std::unordered_map<uint64_t, OpenTransaction> m_transactions;
    uint64_t m_lastTransaction { 0 };
    TimePoint m_nextOpeningAt {}; // no connection is opened before then
    bool m_hasOpenFailed { false }; // the last attempt to open a connection failed
    TimePoint m_primaryProvenAt {};
    TimePoint m_writesHeldUntil {};
    milliseconds m_proofInterval { 0 };
    milliseconds m_positionInterval { 0 };
    TimePoint m_positionQueriedAt {};
    TimePoint m_lastAnswerAt {}; // time of the last answer to a statement or a proof
    std::string m_shutDownReason {}; // empty: in use
    bool m_isDispatching { false };
    bool m_isForwarder { true };
    bool m_acceptsNewOperations { true };
    LogComparison m_logComparison { LogComparison::NotNeeded };
};

}
