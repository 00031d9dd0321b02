// Membership and relays of hosts: restarts, crashed homes, members at their connection limit.
#include "harness/harness.h"
#include "links/peer.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace harness;
using namespace alderward;
namespace asio = boost::asio;

namespace {

ClusterOptions makeSevenHosts()
{
    auto options = makeSmallOptions();
    options.hosts = 7;
    return options;
}

size_t findNonHome(Cluster& cluster)
{
    auto homes = cluster.getHomes("orders");
    size_t host = 0;
    while (std::ranges::find(homes, host) != homes.end())
        ++host;
    return host;
}

// A peer that declines every relay, as a host does that does not consider itself a home.
class DecliningPeer {
public:
    explicit DecliningPeer(const std::string& address)
        : m_client(links::makePeerClient(m_blockedPeers))
    {
        links::PeerHandlers handlers;
        handlers.exchange = [this, address](peer::ExchangeRequest) -> asio::awaitable<peer::ExchangeReply> {
            // A newer incarnation in each reply refutes suspicions that a slow test machine may cause.
            peer::ExchangeReply reply;
            auto* self = reply.add_hosts();
            self->set_name("h9");
            self->set_incarnation(++m_incarnation);
            self->set_data_centre("vadodara");
            self->set_peer_address(address);
            co_return reply;
        };
        handlers.relay = [this](peer::RelayRequest) -> asio::awaitable<peer::RelayReply> {
            ++m_declined;
            peer::RelayReply reply;
            reply.set_status(503);
            reply.set_not_home(true);
            co_return reply;
        };
        m_server = links::startPeerServer(m_contexts, address, std::move(handlers), m_blockedPeers).value();
        m_thread = std::thread([this] { m_contexts.run(); });
    }
    DecliningPeer(const DecliningPeer&) = delete;
    ~DecliningPeer()
    {
        m_server->stop();
        m_contexts.stop();
        m_thread.join();
    }

    int getDeclined() const { return m_declined; }

    peer::RelayReply relay(const std::string& name, const std::string& address, const std::string& body)
    {
        peer::RelayRequest request;
        request.set_from("h9");
        request.set_operation("/v1/statement");
        request.set_body(body);
        request.set_remaining_ms(3000);
        request.set_hops(1);
        auto reply = asio::co_spawn(m_contexts.getNext(), m_client->relay(name, address, std::move(request), milliseconds(3000)), asio::use_future);
        auto answer = reply.get();
        BOOST_REQUIRE_MESSAGE(answer.has_value(), (answer ? std::string() : answer.error().reason));
        return *answer;
    }

private:
    base::IoContextPool m_contexts { 1 };
    links::BlockedPeers m_blockedPeers;
    std::unique_ptr<links::PeerClient> m_client;
    std::unique_ptr<links::PeerServer> m_server;
    std::thread m_thread;
    std::atomic<int> m_declined { 0 };
    std::atomic<uint64_t> m_incarnation { 0 };
};

}

BOOST_AUTO_TEST_SUITE(hosts)

// Guards against relay loops between two hosts that each consider the other to be the home.
BOOST_AUTO_TEST_CASE(relay_to_a_host_that_is_no_home_is_declined_and_its_sender_tries_another_home)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    // The hosts listen only on 127.0.0.1, so their ports are free on 127.0.0.2.
    auto port = cluster.getPeerAddress(0).substr(cluster.getPeerAddress(0).rfind(':'));
    DecliningPeer peer("127.0.0.2" + port);
    cluster.registerHost("h9", { { "dataCentre", "vadodara" }, { "peerAddress", "127.0.0.2" + port } });
    cluster.applyRecord(makeSmallOptions().groups.front(), [](json::object& record) { record["hosts"] = json::array { "h9", "h1" }; });
    BOOST_TEST(waitUntil(milliseconds(5000), [&] { return cluster.getHomes("orders") == std::vector<size_t> { 0 }; }));

    auto body = json::serialize(json::object { { "group", "orders" }, { "kind", "write" }, { "statement", "SET a far" }, { "requestKey", "far" } });
    auto reply = peer.relay("h2", cluster.getPeerAddress(1), body);
    BOOST_TEST(reply.not_home());
    Caller caller(cluster.getCallerAddress(1));
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "");

    int n = 0;
    BOOST_TEST(waitUntil(milliseconds(5000), [&] {
        auto answer = caller.write("orders", "SET a near", "near" + std::to_string(++n));
        BOOST_TEST(answer.status == 200u, json::serialize(answer.body));
        return peer.getDeclined() > 0;
    }));
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "near");
}

// Exchanges arrive on gRPC threads and must be served on the strand that owns the membership.
BOOST_AUTO_TEST_CASE(concurrent_exchanges_access_the_membership_only_on_its_strand)
{
    Cluster cluster(makeSevenHosts());
    cluster.startAll();
    BOOST_TEST(waitUntil(milliseconds(10000), [&] { return cluster.sumMetric("exchanges") > 100; }));
    cluster.getHost(0).signal(SIGTERM); // leaving is announced by a separate code path
    BOOST_TEST(cluster.getHost(0).wait(milliseconds(20000)).value_or(-1) == 0);
    BOOST_TEST(cluster.sumMetric("invariant_violations") == 0u);
}

BOOST_AUTO_TEST_CASE(restarted_host_does_not_consider_itself_the_only_home)
{
    Cluster cluster(makeSevenHosts());
    cluster.startAll();
    auto host = findNonHome(cluster);
    cluster.getHost(host).kill();
    cluster.startHost(host);
    BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Client(cluster.getOperatorAddress(host)).get("/healthz").status == 200; }));
    BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Caller(cluster.getCallerAddress(host)).write("orders", "SET a 1", "k").status == 200; }));
    // A home would have probed the members and recorded the primary.
    BOOST_TEST(!cluster.hasEvent(host, "primary-seen", "orders"));
}

BOOST_AUTO_TEST_CASE(crashed_home_costs_a_caller_at_most_one_retryable_error)
{
    Cluster cluster(makeSevenHosts());
    cluster.startAll();
    auto host = findNonHome(cluster);
    Caller caller(cluster.getCallerAddress(host));
    int failures = 0;
    for (int i = 0; i < 300; ++i) {
        if (i == 50)
            cluster.getHost(cluster.getHomes("orders").front()).kill();
        auto answer = caller.write("orders", "APPEND log x", "k" + std::to_string(i));
        if (answer.status == 200)
            continue;
        ++failures;
        BOOST_TEST(answer.body.at("error").at("retryAfterMs").to_number<int>() > 0);
        BOOST_TEST(caller.write("orders", "APPEND log x", "k" + std::to_string(i)).status == 200u);
    }
    BOOST_TEST(failures <= 1);
    BOOST_TEST(getResult(caller.read("orders", "GET log")) == std::string(300, 'x'));
}

BOOST_AUTO_TEST_CASE(members_never_get_more_connections_than_they_accept)
{
    auto options = makeSevenHosts();
    options.groups.front().connections = 5;
    Cluster cluster(options);
    cluster.startAll();
    cluster.setMember("orders-a", { { "serviceMs", 3 } });
    // Homes are killed and restarted while callers write through every host.
    for (int round = 0; round < 3; ++round) {
        auto home = cluster.getHomes("orders").front();
        cluster.getHost(home).kill();
        for (size_t i = 0; i < 7; ++i) {
            if (i == home)
                continue;
            auto answer = Caller(cluster.getCallerAddress(i)).write("orders", "SET a b", "r" + std::to_string(round) + std::to_string(i));
            BOOST_TEST(answer.status == 200u, json::serialize(answer.body));
        }
        cluster.startHost(home);
        BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Client(cluster.getOperatorAddress(home)).get("/healthz").status == 200; }));
    }
    BOOST_TEST(cluster.getMemberStats("orders-a")["mostConnections"].to_number<int>() <= 5);
}

BOOST_AUTO_TEST_SUITE_END()
