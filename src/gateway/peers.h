// Connections to the other hosts: their health, statement requests sent to them for members, and the messages received from them.
//
// COMMON MISTAKES
//   - Treating a statement as not run because its connection was lost. Once sent, it may still run on the other host.
#pragma once
#include "decisions/promotion.h"
#include "gateway/cluster_view.h"
#include "gateway/inbound_peers.h"
#include <set>

namespace alderward::gateway {

// How this host exchanges state with another one that it pings regularly.
struct Partner {
    milliseconds interval { 0 }; // between two pings while no reply is pending; 0: not a partner
    bool isRelay { false }; // it passes on what its own partners reported
    bool reportsLoads { false }; // it includes the loads of their connection pools
    friend bool operator==(const Partner&, const Partner&) = default;
};
using Partners = std::map<std::string, Partner>; // by name

class Peers {
public:
    Peers(boost::asio::io_context& context, std::string name, PeerCallbacks callbacks);
    ~Peers();

    tl::expected<void, std::string> listen(const std::string& address);
    // Replaces the list of hosts. Closes connections to hosts that were removed or have a new address.
    void setHosts(const std::vector<links::RegisteredHost>& hosts);
    // Sets the hosts that are pinged regularly. Others are connected to when something is sent, and pinged while replies are pending.
    void setPartners(const Partners& partners);

    // False after a connection failed or timed out, until the host answers again. A host without a connection counts as up unless all relays
    // report it as unusable.
    bool isUp(const std::string& host) const;
    // Whether the host has answered a ping on the current connection from this host.
    bool isAnswering(const std::string& host) const;
    // Of the pings that this host has answered lately.
    const PongTimes& getPongTimes() const { return m_inbound.getPongTimes(); }
    bool isLeaving(const std::string& host) const;
    // Whether new work may be sent to the host.
    bool isUsable(const std::string& host) const { return isUp(host) && !isLeaving(host); }
    // The capabilities that the host last reported; all of them before its first report.
    decisions::HostCapabilities getCapabilities(const std::string& host) const;
    // Smoothed round trip of pings; a default before the first answer.
    double getRoundTripMs(const std::string& host) const;
    // The load of the host's connection pool to a member, from its latest recent report.
    std::optional<peer::Load> getLoad(const std::string& host, const std::string& member) const;
    // Whether the host recently reported that it does not know the member. Hosts that cannot reach the store learn of new members late.
    bool lacksMember(const std::string& host, const std::string& member) const;
    std::vector<std::string> getAnsweringHosts() const;
    decisions::HostReachability getReachability() const;
    // Increases whenever another host may have become usable or unusable.
    uint64_t getVersion() const { return m_version; }
    // Adds the unusable partners, and the loads that partners reported if `withLoads`, for a host that uses this one as a relay.
    void writePartnerReports(peer::Pong& wire, bool withLoads) const;

    // Calls `done` exactly once. Requests of one transaction carry the same number from takeTransactionNumber().
    // Returns the number of the request for cancelStatementRequest(), or 0 if the host is unreachable.
    uint64_t sendStatementRequest(const std::string& host, const TargetAddress& target, const StatementRequest& request, RequestCallback done);
    // Asks the host not to run a request that is still waiting there. The request ends as usual, with CallerGone if it was removed.
    void cancelStatementRequest(const std::string& host, uint64_t number);
    void endTransaction(const std::string& host, uint64_t transaction);
    uint64_t takeTransactionNumber() { return ++m_lastTransaction; }
    void queryStatus(const std::string& host, const TargetAddress& target, const links::StatusQuery& query, std::function<void(const StatusReport&)> done);
    // Requests the members changed since a revision of the store. An answer, if any, is passed to PeerCallbacks::onMembersAnswer.
    void requestMembers(const std::string& host, uint64_t since);
    // Returns false if there is no connection to the host and none is being opened.
    bool send(const std::string& host, const peer::Frame& frame);
    void broadcastQuotaState(const peer::QuotaState& state) { m_inbound.broadcastQuotaState(state); }
    void sendAlarm(const std::string& host, const std::string& group, const std::string& member, const std::string& reason);
    void sendHoldWrites(const std::string& group, const std::string& member, milliseconds time);
    // Tells all connected hosts that a member was promoted to primary.
    void announcePrimary(const std::string& group, const std::string& member, uint64_t term);
    // Tells all hosts of a promotion order that may be carried out, or that was refused, and connects to them if necessary.
    void announcePendingPromotion(const peer::PendingPromotion& pending);
    // Pings hosts, reconnects, and closes connections that no longer answer. Call it periodically.
    void sweep(TimePoint now);
    // From now on, statements of other hosts' open transactions are refused, and these transactions rolled back.
    void endInboundTransactions() { m_inbound.endTransactions(); }
    // Whether statements of other hosts are unanswered, or transactions of theirs may go on.
    bool hasInboundWork() const { return m_inbound.hasWork(); }
    void stop();

private:
    struct Link;
    struct TimestampedLoad {
        peer::Load load;
        TimePoint at;
    };
    using Loads = std::map<std::string, TimestampedLoad>; // by member
    using LinkPtr = std::shared_ptr<Link>;

    LinkPtr acquireLink(const std::string& host);
    LinkPtr makeLink(const std::string& host);
    void connect(const LinkPtr& link);
    void handleMessage(const LinkPtr& link, std::string_view message);
    void broadcast(const peer::Frame& frame);
    void handlePong(const LinkPtr& link, const peer::Pong& pong);
    void recordLoad(const LinkPtr& link, const peer::Load& load, TimePoint sentAt);
    void updateUnusableHosts();
    void ping(const LinkPtr& link, TimePoint now);
    bool isPingDue(const Link& link, TimePoint now) const;
    bool isReportedUnusable(const std::string& host, TimePoint lastReceivedAt) const;
    void expireCalls(const LinkPtr& link, TimePoint now);
    void closeLink(const LinkPtr& link, const std::string& reason);

    boost::asio::io_context& m_context;
    std::string m_name;
    PeerCallbacks m_callbacks;
    InboundPeers m_inbound;
    std::map<std::string, links::RegisteredHost> m_hosts; // all except this one, by name
    std::map<std::string, LinkPtr> m_links; // by host
    std::unordered_map<std::string, Loads> m_reportedLoads; // by host, from relays
    std::set<std::string> m_unusableHosts; // reported by every relay that answers
    uint64_t m_version { 0 };
    uint64_t m_lastTransaction { 0 };
};

}
