// Writes with a request key run at most once, whichever process fails.
#include "harness/harness.h"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace harness;

namespace {

std::string readAppendedValue(Cluster& cluster, size_t host, const std::string& key)
{
    return getResult(Caller(cluster.getCallerAddress(host)).read("orders", "GET " + key));
}

Answer settle(Cluster& cluster, size_t host, const std::string& requestKey)
{
    return Caller(cluster.getCallerAddress(host)).send("/v1/settle", { { "group", "orders" }, { "requestKey", requestKey } });
}

}

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(repeated_key_through_another_host_replays_the_first_answer)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    auto first = Caller(cluster.getCallerAddress(0)).write("orders", "APPEND sanctions x", "sanction-1");
    auto second = Caller(cluster.getCallerAddress(1)).write("orders", "APPEND sanctions x", "sanction-1");
    BOOST_TEST(first.status == 200u);
    BOOST_TEST(second.status == 200u);
    BOOST_TEST(getResult(first) == getResult(second));
    BOOST_TEST(second.body.contains("replayed"));
    BOOST_TEST(readAppendedValue(cluster, 2, "sanctions") == "x");
}

BOOST_AUTO_TEST_CASE(write_with_a_lost_answer_is_unknown_and_resolved_by_its_key)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    cluster.setMember("orders-a", { { "loseAnswers", 1 } });
    auto lost = Caller(cluster.getCallerAddress(0)).write("orders", "APPEND sanctions x", "s1", 800);
    BOOST_TEST(getErrorKind(lost) == "outcome-unknown");
    BOOST_TEST(getRanField(lost) == "unknown");
    auto again = Caller(cluster.getCallerAddress(1)).write("orders", "APPEND sanctions x", "s1");
    BOOST_TEST(again.status == 200u);
    BOOST_TEST(readAppendedValue(cluster, 0, "sanctions") == "x");
    auto settled = settle(cluster, 2, "s1");
    BOOST_TEST(settled.status == 200u);
    BOOST_TEST(settled.body.at("ran").get_string() == "yes");
}

BOOST_AUTO_TEST_CASE(key_settled_as_not_run_rejects_a_late_write)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    auto settled = settle(cluster, 0, "late");
    BOOST_TEST(settled.status == 200u, json::serialize(settled.body));
    BOOST_TEST(settled.body.at("ran").get_string() == "no");
    auto late = Caller(cluster.getCallerAddress(1)).write("orders", "APPEND sanctions x", "late");
    BOOST_TEST(getErrorKind(late) == "key-closed");
    BOOST_TEST(getRanField(late) == "no");
    BOOST_TEST(readAppendedValue(cluster, 2, "sanctions") == "");
    // The key stays closed after a change of primary.
    cluster.getMember("orders-a").kill();
    auto after = Caller(cluster.getCallerAddress(1)).write("orders", "APPEND sanctions x", "late");
    BOOST_TEST(getErrorKind(after) == "key-closed", json::serialize(after.body));
}

// Kills or freezes a host at different points of a write; the caller retries the same key on another host.
static void failHostsDuringWrites(int signalNumber)
{
    auto options = makeSmallOptions();
    options.hosts = 7;
    Cluster cluster(options);
    cluster.startAll();
    cluster.setMember("orders-a", { { "serviceMs", 6 } });
    std::string expected;
    auto homes = cluster.getHomes("orders");
    for (int i = 0; i < 6; ++i) {
        auto victim = homes.at(static_cast<size_t>(i) % homes.size());
        auto key = "step-" + std::to_string(i);
        std::thread faultThread([&] {
            std::this_thread::sleep_for(milliseconds(2 * i + 1));
            cluster.getHost(victim).signal(signalNumber);
        });
        Caller(cluster.getCallerAddress(victim)).write("orders", "APPEND sanctions " + std::to_string(i), key, 700);
        faultThread.join();
        size_t other = (victim + 1) % 7;
        auto again = Caller(cluster.getCallerAddress(other)).write("orders", "APPEND sanctions " + std::to_string(i), key, 5000);
        for (int n = 0; again.status != 200 && n < 5; ++n)
            again = Caller(cluster.getCallerAddress(other)).write("orders", "APPEND sanctions " + std::to_string(i), key, 5000);
        BOOST_TEST(again.status == 200u, json::serialize(again.body));
        expected += std::to_string(i);
        BOOST_TEST(readAppendedValue(cluster, other, "sanctions") == expected);
        if (signalNumber == SIGSTOP)
            cluster.getHost(victim).signal(SIGCONT);
        else {
            cluster.getHost(victim).kill();
            cluster.startHost(victim);
        }
        BOOST_TEST(waitUntil(milliseconds(8000), [&] { return !cluster.getPrimary("orders", victim).empty() || Client(cluster.getOperatorAddress(victim)).get("/healthz", milliseconds(1000)).status == 200; }));
    }
    // Statements that the frozen hosts still held must not run again.
    BOOST_TEST(readAppendedValue(cluster, 0, "sanctions") == expected);
    BOOST_TEST(cluster.sumMetric("invariant_violations") == 0u);
}

BOOST_AUTO_TEST_CASE(write_runs_once_when_a_host_is_killed)
{
    failHostsDuringWrites(SIGKILL);
}

BOOST_AUTO_TEST_CASE(write_runs_once_when_a_host_is_frozen)
{
    failHostsDuringWrites(SIGSTOP);
}

BOOST_AUTO_TEST_SUITE_END()
