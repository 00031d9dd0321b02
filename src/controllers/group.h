// One database group at one of its homes: probes, failover, confirmation of writes, connections, transactions.
// Everything runs on the group's strand; run() may be called from any coroutine.
// The parts live in group.cpp (life, status), group_failover.cpp (arbitration), group_confirm.cpp (confirmation) and
// group_statements.cpp and group_transactions.cpp (what callers asked for).
#pragma once
#include "base/snapshot.h"
#include "controllers/node.h"
#include "controllers/pool.h"
#include "controllers/trace_recorder.h"
#include "decisions/group_state.h"
#include "decisions/limits.h"
#include "decisions/routing.h"
#include <boost/asio/strand.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace alderward::controllers {

// Without statements for so long, a group is probed less often.
inline constexpr base::milliseconds kGroupIdleTimeout { 5000 };

inline constexpr base::milliseconds kRetryAfter { 500 }; // told to callers while a primary is being replaced

enum class Operation { Execute,
    Begin,
    Commit,
    Rollback,
    Settle };

// A checked request of a caller, on its way to the group.
struct GroupRequest {
    Operation operation { Operation::Execute };
    bool isWrite { false };
    bool isRepeatable { false };
    std::string statement {};
    std::string parameters {}; // JSON array, or empty
    std::string requestKey {}; // empty: none
    std::string transaction {}; // empty: none
    decisions::Mark mark {}; // what the session has seen of this group
    std::optional<base::milliseconds> maximumAge {}; // reads
    base::TimePoint deadline {};
};

inline bool isDue(base::TimePoint deadline) { return base::Clock::now() >= deadline; }

// What came of it.
struct Outcome {
    std::string result { "null" }; // JSON
    decisions::Mark mark {}; // what the session has seen now
    std::string member {};
    decisions::Role role { decisions::Role::Primary };
    std::optional<base::milliseconds> age {}; // upper bound, reads
    bool wasReplayed { false };
    bool didRun { true }; // settle: false means that the key is closed as not run
    std::string transaction {}; // begin: its name
};

// What the record, the membership and the platform's list say of a group at this host.
struct GroupConfiguration {
    std::shared_ptr<const decisions::GroupRecord> record {};
    uint64_t version { 0 };
    std::vector<std::string> homes {}; // best first
    bool isHome { false };
    std::vector<bool> isLeaving {}; // by member
};

// For /status, published on every change of health.
struct GroupStatus {
    decisions::GroupHealth health {};
    decisions::FailoverState failover {};
    std::vector<unsigned> openConnections {}; // connections by member
    std::vector<unsigned> limits {}; // adaptive limit by member
    size_t waiting { 0 };
    size_t transactions { 0 };
    bool isActive { false };
    bool isPathFault { false }; // the primary lives, but we do not reach it
};

class GroupController : public std::enable_shared_from_this<GroupController> {
public:
    GroupController(Node& node, std::string name);

    // Takes up or lays down the work of a home, and follows changes of the record. Any thread.
    void setConfiguration(GroupConfiguration configuration);
    // Tells the other homes; set once, before setRole().
    void onPrimaryAnnounced(std::function<void(const peer::GroupNews&)> callback) { m_onPrimaryAnnounced = std::move(callback); }
    // A peer says that the group has a new primary: the members are asked at once.
    void handleGroupNews(const peer::GroupNews& news);
    // Serves one order. Switches to the group's strand by itself.
    boost::asio::awaitable<decisions::Result<Outcome>> run(GroupRequest request);
    const base::Snapshot<GroupStatus>& getStatus() const { return m_status; }
    size_t getOpenTransactions() const { return m_openTransactions.load(); }
    // Events and decisions since this host became a home, if [debug] trace_events asks for them.
    std::string getTrace() const { return m_trace.getText(); }

private:
    // ---- members ----
    struct Member {
        decisions::MemberRecord record;
        std::shared_ptr<Pool> pool;
        decisions::ConfirmationReply confirmationReply; // newest answer to a confirmation question
        uint64_t knownPosition { 0 }; // newest position seen in term knownTerm
        uint64_t knownTerm { 0 };
        std::shared_ptr<boost::asio::steady_timer> probeTimer; // cancelled to probe at once
        std::shared_ptr<boost::asio::steady_timer> confirmTimer; // cancelled when a write waits
        base::TimePoint followSentAt {}; // last repair, see repairFollowers()
        base::TimePoint leavingSince {}; // meaningful while the member is leaving
    };
    struct PendingConfirmation { // a write that ran and waits for its confirmation
        decisions::PendingWrite write;
        std::string primary; // the member that ran it: its vote is counted already and must not count twice
        decisions::Confirmation answer { decisions::Confirmation::Pending };
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Transaction {
        Lease lease;
        uint64_t term { 0 };
        size_t member { 0 };
        uint64_t epoch { 0 };
        bool isBusy { false };
        base::TimePoint lastUsedAt {};
    };

    // ---- life ----
    void applyConfiguration(GroupConfiguration configuration);
    void rebuildMembers(const GroupConfiguration& configuration);
    void startLoops();
    void stopLoops();
    void handleTick();
    boost::asio::awaitable<void> probeForever(size_t index, uint64_t epoch);
    boost::asio::awaitable<decisions::GroupEvent> probeOnce(std::unique_ptr<links::HttpConnection>& link, size_t index);
    boost::asio::awaitable<void> waitForProbe(size_t index, base::TimePoint sentAt, uint64_t epoch);
    decisions::ProbeTimings getProbeTimings() const;
    void probeNow();
    void handlePiggybackedStatus(size_t index, const decisions::PiggybackedStatus& piggybacked, base::TimePoint askedAt);
    void applyEvent(const decisions::GroupEvent& event);
    void rerouteWaitingStatements(uint64_t termBefore);
    void publishStatus();
    void wakeHealthWaiters();
    boost::asio::awaitable<void> waitForHealthChange(base::TimePoint until);
    std::vector<decisions::TargetLoad> getLoads() const;
    bool isPathFault() const;
    void expireTransactions();

    // ---- failover ----
    void performAction(const decisions::FailoverAction& action);
    boost::asio::awaitable<void> sendFence(decisions::SendFence action);
    boost::asio::awaitable<void> sendPromote(decisions::SendPromote action);
    boost::asio::awaitable<void> sendFollow(decisions::SendFollow action);
    boost::asio::awaitable<void> writeClaim(uint64_t term);
    boost::asio::awaitable<decisions::ClaimAnswered> tryClaim(uint64_t term, base::TimePoint deadline);
    boost::asio::awaitable<void> writeDeferredClaim(uint64_t term);
    void announcePrimary(const decisions::AnnouncePrimary& action);
    void resendFollows();

    // ---- confirmation ----
    boost::asio::awaitable<decisions::Confirmation> confirm(decisions::PendingWrite write, std::string primary, base::TimePoint deadline);
    boost::asio::awaitable<void> confirmForever(size_t index, uint64_t epoch);
    boost::asio::awaitable<bool> confirmOnce(std::unique_ptr<links::HttpConnection>& link, size_t index, decisions::Mark awaited);
    std::optional<decisions::Mark> getAwaitedMark(size_t index) const;
    void applyConfirmationReply(size_t index, const links::AwaitPositionResult& answer, base::TimePoint askedAt);
    void resolveConfirmations();

    // ---- statements ----
    boost::asio::awaitable<decisions::Result<Outcome>> runOnStrand(GroupRequest request);
    void refreshAfterIdle();
    boost::asio::awaitable<decisions::Result<Outcome>> dispatch(GroupRequest request);
    boost::asio::awaitable<decisions::Result<Outcome>> runRead(GroupRequest request);
    boost::asio::awaitable<decisions::Result<Outcome>> runWrite(GroupRequest request);
    boost::asio::awaitable<decisions::Result<Outcome>> tryRead(const GroupRequest& request, const decisions::Route& route);
    boost::asio::awaitable<decisions::Result<Outcome>> tryWrite(const GroupRequest& request, size_t member, uint64_t term);
    boost::asio::awaitable<decisions::Result<Outcome>> checkStaleness(const GroupRequest& request, Outcome outcome, size_t member, base::TimePoint sentAt);
    boost::asio::awaitable<decisions::Result<Outcome>> acknowledge(const GroupRequest& request, Outcome outcome, base::TimePoint ranAt);
    boost::asio::awaitable<decisions::Result<Outcome>> runBegin(GroupRequest request);
    boost::asio::awaitable<decisions::Result<Outcome>> runInTransaction(GroupRequest request);
    boost::asio::awaitable<links::TargetResult<links::ExecuteResult>> sendInTransaction(const GroupRequest& request, Transaction& transaction);
    void endTransaction(const std::string& name, bool canReuseConnection);
    decisions::Result<Outcome> handleTargetFailure(const links::TargetFailure& failure, size_t member);
    boost::asio::awaitable<decisions::Result<size_t>> findPrimary(const GroupRequest& request);
    boost::asio::awaitable<std::optional<decisions::Error>> holdWrite(const GroupRequest& request, const decisions::Route& route);
    bool canHoldWrites() const;
    void updateKnownPosition(size_t member, const decisions::Mark& mark);

    Node& m_node;
    const std::string m_name;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::function<void(const peer::GroupNews&)> m_onPrimaryAnnounced;
    GroupConfiguration m_configuration;
    std::vector<Member> m_members;
    decisions::GroupState m_state; // changed by takeEvent() only
    TraceRecorder m_trace;
    decisions::RetryBudget m_retryBudget;
    std::list<PendingConfirmation*> m_pendingConfirmations; // writes that wait for confirmation
    std::list<boost::asio::steady_timer*> m_healthWaiters; // requests that wait for a change of health
    std::map<std::string, std::shared_ptr<Transaction>> m_transactions;
    std::atomic<size_t> m_openTransactions { 0 };
    base::Snapshot<GroupStatus> m_status;
    base::TimerSubscription m_tick;
    base::TimePoint m_statusPublishedAt {};
    uint64_t m_epoch { 0 }; // raised when work begins or ends: loops of older epochs stop
    bool m_isActive { false }; // a home: takes new orders
    bool m_isRunning { false }; // loops are running; outlives m_isActive until all orders are done
    size_t m_activeRequests { 0 }; // orders being served
    base::TimePoint m_lastRequestAt {}; // when the last order began
    size_t m_heldWrites { 0 }; // writes held while there is no primary
    uint64_t m_acknowledgedTerm { 0 }; // invariant: never acknowledge in a term below one acknowledged in
};

}
