// Hosts that hear of members through a few relays of their data centre. A floor must stay fresh whatever becomes of a relay: 1.5 s old at most, or reads
// have no place but the primary.
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

constexpr unsigned kHosts = 21; // seven a data centre: the least that relay
constexpr double kFreshSeconds = 1.5; // as the bounded route of the rig allows
constexpr milliseconds kReplaceLimit { 4000 }; // silence is noticed after 0.7 s; then others are connected to, on a busy machine

RigShape makeShape()
{
    RigShape shape;
    shape.hosts = kHosts;
    return shape;
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

// The relays that a host named last, by number.
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

bool isIn(const std::vector<unsigned>& hosts, unsigned host) { return std::ranges::find(hosts, host) != hosts.end(); }

std::vector<unsigned> getOthersOfDataCentre(const std::vector<unsigned>& relays)
{
    std::vector<unsigned> hosts;
    for (unsigned i = 0; i < kHosts; i += 3) { // of the first data centre
        if (!isIn(relays, i))
            hosts.push_back(i);
    }
    return hosts;
}

bool waitFresh(GatewayRig& rig, const std::vector<unsigned>& hosts)
{
    auto until = Clock::now() + kReplaceLimit;
    while (Clock::now() < until) {
        if (std::ranges::all_of(hosts, [&](unsigned it) { return getFloorAge(rig, it) < kFreshSeconds; }))
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

// Floors stay as young as reads need them for a while: they come all the time, not once.
bool staysFresh(GatewayRig& rig, const std::vector<unsigned>& hosts)
{
    auto until = Clock::now() + milliseconds(1500);
    while (Clock::now() < until) {
        for (auto it : hosts) {
            if (getFloorAge(rig, it) >= kFreshSeconds)
                return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

}

BOOST_AUTO_TEST_SUITE(relays)

BOOST_AUTO_TEST_CASE(hosts_agree_on_two_relays_a_data_centre_and_hear_floors_through_them)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
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
    BOOST_TEST(waitFresh(rig, all));
    BOOST_TEST(staysFresh(rig, all));
}

BOOST_AUTO_TEST_CASE(relays_that_freeze_or_die_are_replaced_before_floors_are_too_old_for_long)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    auto relays = findRelays(rig, 0);
    auto others = getOthersOfDataCentre(relays);
    BOOST_REQUIRE(others.size() == 5u);
    BOOST_REQUIRE(waitFresh(rig, others));
    rig.getHost(relays[0]).signal(SIGSTOP);
    rig.getHost(relays[1]).kill();
    std::this_thread::sleep_for(milliseconds(1000));
    BOOST_TEST(waitFresh(rig, others));
    BOOST_TEST(staysFresh(rig, others));
    for (auto it : others) {
        auto now = findRelays(rig, it);
        BOOST_TEST(now.size() == 2u);
        BOOST_TEST(!isIn(now, relays[0]));
        BOOST_TEST(!isIn(now, relays[1]));
        BOOST_TEST(LineCaller(rig.getCallerAddress(it), "db0-bounded").ask("READ x").isOk());
    }
    rig.getHost(relays[0]).signal(SIGCONT);
    BOOST_TEST(waitUntil(kReplaceLimit, [&] { return isIn(findRelays(rig, others[0]), relays[0]); }));
    BOOST_TEST(staysFresh(rig, others));
}

// Each change returned the watch of each host: 210 in ten changes; two a data centre now.
BOOST_AUTO_TEST_CASE(a_change_in_the_store_reaches_all_hosts_and_is_asked_for_by_a_few)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    std::this_thread::sleep_for(milliseconds(3000)); // hosts that came ask no more
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

// The primary's data centre is cut off from another one; hosts of the third reach both. 1.2 s on a quiet machine: the time in which silence is noticed.
BOOST_AUTO_TEST_CASE(a_host_that_is_cut_off_from_a_data_centre_goes_through_another)
{
    auto shape = makeShape();
    shape.hasProxies = true;
    GatewayRig rig(shape);
    rig.beginHosts();
    BOOST_REQUIRE(LineCaller(rig.getCallerAddress(1), "db0-primary").ask("WRITE x 1").isOk());
    rig.call([&] {
        for (unsigned i = 0; i < kHosts; i += 3)
            rig.getProxies()[3 * i + 2]->faults = { .dropsUpstream = true, .dropsDownstream = true };
    });
    auto began = Clock::now();
    auto passed = [&] { return std::chrono::duration_cast<milliseconds>(Clock::now() - began); };
    bool isServed = false;
    while (!isServed && passed() < milliseconds(6000))
        isServed = LineCaller(rig.getCallerAddress(1), "db0-primary").ask("READ x").isOk();
    BOOST_TEST_MESSAGE("served again after " << passed().count() << " ms");
    BOOST_TEST(isServed);
    BOOST_TEST(passed().count() < 3000);
}

// Both relays can lose the store and go on answering: others hear of changes there no more from them.
BOOST_AUTO_TEST_CASE(relays_that_lose_the_store_leave_the_task_to_others)
{
    auto shape = makeShape();
    shape.hasProxies = true;
    GatewayRig rig(shape);
    rig.beginHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    auto relays = findRelays(rig, 0);
    auto others = getOthersOfDataCentre(relays);
    for (auto it : relays)
        rig.setStoreCut(it, true);
    rig.configure(2);
    for (auto it : others)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return rig.getMetrics(it).find("alderward_configuration_version 2") != std::string::npos; }), "host " << it);
    BOOST_TEST(waitUntil(milliseconds(8000), [&] {
        auto now = findRelays(rig, others[0]);
        return now.size() == 2 && !isIn(now, relays[0]) && !isIn(now, relays[1]);
    }));
    BOOST_TEST(waitFresh(rig, others));
}

// While the store turns every call away, hosts that have relays leave it to them to look for its return; each host of its own made two calls a second.
BOOST_AUTO_TEST_CASE(a_store_that_is_gone_for_all_is_looked_for_by_relays)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
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

// Among 74 hosts, one lost the store for a moment while the relays of its data centre were cut off from it for longer. It took the store for gone for
// all and waited 6.7 s, while callers were refused a database that a newer configuration names. It knew of that version all the while: `configuration-behind`
// stands in its log 5 s before `configuration`. Somebody had read the store.
BOOST_AUTO_TEST_CASE(a_host_that_knows_of_a_newer_configuration_does_not_take_the_store_for_gone)
{
    auto shape = makeShape();
    shape.hasProxies = true;
    GatewayRig rig(shape);
    rig.beginHosts();
    BOOST_REQUIRE(waitUntil(milliseconds(5000), [&] { return findRelays(rig, 0).size() == 2; }));
    std::this_thread::sleep_for(milliseconds(3000));
    auto others = getOthersOfDataCentre(findRelays(rig, 0));
    for (unsigned i = 0; i < kHosts; i += 3)
        rig.setStoreCut(i, true);
    auto hasLost = [&](unsigned host) { return rig.getLog(host).find("\"event\":\"store-lost\"") != std::string::npos; };
    BOOST_REQUIRE(waitUntil(milliseconds(8000), [&] { return std::ranges::all_of(others, hasLost); }));
    std::this_thread::sleep_for(milliseconds(1500)); // they have heard that their relays have lost it, too
    for (auto it : others)
        rig.setStoreCut(it, false);
    rig.configure(2);
    auto hasNewest = [&](unsigned host) { return rig.getMetrics(host).find("alderward_configuration_version 2") != std::string::npos; };
    BOOST_TEST(waitUntil(milliseconds(5000), [&] { return std::ranges::all_of(others, hasNewest); })); // the strictest site with relays allows 5,000 ms
}

BOOST_AUTO_TEST_SUITE_END()
