// Gossip membership: hosts exchange their state with a fixed number of partners per interval. The exchanges also carry
// digests of the records, and record bodies where the digests differ.
#pragma once
#include "base/snapshot.h"
#include "controllers/configuration.h"
#include "controllers/node.h"
#include "decisions/membership.h"
#include <boost/asio/strand.hpp>
#include <functional>
#include <vector>

namespace alderward::controllers {

class HostsController {
public:
    HostsController(Node& node, ConfigurationController& configuration, uint64_t incarnation);

    void start();
    const base::Snapshot<decisions::Membership>& getSnapshot() const { return m_snapshot; }
    // Called on the controller's strand when hosts were added or changed their state.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }
    void onGroupNews(std::function<void(const peer::GroupNews&)> callback) { m_onGroupNews = std::move(callback); }

    // Applies the host list of a new configuration, then calls `then`. In the reverse order, a host that has just started would
    // know groups but no other hosts, and consider itself the only home of each group.
    void applyHostList(std::function<void()> then);

    // Whether this host watches the platform for its data centre.
    bool isWatcher() const;
    // Notifies some peers immediately that this host is leaving. They notify the others.
    boost::asio::awaitable<void> announceLeaving();
    // Notifies these hosts immediately of a group's new primary.
    void sendGroupNews(const std::vector<std::string>& hosts, const peer::GroupNews& news);
    // Sends new records immediately to a few partners, which do the same.
    void pushRecords(std::vector<peer::RecordBody> bodies);
    // Starts an exchange with this host outside the regular rounds, e.g. after a relay to it failed or was declined.
    void exchangeNow(const std::string& name);
    // Any thread.
    boost::asio::awaitable<peer::ExchangeReply> handleExchange(peer::ExchangeRequest request);

private:
    void checkStrand() const;
    boost::asio::awaitable<peer::ExchangeReply> answerExchange(peer::ExchangeRequest request);
    boost::asio::awaitable<void> sendLeaving();
    void startRound();
    void applyPlatformHosts();
    boost::asio::awaitable<void> exchangeWith(std::string name);
    boost::asio::awaitable<void> probeIndirectly(std::string name);
    peer::ExchangeRequest makeRequest();
    void addBuckets(auto& message) const;
    void applyReply(const peer::ExchangeReply& reply, const std::string& from);
    boost::asio::awaitable<void> synchronise(std::string name);
    void applyUpdates(const std::vector<decisions::HostInfo>& updates, const std::string& from);
    void publish(const std::vector<std::string>& changed, const std::string& cause);
    boost::asio::awaitable<links::LinkResult<peer::ExchangeReply>> send(std::string name, peer::ExchangeRequest request, base::milliseconds limit);

    Node& m_node;
    ConfigurationController& m_configuration;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    decisions::Membership m_membership;
    decisions::MembershipTimings m_timings;
    base::Snapshot<decisions::Membership> m_snapshot;
    std::function<void()> m_onChange;
    std::function<void(const peer::GroupNews&)> m_onGroupNews;
    unsigned m_hostMismatches { 0 }; // consecutive exchanges whose host digests differed
    base::TimerSubscription m_rounds;
    std::shared_ptr<const Configuration> m_appliedConfiguration; // whose host list was applied last
    uint64_t m_round { 0 };
    std::set<std::string> m_pendingExchanges; // hosts with an exchangeNow() in progress
};

}
