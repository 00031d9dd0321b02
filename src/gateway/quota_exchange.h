// Network side of the quotas of client accounts (decisions/quota.h): chooses quota servers and exchanges reports, leases and grants with them.
// Accounts are divided among a few shards. The quota server of a shard is the first usable host in a ranking that all hosts compute alike.
// A host that receives reports or requests for a shard serves them even if it would choose another quota server itself.
#pragma once
#include "decisions/quota.h"
#include "gateway/account_report.h"
#include "gateway/peers.h"

namespace alderward::gateway {

struct QuotaContext {
    ClusterView& view;
    Peers& peers;
    std::string name; // of this host
    uint64_t incarnation; // of its process
    decisions::QuotaRule rule;
    const bool& isDraining;
};

struct QuotaDecision {
    std::optional<decisions::Error> refusal {}; // empty: the operation may begin
    bool isCounted { false }; // against a quota
    bool isOwnBucket { false }; // no quota server answered, and the host's own share admitted the operation
    std::optional<double> level {}; // if refused by a quota server: the level of the account's bucket there
};

using QuotaCallback = std::function<void(const QuotaDecision& decision)>;

class QuotaExchange {
public:
    explicit QuotaExchange(QuotaContext context);

    // Decides whether an operation of the account may begin. Calls `done` exactly once, possibly before returning.
    void admitOperation(const std::string& account, int priority, QuotaCallback done);
    // Returns a counted operation that was refused before it was sent to a target.
    void revertOperation(const std::string& account, bool isOwnBucket, TimePoint countedAt);
    // Sends reports, ends late requests and evaluates quotas. Call it periodically.
    void sweep(TimePoint now);
    // Adds what this host has counted of each account, and the buckets of the accounts that it is the quota server of.
    void describeAccounts(AccountReports& reports, TimePoint now) const;

    // On a quota server:
    peer::QuotaState handleReport(const peer::QuotaReport& report);
    void handleReporterLost(const std::string& host); // its connection has ended
    peer::QuotaAnswer handleAsk(const peer::QuotaAsk& ask);
    // Messages from quota servers:
    void handleState(const std::string& server, const peer::QuotaState& state);
    void handleAnswer(const peer::QuotaAnswer& answer);

private:
    // Reports of this host to one quota server of a shard.
    struct ServerLink {
        uint64_t lastReportNumber { 0 };
        TimePoint lastReportSentAt {};
        TimePoint unansweredSince {}; // when the first unanswered report was sent; zero: the last one was answered
        uint64_t incarnation { 0 }; // of the quota server's process, as last reported
        bool needsWholeReport { true }; // the quota server may not have the earlier reports
        std::map<std::string, decisions::UsageCounts> lastReport {}; // counts in the last report, by account
    };
    struct Shard {
        std::string rankingKey {}; // key of the ranking of hosts that its quota server is chosen from
        decisions::QuotaHost host {};
        decisions::QuotaServer server {}; // state of this host as a quota server
        std::map<std::string, ServerLink> serverLinks {}; // by quota server
        std::string currentServer {}; // the quota server that this host reports to; empty: none
        TimePoint lastReportAt {};
        bool hasUnreportedUsage { false };
        bool hasLoggedLease { false }; // whether the last logged event says that there is a lease
    };
    struct PendingAsk {
        size_t shard { 0 };
        std::string account {};
        int priority { 0 };
        QuotaCallback done {};
        TimePoint expiresAt {};
    };

    // A granted operation that waits for its token.
    struct DelayedStart {
        TimePoint startAt {};
        std::string account {};
        QuotaCallback done {};
    };

    const decisions::AccountQuota* findQuota(const std::string& account) const;
    decisions::QuotaConfiguration makeConfiguration() const;
    bool isIsolated(size_t shard, TimePoint now) const;
    std::string findQuotaServer(size_t shard, TimePoint now);
    void requestGrant(size_t shard, const std::string& account, int priority, QuotaCallback done);
    void decideWithoutServer(size_t shard, const std::string& account, int priority, const QuotaCallback& done);
    void applyGrant(size_t shard, const std::string& account, int priority, const decisions::QuotaGrant& grant, const QuotaCallback& done);
    void begin(const std::string& account, const QuotaDecision& decision, bool isGranted, const QuotaCallback& done);
    void refuse(const std::string& account, int priority, std::string_view reason, milliseconds retryAfter, std::optional<double> level, const QuotaCallback& done);
    decisions::QuotaGrant decideGrant(const std::string& account, int priority);
    void sendLeavingReport(size_t shard, const std::string& server);
    void sendReport(size_t shard, const std::string& server, TimePoint now);
    peer::QuotaReport makeReport(size_t shard, const ServerLink& link, TimePoint now);
    peer::QuotaState makeState(size_t shard) const;
    void announceStrictAccounts(size_t shard);
    void logLeaseChange(size_t shard, TimePoint now);
    void expireAsks(TimePoint now);
    void runDelayedStarts(TimePoint now);

    QuotaContext m_context;
    std::vector<Shard> m_shards;
    std::map<uint64_t, PendingAsk> m_pendingAsks; // by number of the call
    std::vector<DelayedStart> m_delayedStarts;
    std::map<std::string, AccountCounts> m_counts; // by account
    uint64_t m_lastCall { 0 };
    TimePoint m_lastSweepAt {};
};

}
