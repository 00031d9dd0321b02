// A host that serves sessions on connections: accepts callers, follows the platform's store, and owns the parts that run statements.
// One executor and one thread: everything here is touched from it only (docs/design/0009-platform.md says why).
#pragma once
#include "base/settings.h"
#include "gateway/caller_session.h"
#include "gateway/directory.h"
#include "gateway/partners.h"
#include "gateway/promoter.h"
#include "gateway/status_exchange.h"
#include "links/http.h"
#include <unordered_set>

namespace alderward::gateway {

class Gateway {
public:
    Gateway(boost::asio::io_context& context, base::TimerService& timers, base::GatewaySettings settings, std::unique_ptr<links::PlatformAdapter> platform);
    ~Gateway();

    tl::expected<void, std::string> begin();
    // A planned stop. The executor is stopped when it is done.
    void beginStop();
    // The settings file may have changed.
    void reload(const base::GatewaySettings& settings);
    bool isReady() const;

private:
    void accept();
    void sweep();
    void sweepPools(TimePoint now);
    void sweepSessions(TimePoint now);
    void forgetUnlisted(TimePoint now);
    void placePools(TimePoint now);
    void sweepStop(TimePoint now);
    std::shared_ptr<TargetPool> getPool(const TargetAddress& target);
    void compareWithReplicas(const std::string& group);
    struct ComparisonRound;
    void endComparison(const ComparisonRound& round);
    Comparison getComparison(const TargetAddress& target);
    decisions::QuotaRule getQuotaRule() const;
    void writeNearAccounts(size_t shard, const std::set<std::string>& accounts, std::function<void(bool)> done);
    PoolLimits getLimits(const TargetAddress& target) const;
    PoolObserver makeObserver();
    PeerService makePeerService();
    DirectoryEvents makeDirectoryEvents();
    void inquire(const TargetAddress& target, std::function<void(const StatusReport&)> done);
    void holdWrites(const std::string& member, milliseconds time);
    void takeLead(const std::string& group, const decisions::KnownPrimary& lead, std::string_view source);
    void takeShown(const std::string& group, const std::string& member, uint64_t term, TimePoint askedAt, ProofRecipient shownTo);
    void takeOrdered(const std::string& group, const std::string& member, uint64_t term);
    void takeAssumed(const std::string& group, const std::string& member, uint64_t term);
    // Logs a change and tells the parts that go by it.
    void noteLead(const std::string& group, const decisions::KnownPrimary& before, std::string_view source);
    void noteRefusedProof(const std::string& group, const std::string& member, uint64_t term);
    void takeFloor(const std::string& group, const decisions::Floor& floor);
    void raiseAlarm(const std::string& group, const std::string& reason);
    bool isTroubled(const TargetAddress& target) const;
    void fillStatus(peer::Pong& message) const;
    void takeStatus(const peer::Pong& message, TimePoint sentAt);
    void takeListed(const links::RegisteredMember& member, uint64_t revision, TimePoint leavingSince, std::string_view source);
    void endLife(const links::RegisteredMember& member);
    void askWhetherItLeads(MemberView& member);
    void takeUnlisted(const std::string& id, uint64_t revision, std::string_view source);
    void askForMembers(TimePoint now);
    void takeMembers(const peer::MembersAnswer& answer, TimePoint sentAt);
    void takeRoleChange(const links::RegisteredMember& before, const links::RegisteredMember& now);
    void tellPeers();
    void sweepHosts(TimePoint now);
    milliseconds getDrainTime() const { return milliseconds(m_settings.memberDrainMs); }
    HostPlace getPlace() const;
    boost::asio::awaitable<links::HttpResponse> answerReady(links::HttpRequest request);
    void noteReadiness();
    void measure() const;
    boost::asio::awaitable<void> finishStop();

    boost::asio::io_context& m_context;
    base::GatewaySettings m_settings;
    std::unique_ptr<links::PlatformAdapter> m_platform;
    ClusterView m_view;
    links::RegisteredHost m_self;
    Peers m_peers;
    QuotaExchange m_quotas;
    StatementRouter m_router;
    Directory m_directory;
    Promoter m_promoter;
    std::map<std::string, std::shared_ptr<TargetPool>> m_pools; // by member
    std::map<std::string, TimePoint> m_hostsGoneAt; // hosts whose entries went: since when
    TimePoint m_membersAskedAt {}; // when another host was last asked, the store being lost
    TimePoint m_partnersAt {}; // when partners were last chosen
    bool m_partnersDue { true };
    bool m_hostsDue { false }; // hosts came or went since the parts that talk to them were told
    std::vector<std::string> m_relays {}; // of this host's data centre, as last chosen
    TimePoint m_askedToRelayAt {}; // when another host last asked what this one hears
    milliseconds m_quietInterval { decisions::kMinPingInterval }; // between exchanges that nothing else calls for
    TimePoint m_forgottenAt {}; // when unlisted members were last looked for
    TimePoint m_sessionsAt {}; // when sessions were last looked at
    TimePoint m_placedAt {}; // when this host last looked which members it carries to
    uint64_t m_placedVersion { 0 }; // of the other hosts, then
    std::map<std::string, TimePoint> m_alarmedAt; // by group: when other hosts were last told
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<CallerSession>> m_sessions;
    uint64_t m_lastSession { 0 };
    std::unique_ptr<links::HttpServer> m_ready;
    std::unique_ptr<links::HttpServer> m_metrics;
    base::TimerService& m_timers;
    base::TimerSubscription m_sweep;
    TimePoint m_startedAt {};
    TimePoint m_stopBegan {};
    bool m_isDraining { false };
    bool m_isEnding { false };
    bool m_wasReady { false };
};

}
