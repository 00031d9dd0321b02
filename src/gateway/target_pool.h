// The connections from this host to one target, and the queue of statements before them. Whoever wants a statement run at the
// target, a session of this host or another host, submits an order; orders wait here, not at the target, so that the most urgent one
// goes next and one that can no longer be met is refused unsent.
//
// COMMON MISTAKES
//   - Sending a statement right behind the BEGIN of its transaction. If the BEGIN is refused, the statement runs outside of it.
#pragma once
#include "decisions/connections.h"
#include "decisions/member_queue.h"
#include "gateway/target_session.h"
#include <memory>
#include <unordered_map>

namespace alderward::gateway {

enum class RequestKind {
    Single, // a statement outside a transaction
    PrimaryRead, // a read wrapped in a transaction of our own: only a target that leads runs it
    Begin, // begins a transaction and runs its first statement
    Continue, // the next statement of a transaction, or its commit
};

struct StatementRequest {
    RequestKind kind { RequestKind::Single };
    std::string account {}; // client account that it runs for; empty: none
    uint32_t database { 0 }; // hash of its name; what its operations cost is learned by it
    decisions::Statement statement {};
    std::optional<decisions::PreparedShape> shape {}; // of an Execute
    decisions::SessionVariables values {};
    bool isReadOnly { false }; // Begin: the transaction reads only and may run on a replica
    Mark atLeast {}; // the target's log must hold this; term 0: anything goes
    int priority { 0 }; // 0 goes first
    TimePoint objective {}; // an answer by then is worth most
    TimePoint deadline {}; // an answer after this is worth nothing
    uint64_t transaction { 0 }; // Begin and Continue: its number, see TargetPool::takeTransactionNumber()
};

using RequestCallback = std::function<void(const Outcome& outcome)>;

// What a pool learns that others rest decisions on.
struct PoolObserver {
    // A target proved that it led after `sentAt`; its log then held `position`.
    std::function<void(const TargetAddress&, const Mark& position, TimePoint sentAt)> onPrimaryProven;
    // What the log of the target's group is known to hold now; asked for before anything is sent to a target that is to lead.
    std::function<Mark(const TargetAddress&)> getKnownMark;
    std::function<bool(const TargetAddress&)> isKnownPrimary; // as far as is known
    // A target that is to lead holds less than that: it has lost its log, as one that started again with nothing.
    std::function<void(const TargetAddress&, const Mark& position)> onLostLog;
    // A target said that it is a replica.
    std::function<void(const TargetAddress&)> onReplicaReported;
    std::function<void(const TargetAddress&, const Mark& position)> onPosition;
    // A connection could not be opened, or one that was asked broke or fell silent.
    std::function<void(const TargetAddress&, const std::string& reason)> onConnectionFailure;
    std::function<void(const TargetAddress&)> onAnswer;
    // A target took no further connection while this host has `open`.
    std::function<void(const TargetAddress&, size_t open, const std::string& reason)> onConnectionRefused;
};

// Whether it is known that a target which is to lead still holds its log. What only a leader may run waits while that is found out, and is refused where nobody who could
// tell answers.
enum class LogComparison {
    NotNeeded,
    InProgress,
    AnswersMissing,
};

struct PoolLimits {
    unsigned maxConnections { 4 }; // open at a time
    unsigned concurrency { 3 }; // statements at the target at a time
    bool isPerAccount { false }; // a connection serves one client account, and what has none is one of them; else any session
};

struct PoolLoad {
    unsigned waiting { 0 };
    unsigned running { 0 };
    double workMs { 10 }; // smoothed time of one statement at the target
    friend bool operator==(const PoolLoad&, const PoolLoad&) = default;
};

class TargetPool : public std::enable_shared_from_this<TargetPool> {
public:
    TargetPool(boost::asio::any_io_executor executor, const links::StatementCodec& codec, TargetAddress target, std::string hostName, PoolObserver observer);

    void setLimits(const PoolLimits& limits);
    uint64_t takeTransactionNumber() { return ++m_lastTransaction; }
    // Every order ends with exactly one call of `done`, never from within submit().
    void submit(StatementRequest request, RequestCallback done);
    // Rolls a transaction back and gives its connection free. Unknown numbers are ignored.
    void endTransaction(uint64_t transaction);
    // Whether the transaction still holds a connection.
    bool hasTransaction(uint64_t transaction) const { return m_transactions.contains(transaction); }
    // Ends orders whose time is over and connections that fell silent; proves the lead if that is due.
    void sweep(TimePoint now);
    // Asks the target whether it leads at least this often while nothing else shows it; 0: never.
    void setProofInterval(milliseconds interval) { m_proofInterval = interval; }
    // Asks the target where its log stands at least this often; 0: only to keep connections alive.
    void setPositionInterval(milliseconds interval) { m_positionInterval = interval; }
    // Whether this host is the one that carries statements to the target; one that does not any more gives its connections back.
    void setForwarder(bool isForwarder) { m_isForwarder = isForwarder; }
    bool isForwarder() const { return m_isForwarder; }
    // Whether operations may begin at the target; else those that wait here are given back unsent, and transactions go on.
    void setAcceptsNewOperations(bool acceptsNew) { m_acceptsNewOperations = acceptsNew; }
    void setLogComparison(LogComparison comparison) { m_logComparison = comparison; }
    // The target is gone: closes everything; orders in flight end as unknown, waiting ones as unreachable.
    void shutDown(const std::string& reason);
    // Statements that write wait until then: a planned change of primary is under way.
    void holdWrites(TimePoint until) { m_writesHeldUntil = until; }

    const TargetAddress& getTarget() const { return m_target; }
    PoolLoad getLoad() const;
    bool isIdle() const { return m_queue.entries.empty() && m_sessions.empty(); }
    size_t countOpenSessions() const { return m_sessions.size(); }

private:
    struct Job {
        StatementRequest request;
        std::shared_ptr<RequestCallback> done; // shared with the job that repeats it; empty inside once it was called
        TimePoint submittedAt;
        TimePoint startedAt {};
        TimePoint retryAt {}; // the target was busy: it is asked again then
        unsigned busyCount { 0 };
        uint64_t number { 0 }; // in the queue
        bool isHedge { false }; // of a job whose answer may yet come
        bool isStalled { false }; // its answer seems to be lost: it takes no place among those at the target any more
        bool isDone() const { return !*done; }
    };
    using JobPtr = std::shared_ptr<Job>;
    using SessionPtr = std::shared_ptr<TargetSession>;
    struct OpenTransaction {
        SessionPtr session;
        decisions::OperationKind kind;
        double slotMs { 0 }; // of a place at the target so far
    };

    static decisions::QueueEntry makeQueueEntry(const Job& job);
    void enqueue(const JobPtr& job);
    void refuseEntries(const std::vector<decisions::QueueEntry>& entries, const std::string& reason);
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
    std::vector<decisions::AccountDemand> getDemands(TimePoint now) const;
    std::vector<decisions::PooledConnection> getPooledConnections() const;
    void openSession(const std::string& account);
    void handleOpened(const SessionPtr& session, const Outcome& outcome, const Mark& known);
    void startJob(const JobPtr& job, const SessionPtr& session);
    void prepareSession(const Job& job, const SessionPtr& session);
    void beginTransaction(const JobPtr& job, const SessionPtr& session);
    void rollBack(const SessionPtr& session);
    void runStatement(const JobPtr& job, const SessionPtr& session);
    bool canRetryWhenBusy(const Job& job, const SessionPtr& session, const Outcome& outcome) const;
    void completeJob(const JobPtr& job, const SessionPtr& session, const Outcome& outcome);
    void finish(const JobPtr& job, Outcome outcome);
    void failWaiting(const decisions::Error& error);
    void releaseSession(const SessionPtr& session);
    bool applyPrimaryProof(const Mark& position, TimePoint sentAt, const Mark& known);
    void recordWorkTime(const Job& job);
    void detachTransaction(const SessionPtr& session);
    // `isTrouble`: an answer that is missing counts against the target.
    void dropSession(const SessionPtr& session, const std::string& reason, bool isTrouble = true);
    void provePrimary(TimePoint now);
    void sendKeepAlives(TimePoint now);
    void queryPosition(TimePoint now);
    void sendEmptyTransaction(const SessionPtr& session);
    SessionPtr findIdleSession() const;
    void closeUnusedSessions(TimePoint now);
    unsigned countRunning() const;
    void markStalledJobs(TimePoint now);
    milliseconds getStallTimeout() const;
    void closeStalledSession(TimePoint now);
    void failOverdueJobs(TimePoint now);
    void closeSilentSessions(TimePoint now);

    boost::asio::any_io_executor m_executor;
    const links::StatementCodec& m_codec;
    TargetAddress m_target;
    std::string m_hostName;
    PoolObserver m_observer;
    PoolLimits m_limits;
    decisions::MemberQueue m_queue;
    std::unordered_map<uint64_t, JobPtr> m_waitingJobs; // by number in the queue
    uint64_t m_lastQueueNumber { 0 };
    std::vector<std::pair<JobPtr, SessionPtr>> m_runningJobs;
    std::vector<SessionPtr> m_sessions; // open
    unsigned m_openingCount { 0 };
    std::map<std::string, unsigned> m_openingByAccount; // the same by account
    std::string m_lastRequestAccount {}; // that ordered something
    std::unordered_map<uint64_t, OpenTransaction> m_transactions;
    uint64_t m_lastTransaction { 0 };
    TimePoint m_nextOpeningAt {}; // no connection is opened before this
    bool m_hasOpenFailed { false }; // the last attempt to open one failed
    TimePoint m_primaryProvenAt {};
    TimePoint m_writesHeldUntil {};
    milliseconds m_proofInterval { 0 };
    milliseconds m_positionInterval { 0 };
    TimePoint m_positionQueriedAt {};
    TimePoint m_lastAnswerAt {}; // the last answer to a statement or a proof
    bool m_isDispatching { false };
    bool m_isForwarder { true };
    bool m_acceptsNewOperations { true };
    LogComparison m_logComparison { LogComparison::NotNeeded };
};

}
