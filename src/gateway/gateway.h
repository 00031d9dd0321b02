// The process of one host: accepts the connections of callers, owns the parts that route and run their statements, and connects these parts
// with each other, with the platform's store and with other hosts.
// Not thread-safe: all parts run on one executor with one thread (see docs/design/0009-platform.md).
#pragma once
#include "base/settings.h"
#include "gateway/caller_session.h"
#include "gateway/commit_gate.h"
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

    // Starts listening and following the store. Returns an error if an address can't be listened on.
    tl::expected<void, std::string> start();
    // Starts a planned stop: drains sessions within the grace period, then stops the executor. Later calls have no effect.
    void startShutdown();
    // Applies settings that were read again. Values that the parts received at construction do not change.
    void reload(const base::GatewaySettings& settings);
    // Whether a configuration and the list of members are known and the host is not draining.
    bool isReady() const;

private:
    void accept();
    void sweep();
    void sweepPools(TimePoint now);
    void sweepSessions(TimePoint now);
    void sweepUnlistedMembers(TimePoint now);
    void updateForwarding(TimePoint now);
    void enterStopPhase(StopPhase phase);
    void advanceShutdown(TimePoint now);
    std::shared_ptr<TargetPool> getPool(const TargetAddress& target);
    void compareWithReplicas(const std::string& group);
    struct ComparisonRound;
    void finishComparison(const ComparisonRound& round);
    // Starts a comparison with the group's replicas if one is needed to trust the target as primary.
    LogComparison ensureComparison(const TargetAddress& target);
    decisions::QuotaRule getQuotaRule() const;
    PoolLimits getPoolLimits(const TargetAddress& target) const;
    PoolObserver makePoolObserver();
    boost::asio::awaitable<void> querySuccessor(TargetAddress target, std::function<void(const StatusReport&)> done);
    CommitGateContext makeCommitGateContext();
    PeerCallbacks makePeerCallbacks();
    DirectoryEvents makeDirectoryEvents();
    // Calls `done` once, after kStatusQueryTimeout at the latest. A report without a status means that none was received.
    void queryStatus(const TargetAddress& target, const links::StatusQuery& query, std::function<void(const StatusReport&)> done);
    // Lets writes to a member wait for this long, or for as long as asked before if that is longer; 0: lets them go on.
    void holdWrites(const std::string& member, milliseconds time);
    void setKnownPrimary(const std::string& group, const decisions::KnownPrimary& primary, std::string_view source);
    void handlePrimaryProof(const std::string& group, const std::string& member, uint64_t term, TimePoint askedAt, ProofRecipient recipient);
    void handlePromotionOrder(const std::string& group, const std::string& member, uint64_t term);
    void handleAssumedPrimary(const std::string& group, const std::string& member, uint64_t term);
    // Compares the known primary with the one `before` an update; on a change, logs it and informs the promoter.
    void notifyPrimaryChange(const std::string& group, const decisions::KnownPrimary& before, std::string_view source);
    void logRejectedProof(const std::string& group, const std::string& member, uint64_t term);
    void recordFloor(const std::string& group, const decisions::Floor& floor);
    void raiseAlarm(const std::string& group, const std::string& reason);
    bool isUnreachable(const TargetAddress& target) const;
    void fillStatus(peer::Pong& message) const;
    void handlePong(const peer::Pong& message, TimePoint sentAt);
    void handleMemberListed(const links::RegisteredMember& member, uint64_t revision, TimePoint leavingSince, std::string_view source);
    void handleMemberRestart(const links::RegisteredMember& member);
    void verifyPrimaryClaim(MemberView& member);
    void handleMemberUnlisted(const std::string& id, uint64_t revision, std::string_view source);
    void refreshMembersFromPeers(TimePoint now);
    void handleMembersAnswer(const peer::MembersAnswer& answer, TimePoint sentAt);
    void handleRoleChange(const links::RegisteredMember& before, const links::RegisteredMember& now);
    void updatePeerHosts();
    void sweepHosts(TimePoint now);
    milliseconds getDrainTime() const { return milliseconds(m_settings.memberDrainMs); }
    LocalHost getLocalHost() const;
    boost::asio::awaitable<links::HttpResponse> handleReadinessRequest(links::HttpRequest request);
    void logReadinessChange();
    void repeatConfigurationProblems(TimePoint now);
    void updateGauges() const;
    AccountReports describeAccounts(TimePoint now) const;
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
    CommitGate m_commitGate;
    std::map<std::string, std::shared_ptr<TargetPool>> m_pools; // by member
    std::map<std::string, TimePoint> m_writesHeldUntil; // by member; also applies to pools made meanwhile
    std::map<std::string, TimePoint> m_hostsRemovedAt; // by host: when its entry was removed from the store
    TimePoint m_membersRequestedAt {}; // when members were last requested from another host
    TimePoint m_partnersChosenAt {};
    bool m_isPartnerChoiceDue { true };
    bool m_isPeerUpdateDue { false }; // m_view.hosts has changed since m_peers received it
    std::vector<std::string> m_relays {}; // names of the relays of this host's data centre
    TimePoint m_relayRequestedAt {}; // when another host last requested the reports of this host's partners
    milliseconds m_basePingInterval { decisions::kMinPingInterval }; // of hosts that exchange with forwarders themselves
    TimePoint m_unlistedSweptAt {};
    TimePoint m_sessionsSweptAt {};
    TimePoint m_forwardingUpdatedAt {};
    uint64_t m_forwardingHostsVersion { 0 }; // version of m_peers at the last update
    std::map<std::string, TimePoint> m_alarmsSentAt; // by group
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<std::shared_ptr<CallerSession>> m_sessions;
    uint64_t m_lastSessionId { 0 };
    std::unique_ptr<links::HttpServer> m_readinessServer;
    std::unique_ptr<links::HttpServer> m_metricsServer;
    base::TimerService& m_timers;
    base::TimerSubscription m_sweepTimer;
    TimePoint m_startedAt {};
    TimePoint m_configurationReportedAt {}; // when its problems were last logged
    TimePoint m_shutdownStartedAt {};
    bool m_isDraining { false };
    StopState m_stop;
    bool m_wasReady { false };
};

}
