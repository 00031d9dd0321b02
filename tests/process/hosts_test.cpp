// Hosts among themselves: restarts, homes that die, members without room.
#include "harness/harness.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace harness;

namespace {

Shape makeSeven()
{
    auto shape = getSmallShape();
    shape.hosts = 7;
    return shape;
}

size_t findNonHome(Cluster& cluster)
{
    auto homes = cluster.getHomes("orders");
    size_t host = 0;
    while (std::ranges::find(homes, host) != homes.end())
        ++host;
    return host;
}

}

BOOST_AUTO_TEST_SUITE(hosts)

BOOST_AUTO_TEST_CASE(restarted_host_does_not_take_itself_for_the_only_home)
{
    Cluster cluster(makeSeven());
    cluster.beginAll();
    auto host = findNonHome(cluster);
    cluster.getHost(host).kill();
    cluster.beginHost(host);
    BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Client(cluster.getOperatorAddress(host)).get("/healthz").status == 200; }));
    BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Caller(cluster.getCallerAddress(host)).write("orders", "SET a 1", "k").status == 200; }));
    // A home would have asked the members and seen the primary.
    BOOST_TEST(!cluster.hasEvent(host, "primary-seen", "orders"));
}

BOOST_AUTO_TEST_CASE(home_that_dies_costs_a_caller_at_most_one_answer_that_can_be_repeated)
{
    Cluster cluster(makeSeven());
    cluster.beginAll();
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

BOOST_AUTO_TEST_CASE(members_are_never_asked_for_more_connections_than_they_take)
{
    auto shape = makeSeven();
    shape.groups.front().connections = 5;
    Cluster cluster(shape);
    cluster.beginAll();
    cluster.setMember("orders-a", { { "serviceMs", 3 } });
    // Homes come and go while callers write through every host.
    for (int round = 0; round < 3; ++round) {
        auto home = cluster.getHomes("orders").front();
        cluster.getHost(home).kill();
        for (size_t i = 0; i < 7; ++i) {
            if (i == home)
                continue;
            auto answer = Caller(cluster.getCallerAddress(i)).write("orders", "SET a b", "r" + std::to_string(round) + std::to_string(i));
            BOOST_TEST(answer.status == 200u, json::serialize(answer.body));
        }
        cluster.beginHost(home);
        BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Client(cluster.getOperatorAddress(home)).get("/healthz").status == 200; }));
    }
    BOOST_TEST(cluster.getMemberStats("orders-a")["mostConnections"].to_number<int>() <= 5);
}

BOOST_AUTO_TEST_SUITE_END()
