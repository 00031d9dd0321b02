// How hosts keep to the quotas of client accounts together (decisions/quota.h): who keeps count, and the reports, leases and grants that pass between them.
// Accounts are dealt to a few shards. The first usable host in a ranking that all hosts compute alike keeps count for a shard; one that is told or asked does, whether
// it would choose itself or not.
#pragma once
#include "decisions/quota.h"
#include "gateway/peers.h"

namespace alderward::gateway {

struct QuotaContext {
    ClusterView& view;
    Peers& peers;
    std::string name; // of this host
    uint64_t incarnation; // of its process
    decisions::QuotaRule rule;
    const bool& isDraining;
    // Writes a shard's accounts down in the platform's store; `done` says whether that worked.
    std::function<void(size_t shard, const std::set<std::string>& accounts, std::function<void(bool)> done)> storeNearQuota;
};

// `refusal` is empty if the operation may begin.
using QuotaCallback = std::function<void(const std::optional<decisions::Error>& refusal)>;

class QuotaExchange {
public:
    explicit QuotaExchange(QuotaContext context);

    // Whether an operation of the account may begin; `done` is called once, perhaps from within.
    void admitOperation(const std::string& account, QuotaCallback done);
    // One that was let begin was refused before any target had it.
    void revertOperation(const std::string& account);
    void sweep(TimePoint now);

    // What stands in the platform's store.
    void applyStoredNearQuota(size_t shard, const std::set<std::string>& accounts);
    // As a keeper.
    peer::QuotaState handleReport(const peer::QuotaReport& report);
    peer::QuotaAnswer handleAsk(const peer::QuotaAsk& ask);
    // From keepers.
    void handleState(const std::string& server, const peer::QuotaState& state);
    void handleAnswer(const std::string& server, const peer::QuotaAnswer& answer);

private:
    // What stands between this host and one keeper of a shard.
    struct ServerLink {
        uint64_t lastReportNumber { 0 }; // number of the last report
        TimePoint lastReportSentAt {};
        TimePoint unansweredSince {}; // none of the reports sent since then was answered
        uint64_t incarnation { 0 }; // of the keeper's process, as it said last
        bool needsWholeReport { true }; // it may lack what was told before
        std::map<std::string, uint64_t> grantsTaken {}; // by account: the newest grant
    };
    struct Shard {
        std::string rankingKey {}; // of the hosts that may keep count for it
        decisions::QuotaHost host {};
        decisions::QuotaServer server {}; // of this host, if others take it for one
        std::map<std::string, ServerLink> serverLinks {}; // by keeper
        std::string currentServer {}; // the keeper that this host goes by
        TimePoint lastReportAt {};
        bool hasUnreportedUsage { false }; // since then
        bool hasLoggedLease { false }; // as logged
        bool isStoring { false };
        TimePoint lastStoreAttemptAt {}; // when it was last tried
    };
    struct PendingAsk {
        size_t shard { 0 };
        std::string account {};
        QuotaCallback done {};
        TimePoint expiresAt {};
    };

    const decisions::AccountQuota* findQuota(const std::string& account) const;
    decisions::QuotaConfiguration makeConfiguration() const;
    bool isIsolated(size_t shard, TimePoint now) const;
    std::string findQuotaServer(size_t shard, TimePoint now);
    void requestGrant(size_t shard, const std::string& account, QuotaCallback done);
    void decideWithoutServer(size_t shard, const std::string& account, const QuotaCallback& done);
    void applyGrant(size_t shard, const std::string& server, const std::string& account, const decisions::QuotaGrant& grant, const QuotaCallback& done);
    void refuse(const std::string& account, std::string_view reason, milliseconds blockedFor, const QuotaCallback& done) const;
    void sendReport(size_t shard, const std::string& server, TimePoint now);
    peer::QuotaReport makeReport(size_t shard, const ServerLink& link, TimePoint now) const;
    peer::QuotaState makeState(size_t shard) const;
    void announceStrictAccounts(size_t shard);
    void updateStoredNearQuota(size_t shard, TimePoint now);
    void logLeaseChange(size_t shard, TimePoint now);
    void expireAsks(TimePoint now);

    QuotaContext m_context;
    std::vector<Shard> m_shards;
    std::map<uint64_t, PendingAsk> m_pendingAsks; // by number of the call
    uint64_t m_lastCall { 0 };
    TimePoint m_startedAt;
    TimePoint m_lastSweepAt {};
};

}
