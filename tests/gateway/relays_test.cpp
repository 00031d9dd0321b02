// Hosts that learn the state of members through relays in their data centre. Read floors must stay fresh when relays fail, or only the primary
// can serve bounded reads.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <sstream>

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned kHosts = 21; // seven in each data centre: the minimum for relays
constexpr double kMaxFloorAgeSeconds = 1.5; // staleness bound of the rig's bounded routes
constexpr milliseconds kReplacementTimeout { 4000 }; // for detecting a silent relay and connecting to another one

RigOptions makeOptions()
{
    RigOptions options;
    options.hosts = kHosts;
    return options;
}

double getFloorAge(GatewayRig& rig, unsigned host)
{
    std::istringstream lines(rig.getMetrics(host));
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("alderward_floor_age_seconds{"))
            return std::stod(line.substr(line.rfind(' ')));
    }
    return 1e9;
}

// The relays of a host, by number, from the last event in its log.
std::vector<unsigned> findRelays(GatewayRig& rig, unsigned host)
{
    std::vector<unsigned> relays;
    std::istringstream lines(rig.getLog(host));
    for (std::string line; std::getline(lines, line);) {
        if (line.find("\"event\":\"relays\"") == std::string::npos)
            continue;
        relays.clear();
        auto text = boost::json::parse(line).at("hosts").as_string();
        std::istringstream names { std::string(text) };
        for (std::string name; names >> name;)
            relays.push_back(static_cast<unsigned>(std::stoul(name.substr(1))));
    }
    return relays;
}

bool contains(const std::vector<unsigned>& hosts, unsigned host) { return std::ranges::find(hosts, host) != hosts.end(); }

std::vector<unsigned> getNonRelays(const std::vector<unsigned>& relays)
{
    std::vector<unsigned> hosts;
    for (unsigned i = 0; i < kHosts; i += 3) { // hosts of the first data centre
        if (!contains(relays, i))
            hosts.push_back(i);
    }
    return hosts;
}

bool waitUntilFresh(GatewayRig& rig, const std::vector<unsigned>& hosts)
{
    auto until = Clock::now() + kReplacementTimeout;
    while (Clock::now() < until) {
        if (std::ranges::all_of(hosts, [&](unsigned it) { return getFloorAge(rig, it) < kMaxFloorAgeSeconds; }))
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

// Checks that floors keep arriving, not just once.
bool staysFresh(GatewayRig& rig, const std::vector<unsigned>& hosts)
{
    auto until = Clock::now() + milliseconds(1500);
    while (Clock::now() < until) {
        for (auto it : hosts) {
            if (getFloorAge(rig, it) >= kMaxFloorAgeSeconds)
                return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

}

BOOST_AUTO_TEST_SUITE(relays)

BOOST_AUTO_TEST_CASE(hosts_agree_on_two_relays_per_data_centre_and_receive_floors_through_them)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    auto relays = std::vector<unsigned>();
    BOOST_TEST(waitUntil(milliseconds(5000), [&] {
        relays = findRelays(rig, 0);
        bool isAgreed = relays.size() == 2;
        for (unsigned i = 3; i < kHosts; i += 3)
            isAgreed = isAgreed && findRelays(rig, i) == relays;
        return isAgreed;
    }));
    std::vector<unsigned> all;
    for (unsigned i = 0; i < kHosts; ++i)
        all.push_back(i);
    BOOST_TEST(waitUntilFresh(rig, all));
    BOOST_TEST(staysFresh(rig, all));
}

BOOST_AUTO_TEST_CASE(frozen_or_killed_relays_are_replaced_and_floors_become_fresh_again)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    auto relays = findRelays(rig, 0);
    auto others = getNonRelays(relays);
    BOOST_REQUIRE(others.size() == 5u);
    BOOST_REQUIRE(waitUntilFresh(rig, others));
    rig.getHost(relays[0]).signal(SIGSTOP);
    rig.getHost(relays[1]).kill();
    std::this_thread::sleep_for(milliseconds(1000));
    BOOST_TEST(waitUntilFresh(rig, others));
    BOOST_TEST(staysFresh(rig, others));
    for (auto it : others) {
        auto now = findRelays(rig, it);
        BOOST_TEST(now.size() == 2u);
        BOOST_TEST(!contains(now, relays[0]));
        BOOST_TEST(!contains(now, relays[1]));
        BOOST_TEST(LineCaller(rig.getCallerAddress(it), "db0-bounded").ask("READ x").isOk());
    }
    rig.getHost(relays[0]).signal(SIGCONT);
    BOOST_TEST(waitUntil(kReplacementTimeout, [&] { return contains(findRelays(rig, others[0]), relays[0]); }));
    BOOST_TEST(staysFresh(rig, others));
}

// Guards against a watch of the store by every host: only relays watch, and other hosts learn of changes from them.
BOOST_AUTO_TEST_CASE(store_changes_reach_all_hosts_while_only_a_few_watch_the_store)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    std::this_thread::sleep_for(milliseconds(3000)); // until the hosts have finished starting
    auto before = rig.call([&] { return rig.getStore().getWatchCount(); });
    for (int i = 0; i < 10; ++i) {
        rig.call([&] { rig.getStore().put("other/key", std::to_string(i)); });
        std::this_thread::sleep_for(milliseconds(400));
    }
    auto watches = rig.call([&] { return rig.getStore().getWatchCount(); }) - before;
    BOOST_TEST(watches <= 100u);
    rig.configure(2);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(3000), [&] { return rig.getMetrics(i).find("alderward_configuration_version 2") != std::string::npos; }), "host " << i);
}

// The data centre of the primary and another one cannot reach each other; hosts of the third one reach both.
BOOST_AUTO_TEST_CASE(a_host_partitioned_from_the_primary_data_centre_uses_a_forwarder_in_a_third)
{
    auto options = makeOptions();
    options.hasProxies = true;
    GatewayRig rig(options);
    rig.startHosts();
    BOOST_REQUIRE(LineCaller(rig.getCallerAddress(1), "db0-primary").ask("WRITE x 1").isOk());
    rig.call([&] {
        for (unsigned i = 0; i < kHosts; i += 3)
            rig.getProxies()[3 * i + 2]->faults = { .dropsUpstream = true, .dropsDownstream = true };
    });
    auto began = Clock::now();
    auto elapsed = [&] { return std::chrono::duration_cast<milliseconds>(Clock::now() - began); };
    bool isServed = false;
    while (!isServed && elapsed() < milliseconds(6000))
        isServed = LineCaller(rig.getCallerAddress(1), "db0-primary").ask("READ x").isOk();
    BOOST_TEST_MESSAGE("served again after " << elapsed().count() << " ms");
    BOOST_TEST(isServed);
    BOOST_TEST(elapsed().count() < 3000);
}

// Relays that lose the store but still answer cannot pass on changes in it.
BOOST_AUTO_TEST_CASE(relays_that_lose_the_store_are_replaced)
{
    auto options = makeOptions();
    options.hasProxies = true;
    GatewayRig rig(options);
    rig.startHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    auto relays = findRelays(rig, 0);
    auto others = getNonRelays(relays);
    for (auto it : relays)
        rig.setStoreIsolated(it, true);
    rig.configure(2);
    for (auto it : others)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return rig.getMetrics(it).find("alderward_configuration_version 2") != std::string::npos; }), "host " << it);
    BOOST_TEST(waitUntil(milliseconds(8000), [&] {
        auto now = findRelays(rig, others[0]);
        return now.size() == 2 && !contains(now, relays[0]) && !contains(now, relays[1]);
    }));
    BOOST_TEST(waitUntilFresh(rig, others));
}

// Guards against retries by every host while the store refuses all calls: only relays retry.
BOOST_AUTO_TEST_CASE(only_relays_retry_a_store_that_refuses_all_hosts)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    std::this_thread::sleep_for(milliseconds(3000));
    auto before = rig.call([&] {
        rig.getStore().faults.status = 503;
        return rig.getStore().getCallCount();
    });
    std::this_thread::sleep_for(milliseconds(8000));
    auto calls = rig.call([&] {
        rig.getStore().faults.status = 0;
        return rig.getStore().getCallCount();
    }) - before;
    BOOST_TEST_MESSAGE("calls in 8 s: " << calls);
    BOOST_TEST(calls <= 190u);
    rig.configure(2);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return rig.getMetrics(i).find("alderward_configuration_version 2") != std::string::npos; }), "host " << i);
}

// Guards against a host that keeps backing off after it and its relays lost the store. A newer configuration version reported by another host
// shows that the store is available.
BOOST_AUTO_TEST_CASE(a_host_that_learns_of_a_newer_configuration_does_not_back_off_from_the_store)
{
    auto options = makeOptions();
    options.hasProxies = true;
    GatewayRig rig(options);
    rig.startHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    std::this_thread::sleep_for(milliseconds(3000));
    auto others = getNonRelays(findRelays(rig, 0));
    for (unsigned i = 0; i < kHosts; i += 3)
        rig.setStoreIsolated(i, true);
    auto hasLost = [&](unsigned host) { return rig.getLog(host).find("\"event\":\"store-lost\"") != std::string::npos; };
    BOOST_REQUIRE(waitUntil(milliseconds(8000), [&] { return std::ranges::all_of(others, hasLost); }));
    std::this_thread::sleep_for(milliseconds(1500)); // until they know that their relays have lost it, too
    for (auto it : others)
        rig.setStoreIsolated(it, false);
    rig.configure(2);
    auto hasNewest = [&](unsigned host) { return rig.getMetrics(host).find("alderward_configuration_version 2") != std::string::npos; };
    BOOST_TEST(waitUntil(milliseconds(5000), [&] { return std::ranges::all_of(others, hasNewest); })); // shortest limit that a deployment sets for a new configuration to be in force on all hosts
}

BOOST_AUTO_TEST_SUITE_END()
