// Runs callers' statements: chooses a member and the host that carries the statement there, tries another one where the target said that
// it did not run it, and ends within the route's limit with exactly one outcome.
#pragma once
#include "gateway/quota_exchange.h"
#include <unordered_map>

namespace alderward::gateway {

// An open transaction of a caller and where it lives.
struct TransactionHandle {
    TargetAddress target {};
    std::string host {}; // that carries it; empty: this one
    uint64_t number { 0 }; // at the carrier
};

// A statement on its way.
struct RoutedStatement {
    decisions::DatabaseRoute route {};
    Order order {};
    bool needsPrimary { false };
    Mark requiredMark {}; // reads elsewhere: what the log must hold
    TimePoint arrivedAt {};
    std::vector<std::string> triedMembers {}; // members, since the last pause
    unsigned attempts { 0 };
    bool wasQueueOverloaded { false }; // our queue before a member could not take it in time: once no other is left, its caller is told at once
    bool isCounted { false }; // its operation counts against the quota of its client account
    bool wasSent { false }; // some member may have had it
    bool wasMemberBusy { false }; // the last member that was asked lives and was busy, and said so at once
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
    std::function<bool(const TargetAddress&)> isTroubled; // this host cannot reach the target
    std::function<void(const std::string& group)> onNoPrimary;
    std::function<bool()> isIsolated; // this host has lost most others: they may reach what it does not
    milliseconds drainTime; // of members that leave
    QuotaExchange& quotas;
};

class StatementRouter {
public:
    explicit StatementRouter(StatementRouterContext context)
        : m_context(std::move(context))
    {
    }

    // A statement outside a transaction, or the first one inside.
    void run(RoutedStatement routed, RoutedCallback done);
    // The next statement of a transaction, or its commit.
    void runNext(const TransactionHandle& transaction, RoutedStatement routed, RoutedCallback done);
    void end(const TransactionHandle& transaction);
    // Tries again what waits for a member to become available.
    void sweep(TimePoint now);

private:
    struct PendingRetry {
        std::shared_ptr<RoutedStatement> routed;
        RoutedCallback done;
        TimePoint retryAt;
    };

    TimePoint::duration getReturnTime(const std::string& forwarder) const;
    void attempt(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done);
    void retryLaterOrFail(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done);
    void refuse(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done, const decisions::Error& refusal);
    void fail(const std::shared_ptr<RoutedStatement>& routed, RoutedCallback done, decisions::ErrorKind kind);
    std::optional<TargetAddress> chooseMember(const RoutedStatement& routed) const;
    decisions::Candidate makeCandidate(const RoutedStatement& routed, const MemberBelief& member, const std::string& primary) const;
    bool canForward(const std::string& host, const MemberBelief& member) const;
    std::string chooseForwarder(const MemberBelief& member) const;
    void recordReadRefusal(const TargetAddress& target, const Mark& position, TimePoint now);
    void handleOutcome(const std::shared_ptr<RoutedStatement>& routed, const TargetAddress& target, const std::optional<TransactionHandle>& transaction, const Outcome& outcome, RoutedCallback done);
    void finish(const RoutedStatement& routed, const Outcome& outcome, const std::optional<TransactionHandle>& transaction, const RoutedCallback& done, const TargetAddress& target);

    StatementRouterContext m_context;
    std::vector<PendingRetry> m_pendingRetries;
};

}
