// The other hosts: connections to them, whether they answer, orders sent to them, and what they ask of this host.
//
// COMMON MISTAKES
//   - Taking a lost connection for "not run". An order that was sent may run as long as its host lives.
#pragma once
#include "decisions/succession.h"
#include "gateway/cluster_view.h"
#include "gateway/inbound_peers.h"
#include <set>

namespace alderward::gateway {

// A host that this one exchanges with all the time.
struct Partner {
    milliseconds interval { 0 }; // between two exchanges while nothing else is under way; 0: no partner
    bool isRelay { false }; // it is asked what it hears from others
    bool reportsLoads { false }; // and how busy their connections are
    friend bool operator==(const Partner&, const Partner&) = default;
};
using Partners = std::map<std::string, Partner>; // by name

class Peers {
public:
    Peers(boost::asio::io_context& context, std::string name, PeerCallbacks callbacks);
    ~Peers();

    tl::expected<void, std::string> listen(const std::string& address);
    // The hosts that there are. A connection to one that is gone or has another address ends.
    void setHosts(const std::vector<links::RegisteredHost>& hosts);
    // The hosts that are pinged all the time; to others a connection is made when something is sent, and pinged while answers are awaited.
    void setPartners(const Partners& partners);

    // False after a connection failed or fell silent, until the host answers again. A host that this one has not heard lately counts as up, unless all
    // relays say that it is not.
    bool isUp(const std::string& host) const;
    // Whether the host answered lately on a connection of ours.
    bool isAnswering(const std::string& host) const;
    bool isLeaving(const std::string& host) const;
    // Up and not leaving: new work may be given to it.
    bool isUsable(const std::string& host) const { return isUp(host) && !isLeaving(host); }
    // What the host last said that it can do; everything, if it never said.
    decisions::HostCapabilities getCapabilities(const std::string& host) const;
    // There and back, smoothed; a guess before the first answer.
    double getRoundTripMs(const std::string& host) const;
    // What the host last said of its connections to a member.
    std::optional<peer::Load> getLoad(const std::string& host, const std::string& member) const;
    // Whether the host said lately that it has not heard of the member: one without the store does not know new ones.
    bool lacksMember(const std::string& host, const std::string& member) const;
    std::vector<std::string> getAnsweringHosts() const;
    decisions::HostReachability getReachability() const;
    // Goes up whenever another host may have become usable or unusable.
    uint64_t getVersion() const { return m_version; }
    // What partners told this host, for one that it relays to.
    void writePartnerReports(peer::Pong& wire, bool withLoads) const;

    // Each order ends with one call of `done`. Returns the number of its transaction on the link for later orders.
    void sendOrder(const std::string& host, const TargetAddress& target, const Order& order, OrderDone done);
    void endTransaction(const std::string& host, uint64_t transaction);
    uint64_t takeTransactionNumber() { return ++m_lastTransaction; }
    void queryStatus(const std::string& host, const TargetAddress& target, std::function<void(const StatusReport&)> done);
    // Asks what members have changed since that revision; the answer comes to PeerService::onMembers, or never.
    void requestMembers(const std::string& host, uint64_t since);
    // False: there is no connection to the host, and none is on its way.
    bool send(const std::string& host, const peer::Frame& frame);
    void broadcastQuotaState(const peer::QuotaState& state) { m_inbound.broadcastQuotaState(state); }
    void sendAlarm(const std::string& host, const std::string& group, const std::string& member, const std::string& reason);
    void sendHoldWrites(const std::string& group, const std::string& member, milliseconds time);
    // Tells all partners that a member was made the primary.
    void announcePrimary(const std::string& group, const std::string& member, uint64_t term);
    // Pings, reconnects and finds silent links.
    void sweep(TimePoint now);
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
    std::map<std::string, links::RegisteredHost> m_hosts; // all that are known
    std::map<std::string, LinkPtr> m_links; // to some of them
    std::unordered_map<std::string, Loads> m_reportedLoads; // of hosts that relays told about
    std::set<std::string> m_unusableHosts; // as all relays say that answer
    uint64_t m_version { 0 };
    uint64_t m_lastTransaction { 0 };
};

}
