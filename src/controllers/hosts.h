// Hosts controller: which hosts are alive, by exchange with a fixed number of partners a second. The same exchange
// carries digests of the records, and bodies only where a digest differed.
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
    // Called on the controller's strand when hosts came, went or changed state.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }
    void onGroupNews(std::function<void(const peer::GroupNews&)> callback) { m_onGroupNews = std::move(callback); }

    // Takes in the host list of a new configuration, then calls `then`. A host that has just started would otherwise know
    // groups before it knows other hosts, and take itself for the only home of all of them.
    void applyHostList(std::function<void()> then);

    // Whether this host is one of the watchers of its data centre.
    bool isWatcher() const;
    // Tells some peers at once that we are leaving; the rest hear it from them.
    boost::asio::awaitable<void> announceLeaving();
    // Tells the named hosts at once about a group's new primary.
    void sendGroupNews(const std::vector<std::string>& hosts, const peer::GroupNews& news);
    // Passes new records on at once to a few partners; they do the same, so that a change spreads in a few hops.
    void pushRecords(std::vector<peer::RecordBody> bodies);
    // A relay to this host got no answer: it is asked at once whether it lives.
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
    unsigned m_hostMismatches { 0 }; // exchanges in a row whose host digests differed
    base::TimerSubscription m_rounds;
    std::shared_ptr<const Configuration> m_appliedConfiguration; // whose host list was taken in last
    uint64_t m_round { 0 };
    std::set<std::string> m_hostsBeingChecked; // hosts that checkHost() is asking now
};

}
