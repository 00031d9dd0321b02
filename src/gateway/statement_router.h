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
    bool needsLeader { false };
    Mark need {}; // reads elsewhere: what the log must hold
    TimePoint arrivedAt {};
    std::vector<std::string> tried {}; // members, since the last pause
    unsigned attempts { 0 };
    bool wasOverloaded { false }; // our queue before a member could not take it in time: once no other is left, its caller is told at once
    bool isCounted { false }; // its operation counts against the quota of its client account
    bool wasSent { false }; // some member may have had it
    bool wasTurnedAway { false }; // the last member that was asked lives and was busy, and said so at once
    std::string session {}; // for the log
    std::string lastReason {};
};

using RoutedDone = std::function<void(const Outcome& outcome, const std::optional<TransactionHandle>& transaction)>;

struct StatementRouterContext {
    boost::asio::io_context& context;
    ClusterView& view;
    Peers& peers;
    std::string name; // of this host
    std::string dataCentre;
    std::function<std::shared_ptr<TargetPool>(const TargetAddress&)> getPool;
    std::function<bool(const TargetAddress&)> isTroubled; // this host cannot reach the target
    std::function<void(const std::string& group)> onNoLeader;
    std::function<bool()> isCutOff; // this host has lost most others: they may reach what it does not
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
    void run(RoutedStatement routed, RoutedDone done);
    // The next statement of a transaction, or its commit.
    void runNext(const TransactionHandle& transaction, RoutedStatement routed, RoutedDone done);
    void end(const TransactionHandle& transaction);
    // Tries again what waits for a member to become available.
    void sweep(TimePoint now);

private:
    struct Waiting {
        std::shared_ptr<RoutedStatement> routed;
        RoutedDone done;
        TimePoint notBefore;
    };

    TimePoint::duration getWayBack(const std::string& carrier) const;
    void attempt(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done);
    void waitOrGiveUp(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done);
    void refuse(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done, const decisions::Error& refusal);
    void giveUp(const std::shared_ptr<RoutedStatement>& routed, RoutedDone done, decisions::ErrorKind kind);
    std::optional<TargetAddress> chooseMember(const RoutedStatement& routed) const;
    decisions::Candidate makeCandidate(const RoutedStatement& routed, const MemberView& member, const std::string& leader) const;
    bool mayCarry(const std::string& host, const MemberView& member) const;
    std::string chooseCarrier(const MemberView& member) const;
    void noteBehind(const TargetAddress& target, const Mark& position, TimePoint now);
    void takeOutcome(const std::shared_ptr<RoutedStatement>& routed, const TargetAddress& target, const std::optional<TransactionHandle>& transaction, const Outcome& outcome, RoutedDone done);
    void finish(const RoutedStatement& routed, const Outcome& outcome, const std::optional<TransactionHandle>& transaction, const RoutedDone& done, const TargetAddress& target);

    StatementRouterContext m_context;
    std::vector<Waiting> m_waiting;
};

}
