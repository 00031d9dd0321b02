// One database group at one of its homes: probes, failover, confirmation of writes, connections and transactions.
// Everything runs on the group's strand; run() may be called from any coroutine.
// Sources: group.cpp (configuration, probes, status), group_failover.cpp, group_confirm.cpp, group_statements.cpp, group_transactions.cpp.
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

// A group without requests for this time is probed less often.
inline constexpr base::milliseconds kGroupIdleTimeout { 5000 };

inline constexpr base::milliseconds kRetryAfter { 500 }; // retry-after time while a primary is being replaced

enum class Operation { Execute,
    Begin,
    Commit,
    Rollback,
    Settle };

// A validated request of a caller to the group.
struct GroupRequest {
    Operation operation { Operation::Execute };
    bool isWrite { false };
    bool isRepeatable { false };
    std::string statement {};
    std::string parameters {}; // JSON array, or empty
    std::string requestKey {}; // empty: none
    std::string transaction {}; // empty: none
    decisions::Mark mark {}; // newest log entry of this group that the session has seen
    std::optional<base::milliseconds> maximumAge {}; // reads
    base::TimePoint deadline {};
};

inline bool isDue(base::TimePoint deadline) { return base::Clock::now() >= deadline; }

// The result of a successful request.
struct Outcome {
    std::string result { "null" }; // JSON
    decisions::Mark mark {}; // newest log entry that the session has seen after the request
    std::string member {};
    decisions::Role role { decisions::Role::Primary };
    std::optional<base::milliseconds> age {}; // upper bound of the staleness, for reads
    bool wasReplayed { false };
    bool didRun { true }; // settle: false if the write did not run and its request key is now closed
    std::string transaction {}; // begin: name of the new transaction
};

// A group's configuration at this host, derived from its record, the membership and the platform's host list.
struct GroupConfiguration {
    std::shared_ptr<const decisions::GroupRecord> record {};
    uint64_t version { 0 };
    std::vector<std::string> homes {}; // best first
    bool isHome { false };
    std::vector<bool> isLeaving {}; // by member
};

// The status for /status and the request chain, published on changes of health and periodically.
struct GroupStatus {
    decisions::GroupHealth health {};
    decisions::FailoverState failover {};
    std::vector<unsigned> openConnections {}; // by member
    std::vector<unsigned> limits {}; // adaptive concurrency limit by member
    size_t waiting { 0 };
    size_t transactions { 0 };
    bool isActive { false };
    bool isPathFault { false }; // the primary is alive but unreachable from this host
};

class GroupController : public std::enable_shared_from_this<GroupController> {
public:
    GroupController(Node& node, std::string name);

    // Applies a change of the record, the homes or the leaving members; starts or stops serving as a home. Any thread.
    void setConfiguration(GroupConfiguration configuration);
    // Sets the callback that notifies the other homes of a new primary. Called on the strand; set once, before setConfiguration().
    void onPrimaryAnnounced(std::function<void(const peer::GroupNews&)> callback) { m_onPrimaryAnnounced = std::move(callback); }
    // Probes all members immediately if a peer reports a newer term. Any thread.
    void handleGroupNews(const peer::GroupNews& news);
    // Serves one request on the group's strand. Any thread.
    boost::asio::awaitable<decisions::Result<Outcome>> run(GroupRequest request);
    const base::Snapshot<GroupStatus>& getStatus() const { return m_status; }
    size_t getOpenTransactions() const { return m_openTransactions.load(); }
    // The first events and actions of the group at this host, if [debug] trace_events is set.
    std::string getTrace() const { return m_trace.getText(); }

private:
    // ---- members ----
    struct Member {
        decisions::MemberRecord record;
        std::shared_ptr<Pool> pool;
        decisions::ConfirmationReply confirmationReply; // last reply to a confirmation question
        uint64_t knownPosition { 0 }; // newest position seen in term knownTerm
        uint64_t knownTerm { 0 };
        std::shared_ptr<boost::asio::steady_timer> probeTimer; // cancelled to probe immediately
        std::shared_ptr<boost::asio::steady_timer> confirmTimer; // cancelled when a write needs a confirmation
        base::TimePoint followSentAt {}; // last follow request sent by resendFollows()
        base::TimePoint leavingSince {}; // meaningful while the member is leaving
    };
    struct PendingConfirmation { // a write that has run and waits for its confirmation
        decisions::PendingWrite write;
        std::string primary; // the member that ran the write: its vote is already counted
        decisions::Confirmation answer { decisions::Confirmation::Pending };
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Transaction {
        Lease lease;
        uint64_t term { 0 };
        std::shared_ptr<Pool> pool; // of its member; an index would name another member after a change of the record
        std::string member; // name
        uint64_t epoch { 0 };
        bool isBusy { false };
        base::TimePoint lastUsedAt {};
    };

    // ---- configuration, probes and status ----
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
    boost::asio::awaitable<decisions::Result<Outcome>> checkStaleness(const GroupRequest& request, Outcome outcome, uint64_t term, base::TimePoint sentAt);
    boost::asio::awaitable<decisions::Result<Outcome>> acknowledge(const GroupRequest& request, Outcome outcome, base::TimePoint ranAt);
    boost::asio::awaitable<decisions::Result<Outcome>> runBegin(GroupRequest request);
    boost::asio::awaitable<decisions::Result<Outcome>> runInTransaction(GroupRequest request);
    boost::asio::awaitable<links::TargetResult<links::ExecuteResult>> sendInTransaction(const GroupRequest& request, Transaction& transaction);
    void endTransaction(const std::string& name, bool canReuseConnection);
    decisions::Result<Outcome> handleTargetFailure(const links::TargetFailure& failure, const std::shared_ptr<Pool>& pool);
    std::optional<size_t> findMember(const std::shared_ptr<Pool>& pool) const;
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
    decisions::GroupState m_state; // changed only by applyEvent()
    TraceRecorder m_trace;
    decisions::RetryBudget m_retryBudget;
    std::list<PendingConfirmation*> m_pendingConfirmations; // owned by confirm()
    std::list<boost::asio::steady_timer*> m_healthWaiters; // timers of requests that wait for a change of health
    std::map<std::string, std::shared_ptr<Transaction>> m_transactions;
    std::atomic<size_t> m_openTransactions { 0 };
    base::Snapshot<GroupStatus> m_status;
    base::TimerSubscription m_tick;
    base::TimePoint m_statusPublishedAt {};
    uint64_t m_epoch { 0 }; // incremented when loops start or stop: loops of older epochs end
    bool m_isActive { false }; // this host is a home and accepts new requests
    bool m_isRunning { false }; // loops run: while m_isActive is set, and afterwards until all requests are done
    size_t m_activeRequests { 0 }; // requests being served
    base::TimePoint m_lastRequestAt {}; // start of the last request
    size_t m_heldWrites { 0 }; // writes held until a primary is available
    uint64_t m_acknowledgedTerm { 0 }; // newest term of an acknowledged write; no write of an older term may be acknowledged
};

}
