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

    tl::expected<void, std::string> start();
    // A planned stop. The executor is stopped when it is done.
    void startShutdown();
    // The settings file may have changed.
    void reload(const base::GatewaySettings& settings);
    bool isReady() const;

private:
    void accept();
    void sweep();
    void sweepPools(TimePoint now);
    void sweepSessions(TimePoint now);
    void removeUnlistedMembers(TimePoint now);
    void updateForwarding(TimePoint now);
    void advanceShutdown(TimePoint now);
    std::shared_ptr<TargetPool> getPool(const TargetAddress& target);
    void compareWithReplicas(const std::string& group);
    struct ComparisonRound;
    void finishComparison(const ComparisonRound& round);
    Comparison ensureComparison(const TargetAddress& target);
    decisions::QuotaRule getQuotaRule() const;
    void writeNearQuotaAccounts(size_t shard, const std::set<std::string>& accounts, std::function<void(bool)> done);
    PoolLimits getPoolLimits(const TargetAddress& target) const;
    PoolObserver makePoolObserver();
    PeerService makePeerService();
    DirectoryEvents makeDirectoryEvents();
    void queryStatus(const TargetAddress& target, std::function<void(const StatusReport&)> done);
    void holdWrites(const std::string& member, milliseconds time);
    void setKnownPrimary(const std::string& group, const decisions::KnownPrimary& lead, std::string_view source);
    void handlePrimaryProof(const std::string& group, const std::string& member, uint64_t term, TimePoint askedAt, ShownTo shownTo);
    void handlePromotionOrder(const std::string& group, const std::string& member, uint64_t term);
    void handleAssumedPrimary(const std::string& group, const std::string& member, uint64_t term);
    // Logs a change and tells the parts that go by it.
    void notifyPrimaryChange(const std::string& group, const decisions::KnownPrimary& before, std::string_view source);
    void logRefusedProof(const std::string& group, const std::string& member, uint64_t term);
    void recordFloor(const std::string& group, const decisions::Floor& floor);
    void raiseAlarm(const std::string& group, const std::string& reason);
    bool isUnreachable(const TargetAddress& target) const;
    void fillStatus(peer::Pong& message) const;
    void takeStatus(const peer::Pong& message, TimePoint sentAt);
    void handleMemberListed(const links::RegisteredMember& member, uint64_t revision, TimePoint leavingSince, std::string_view source);
    void handleMemberRestart(const links::RegisteredMember& member);
    void verifyPrimaryClaim(MemberBelief& member);
    void handleMemberUnlisted(const std::string& id, uint64_t revision, std::string_view source);
    void refreshMembersFromPeers(TimePoint now);
    void handleMembersAnswer(const peer::MembersAnswer& answer, TimePoint sentAt);
    void handleRoleChange(const links::RegisteredMember& before, const links::RegisteredMember& now);
    void updatePeerHosts();
    void sweepHosts(TimePoint now);
    milliseconds getDrainTime() const { return milliseconds(m_settings.memberDrainMs); }
    HostPlace getPlace() const;
    boost::asio::awaitable<links::HttpResponse> handleReadinessRequest(links::HttpRequest request);
    void logReadinessChange();
    void updateGauges() const;
    boost::asio::awaitable<void> finishShutdown();

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
    std::map<std::string, TimePoint> m_hostsRemovedAt; // hosts whose entries went: since when
    TimePoint m_membersRequestedAt {}; // when another host was last asked, the store being lost
    TimePoint m_partnersChosenAt {}; // when partners were last chosen
    bool m_isPartnerChoiceDue { true };
    bool m_isPeerUpdateDue { false }; // hosts came or went since the parts that talk to them were told
    std::vector<std::string> m_relays {}; // of this host's data centre, as last chosen
    TimePoint m_relayRequestedAt {}; // when another host last asked what this one hears
    milliseconds m_basePingInterval { decisions::kMinPingInterval }; // between exchanges that nothing else calls for
    TimePoint m_unlistedSweptAt {}; // when unlisted members were last looked for
    TimePoint m_sessionsSweptAt {}; // when sessions were last looked at
    TimePoint m_forwardingUpdatedAt {}; // when this host last looked which members it carries to
    uint64_t m_forwardingHostsVersion { 0 }; // of the other hosts, then
    std::map<std::string, TimePoint> m_alarmsSentAt; // by group: when other hosts were last told
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<CallerSession>> m_sessions;
    uint64_t m_lastSessionId { 0 };
    std::unique_ptr<links::HttpServer> m_readinessServer;
    std::unique_ptr<links::HttpServer> m_metricsServer;
    base::TimerService& m_timers;
    base::TimerSubscription m_sweepTimer;
    TimePoint m_startedAt {};
    TimePoint m_shutdownStartedAt {};
    bool m_isDraining { false };
    bool m_isClosingSessions { false };
    bool m_wasReady { false };
};

}
