// The other hosts: connections to them, whether they answer, orders sent to them, and what they ask of this host.
//
// COMMON MISTAKES
//   - Taking a lost connection for "not run". An order that was sent may run as long as its host lives.
#pragma once
#include "decisions/succession.h"
#include "gateway/target_pool.h"
#include "gateway/world.h"
#include "generated/gateway.pb.h"
#include <boost/asio/io_context.hpp>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace alderward::gateway {

// What a member answered when it was asked on behalf of a promotion.
struct Finding {
    bool wasReached { false };
    links::TargetStatus status {};
};

// What other hosts ask of this one.
struct PeerService {
    std::function<std::shared_ptr<TargetPool>(const std::string& member)> findPool; // empty for a member that is not known
    std::function<bool(const TargetAddress&)> isTroubled; // this host cannot reach the target
    std::function<void(const TargetAddress&, std::function<void(const Finding&)>)> inquire;
    std::function<void(const std::string& group, const std::string& member, const std::string& reason)> onAlarm;
    std::function<void(const std::string& group, const std::string& member, milliseconds time)> onHoldWrites;
    std::function<void(const std::string& group, const std::string& member, uint64_t term)> onLead;
    // Fills in what this host knows and tells with each exchange.
    std::function<void(peer::Ping&)> fillPing;
    std::function<void(peer::Pong&)> fillPong;
    // Takes what another host tells. `sentAt` is before the time at which it was told.
    std::function<void(const std::string& host, const peer::Ping&)> onPing;
    std::function<void(const std::string& host, const peer::Pong&, TimePoint sentAt)> onPong;
    std::function<void(const std::string& host, bool isUp, const std::string& reason)> onLink;
};

class Peers {
public:
    Peers(boost::asio::io_context& context, std::string name, PeerService service);
    ~Peers();

    tl::expected<void, std::string> listen(const std::string& address);
    // The hosts that there are. A connection to one that is gone or has another address ends.
    void setHosts(const std::vector<links::ListedHost>& hosts);
    // The hosts that are pinged all the time; to others a connection is made when something is sent.
    void setPartners(const std::set<std::string>& names);

    // False after a connection failed or fell silent, until the host answers again. A host without a connection counts as up.
    bool isUp(const std::string& host) const;
    // Whether the host answered lately on a connection of ours.
    bool isAnswering(const std::string& host) const;
    bool isLeaving(const std::string& host) const;
    // Up and not leaving: new work may be given to it.
    bool isUsable(const std::string& host) const { return isUp(host) && !isLeaving(host); }
    // There and back, smoothed; a guess before the first answer.
    double getDistanceMs(const std::string& host) const;
    // What the host last said of its connections to a member.
    std::optional<peer::Load> getLoad(const std::string& host, const std::string& member) const;
    std::vector<std::string> getUpHosts() const;
    decisions::HostsInReach countInReach() const;

    // Each order ends with one call of `done`. Returns the number of its transaction on the link for later orders.
    void sendOrder(const std::string& host, const TargetAddress& target, const Order& order, OrderDone done);
    void endTransaction(const std::string& host, uint64_t transaction);
    uint64_t takeTransactionNumber() { return ++m_lastTransaction; }
    void inquire(const std::string& host, const TargetAddress& target, std::function<void(const Finding&)> done);
    void sendAlarm(const std::string& host, const std::string& group, const std::string& member, const std::string& reason);
    void sendHoldWrites(const std::string& group, const std::string& member, milliseconds time);
    // Tells all partners that a member was made the primary.
    void sendLead(const std::string& group, const std::string& member, uint64_t term);
    // Pings, reconnects and finds silent links.
    void sweep(TimePoint now);
    void stop();

private:
    struct Link;
    struct Guest;
    using LinkPtr = std::shared_ptr<Link>;
    using GuestPtr = std::shared_ptr<Guest>;

    LinkPtr findUp(const std::string& host);
    LinkPtr makeLink(const std::string& host);
    void connect(const LinkPtr& link);
    void takeFromHost(const LinkPtr& link, std::string_view message);
    void sendToAll(const peer::Frame& frame);
    void takePong(const LinkPtr& link, const peer::Pong& pong);
    void loseLink(const LinkPtr& link, const std::string& reason);
    void accept();
    void takeFromGuest(const GuestPtr& guest, std::string_view message);
    void serveOrder(const GuestPtr& guest, const peer::Order& order);
    void loseGuest(const GuestPtr& guest);

    boost::asio::io_context& m_context;
    std::string m_name;
    PeerService m_service;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, links::ListedHost> m_hosts; // all that are known
    std::map<std::string, LinkPtr> m_links; // to some of them
    std::unordered_set<GuestPtr> m_guests;
    uint64_t m_lastTransaction { 0 };
};

}
