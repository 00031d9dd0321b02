// Runs callers' statements: chooses a member and its forwarder, tries another member if the target reports that it did not run the
// statement, and ends with exactly one outcome before the statement's deadline.
#pragma once
#include "gateway/quota_exchange.h"
#include <unordered_map>

namespace alderward::gateway {

// An open transaction of a caller. Names the pool itself and not only its target: a pool is replaced when its member restarts, and the next one
// numbers its transactions from 1 again.
struct TransactionHandle {
    TargetAddress target {};
    std::shared_ptr<TargetPool> pool {}; // of this host; null: at `host`
    std::string host {}; // the forwarder
    uint64_t number { 0 }; // unique in the pool, or among the transactions of this process at other hosts
};

// Where a statement that was passed on waits or runs.
struct StatementPlace {
    std::shared_ptr<TargetPool> pool {}; // of this host; null: at `host`
    std::string host {};
    uint64_t number { 0 }; // as returned by the pool or by Peers; 0: nowhere
};

// A statement with the state of its attempts.
struct RoutedStatement {
    decisions::DatabaseRoute route {};
    StatementRequest request {};
    bool needsPrimary { false };
    Mark requiredMark {}; // for reads at a replica: its log must have reached this mark
    TimePoint arrivedAt {};
    std::vector<std::string> triedMembers {}; // since the last retry delay
    unsigned attempts { 0 };
    bool wasQueueOverloaded { false }; // refused by a member queue, or by busy members too often: fails without waiting once no other member is left
    bool isCounted { false }; // against the quota of its client account
    bool isOwnBucket { false }; // as QuotaDecision::isOwnBucket
    std::optional<double> quotaLevel {}; // as QuotaDecision::level, for the log
    bool wasSent { false }; // some member may have received it
    bool wasMemberBusy { false }; // the last member asked answered that it is busy, so it is alive
    StatementPlace place {};
    bool wasPassedOn { false }; // to a pool or a forwarder, when it was abandoned
    bool isAbandoned { false }; // its caller has gone: it is not sent any more, and its result is not needed
    std::string session {}; // for the log
    std::string lastReason {};
};

using RoutedCallback = std::function<void(const Outcome& outcome, const std::optional<TransactionHandle>& transaction)>;

struct StatementRouterContext {
    boost::asio::io_context& context;
    ClusterView& view;
    Peers& peers;
    std::string name; // of this host
    std::string dataCentre;
    std::function<std::shared_ptr<TargetPool>(const TargetAddress&)> getPool;
    std::function<bool(const TargetAddress&)> isUnreachable; // whether this host has failed to reach the target recently
    std::function<void(const std::string& group)> onNoPrimary;
    std::function<bool()> isIsolated; // this host has lost most other hosts, which may still reach the members
    milliseconds drainTime; // how long a leaving member accepts new operations
    QuotaExchange& quotas;
};

class StatementRouter {
public:
    explicit StatementRouter(StatementRouterContext context)
        : m_context(std::move(context))
    {
    }

    // Runs a statement outside a transaction, or the first statement of one. `done` is called once, never from within run() or runNext().
    std::shared_ptr<RoutedStatement> run(RoutedStatement routed, RoutedCallback done);
    // Runs the next statement of a transaction, or its commit.
    std::shared_ptr<RoutedStatement> runNext(const TransactionHandle& transaction, RoutedStatement routed, RoutedCallback done);
    // Called when the statement's caller has gone. A statement that was not sent to a member ends with CallerGone; one that was sent runs on.
    void abandon(const std::shared_ptr<RoutedStatement>& routed);
    void end(const TransactionHandle& transaction);
    // Retries statements whose retry delay has passed.
    void sweep(TimePoint now);

private:
    struct PendingRetry {
        std::shared_ptr<RoutedStatement> routed;
        RoutedCallback done;
        TimePoint retryAt;
    };

    TimePoint::duration getReturnTime(const std::string& forwarder) const;
    TimePoint getForwarderDeadline(const std::string& forwarder, TimePoint deadline) const;
    void attempt(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done);
    void retryLaterOrFail(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done);
    void refuse(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done, const decisions::Error& refusal);
    void fail(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done, decisions::ErrorKind kind);
    std::optional<TargetAddress> chooseMember(const RoutedStatement& routed) const;
    decisions::Candidate makeCandidate(const RoutedStatement& routed, const MemberView& member, const std::string& primary) const;
    bool canForward(const std::string& host, const MemberView& member) const;
    std::string chooseForwarder(const MemberView& member) const;
    void recordReadRefusal(const TargetAddress& target, const Mark& position, TimePoint now);
    void handleOutcome(const std::shared_ptr<RoutedStatement>& routed, const TargetAddress& target, const std::optional<TransactionHandle>& transaction, const Outcome& outcome, RoutedCallback done);
    void refuseAbandoned(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done);
    void recordAbandoned(const RoutedStatement& routed, const Outcome& outcome) const;
    void finish(const RoutedStatement& routed, const Outcome& outcome, const std::optional<TransactionHandle>& transaction, const RoutedCallback& done, const TargetAddress& target);

    StatementRouterContext m_context;
    std::vector<PendingRetry> m_pendingRetries;
};

}
