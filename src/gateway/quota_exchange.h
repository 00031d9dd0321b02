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
    std::function<void(size_t shard, const std::set<std::string>& accounts, std::function<void(bool)> done)> write;
};

// `refusal` is empty if the operation may begin.
using QuotaDone = std::function<void(const std::optional<decisions::Error>& refusal)>;

class QuotaExchange {
public:
    explicit QuotaExchange(QuotaContext context);

    // Whether an operation of the account may begin; `done` is called once, perhaps from within.
    void begin(const std::string& account, QuotaDone done);
    // One that was let begin was refused before any target had it.
    void giveBack(const std::string& account);
    void sweep(TimePoint now);

    // What stands in the platform's store.
    void takeWritten(size_t shard, const std::set<std::string>& accounts);
    // As a keeper.
    peer::QuotaState takeReport(const peer::QuotaReport& report);
    peer::QuotaAnswer answerAsk(const peer::QuotaAsk& ask);
    // From keepers.
    void takeState(const std::string& keeper, const peer::QuotaState& state);
    void takeAnswer(const std::string& keeper, const peer::QuotaAnswer& answer);

private:
    // What stands between this host and one keeper of a shard.
    struct KeeperLink {
        uint64_t sent { 0 }; // number of the last report
        TimePoint sentAt {};
        TimePoint unansweredSince {}; // none of the reports sent since then was answered
        uint64_t incarnation { 0 }; // of the keeper's process, as it said last
        bool needsWhole { true }; // it may lack what was told before
        std::map<std::string, uint64_t> grantsTaken {}; // by account: the newest grant
    };
    struct Shard {
        std::string rankingKey {}; // of the hosts that may keep count for it
        decisions::QuotaHost host {};
        decisions::QuotaServer keeper {}; // of this host, if others take it for one
        std::map<std::string, KeeperLink> links {}; // by keeper
        std::string followed {}; // the keeper that this host goes by
        TimePoint reportedAt {};
        bool isChanged { false }; // since then
        bool hasLease { false }; // as logged
        bool isWriting { false };
        TimePoint writtenAt {}; // when it was last tried
    };
    struct Ask {
        size_t shard { 0 };
        std::string account {};
        QuotaDone done {};
        TimePoint limit {};
    };

    const decisions::AccountQuota* findQuota(const std::string& account) const;
    decisions::QuotaConfiguration makeView() const;
    bool isAlone(size_t shard, TimePoint now) const;
    std::string findKeeper(size_t shard, TimePoint now);
    void ask(size_t shard, const std::string& account, QuotaDone done);
    void decideAlone(size_t shard, const std::string& account, const QuotaDone& done);
    void takeGrant(size_t shard, const std::string& keeper, const std::string& account, const decisions::QuotaGrant& grant, const QuotaDone& done);
    void refuse(const std::string& account, std::string_view reason, milliseconds comeBack, const QuotaDone& done) const;
    void report(size_t shard, const std::string& keeper, TimePoint now);
    peer::QuotaReport makeReport(size_t shard, const KeeperLink& link, TimePoint now) const;
    peer::QuotaState makeState(size_t shard) const;
    void tellStrict(size_t shard);
    void writeNear(size_t shard, TimePoint now);
    void noteLease(size_t shard, TimePoint now);
    void endLateAsks(TimePoint now);

    QuotaContext m_context;
    std::vector<Shard> m_shards;
    std::map<uint64_t, Ask> m_asks; // by number of the call
    uint64_t m_lastCall { 0 };
    TimePoint m_beganAt;
    TimePoint m_sweptAt {};
};

}
