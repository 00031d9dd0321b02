// Versions of the operators' configuration of which an item cannot be used as written (docs/design/0016-unusable-items.md). What they remove must end, what they
// add must be served, on every host, whatever way the version reached it.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <limits>
#include <unistd.h>

using namespace harness;
namespace json = boost::json;

namespace {

constexpr milliseconds kApplyLimit { 3000 }; // from the write of a version until it is in force everywhere

json::object makeRoute(const std::string& database, json::value priority = 1)
{
    return { { "Host", database }, { "RouteType", "primary" }, { "TimeoutMs", 1500 }, { "SloMs", 500 }, { "Priority", std::move(priority) }, { "Service", "g0" }, { "MaxStalenessMs", 0 } };
}

json::object makeAccount(const std::string& name, const std::string& key, double perSecond = 1000)
{
    return { { "Name", name }, { "ApiKeys", json::array { key } }, { "RatePerS", perSecond }, { "Burst", perSecond } };
}

// A version with the given databases, all served by group g0.
json::object makeVersion(uint64_t version, const std::vector<std::string>& databases)
{
    json::array routes;
    for (auto& it : databases)
        routes.push_back(makeRoute(it));
    json::array services { json::object { { "Name", "g0" }, { "MaxConns", 24 }, { "SyncReplicas", 0 } } };
    return { { "Version", version }, { "Routes", routes }, { "Services", services }, { "Limits", { { "TxIdleMs", 3000 } } } };
}

void put(GatewayRig& rig, const std::string& text)
{
    rig.call([&] { rig.getStore().put("op/config", text); });
}

void put(GatewayRig& rig, const json::object& configuration)
{
    put(rig, json::serialize(configuration));
}

bool isServed(GatewayRig& rig, unsigned host, const std::string& database, const std::string& key = "caller")
{
    return LineCaller(rig.getCallerAddress(host), database, key).ask("WRITE x 1").isOk();
}

bool isUnknown(GatewayRig& rig, unsigned host, const std::string& database)
{
    return LineCaller(rig.getCallerAddress(host), database).getHandshakeAnswer().hasCode("NODB");
}

bool hasMetric(GatewayRig& rig, unsigned host, const std::string& line)
{
    return rig.getMetrics(host).find(line + "\n") != std::string::npos;
}

// Runs alderctl configuration on all hosts and returns its exit code and output.
std::pair<int, std::string> showConfiguration(GatewayRig& rig)
{
    auto log = fmt::format("/tmp/alderctl-configuration-{}.log", getpid());
    Process process({ std::string(std::getenv("ALDERWARD_BINARIES")) + "/alderctl", "configuration", rig.getMetricsAddress(0), rig.getMetricsAddress(1), rig.getMetricsAddress(2) }, log);
    auto code = process.wait(milliseconds(10000)).value_or(-1);
    std::ifstream file(log);
    std::string output(std::istreambuf_iterator<char>(file), {});
    unlink(log.c_str());
    return { code, output };
}

}

BOOST_AUTO_TEST_SUITE(configuration)

// Guards against a limit that only this program knows of keeping a whole version out of force.
BOOST_AUTO_TEST_CASE(a_version_with_a_large_priority_is_in_force_everywhere)
{
    GatewayRig rig;
    rig.startHosts();
    put(rig, makeVersion(10, { "kept", "old" }));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_REQUIRE(rig.waitUntilConfigured(i, 10));
    auto next = makeVersion(11, { "kept" });
    next["Routes"].as_array().push_back(makeRoute("new", 1500));
    put(rig, next);
    for (unsigned i = 0; i < 3; ++i) {
        BOOST_TEST(rig.waitUntilConfigured(i, 11, kApplyLimit));
        BOOST_TEST(isServed(rig, i, "new"));
        BOOST_TEST(isServed(rig, i, "kept"));
        BOOST_TEST(isUnknown(rig, i, "old"));
        BOOST_TEST(hasMetric(rig, i, "alderward_configuration_problems{use=\"left-out\"} 0"));
    }
    BOOST_TEST(showConfiguration(rig).first == 0);
}

// Guards against one odd item keeping a removed route, a removed key or a lowered quota in place, and against a route being served by its older reading.
BOOST_AUTO_TEST_CASE(what_a_version_removes_ends_although_another_item_cannot_be_read)
{
    GatewayRig rig;
    rig.startHosts();
    const std::vector<std::pair<const char*, std::function<void(json::object&)>>> oddities {
        { "a route of no kind", [](json::object& it) { it["Routes"].as_array()[0].as_object()["RouteType"] = "primry"; } },
        { "a route of no group", [](json::object& it) { it["Routes"].as_array()[0].as_object()["Service"] = 7; } },
        { "an element that is no route", [](json::object& it) { it["Routes"].as_array()[0] = nullptr; } },
        { "two routes that differ", [](json::object& it) { it["Routes"].as_array().push_back(makeRoute("odd", 7)); } },
        { "a service without a name", [](json::object& it) { it["Services"].as_array().push_back(json::object { { "MaxConns", -1 } }); } },
        { "services that are no list", [](json::object& it) { it["Services"] = "g0"; } },
        { "limits that are no object", [](json::object& it) { it["Limits"] = json::array { 1 }; } },
        { "an account without a name", [](json::object& it) { it["Tenants"].as_array().push_back(json::object { { "ApiKeys", json::array { "taken" } } }); } },
        { "a quota that is no number", [](json::object& it) { it["Tenants"].as_array().push_back(json::object { { "Name", "other" }, { "RatePerS", "fast" } }); } },
    };
    uint64_t version = 10;
    for (auto& [name, makeOdd] : oddities) {
        auto before = makeVersion(version, { "odd", "kept", "old" });
        before["Tenants"] = json::array { makeAccount("mill", "key-mill"), makeAccount("shop", "taken") };
        put(rig, before);
        for (unsigned i = 0; i < 3; ++i) {
            BOOST_REQUIRE(rig.waitUntilConfigured(i, version, kApplyLimit));
            BOOST_TEST(isServed(rig, i, "old", "taken"), name);
        }
        auto next = makeVersion(version + 1, { "odd", "kept" });
        next["Tenants"] = json::array { makeAccount("mill", "key-mill") };
        makeOdd(next);
        put(rig, next);
        for (unsigned i = 0; i < 3; ++i) {
            BOOST_TEST(rig.waitUntilConfigured(i, version + 1, kApplyLimit), name);
            BOOST_TEST(isServed(rig, i, "kept", "key-mill"), name);
            BOOST_TEST(!isServed(rig, i, "kept", "taken"), name);
            BOOST_TEST(!isServed(rig, i, "old", "key-mill"), name);
            BOOST_TEST(!hasMetric(rig, i, "alderward_configuration_problems{use=\"left-out\"} 0") + !hasMetric(rig, i, "alderward_configuration_problems{use=\"restricted\"} 0") > 0, name);
        }
        version += 2;
    }
    auto [code, output] = showConfiguration(rig);
    BOOST_TEST(code == 4);
    BOOST_TEST(output.find("account other, RatePerS: is not a number from 0 up (restricted)") != std::string::npos, output);
    BOOST_TEST(rig.countEvents("configuration-problem") >= 3 * oddities.size());
    BOOST_TEST(rig.getLog(0).find("taken") == std::string::npos); // no key in the log
}

// Guards against a quota that cannot be read becoming unlimited.
BOOST_AUTO_TEST_CASE(a_quota_that_cannot_be_read_is_closed)
{
    RigOptions options;
    options.accounts = { { "mill", { "key-mill" } }, { "shop", { "key-shop" } } };
    GatewayRig rig(options);
    rig.startHosts();
    auto next = makeVersion(10, { "db0-primary" });
    next["Tenants"] = json::array { makeAccount("mill", "key-mill"), makeAccount("shop", "key-shop") };
    next["Tenants"].as_array()[0].as_object()["RatePerS"] = "many";
    next["Tenants"].as_array()[0].as_object()["Burst"] = json::array();
    put(rig, next);
    for (unsigned i = 0; i < 3; ++i)
        BOOST_REQUIRE(rig.waitUntilConfigured(i, 10, kApplyLimit));
    constexpr unsigned kOperations = 400;
    constexpr unsigned kSlack = 20 + 20 + 3; // tolerance of the rig's quota rule in two windows, and one operation at each host
    unsigned served = 0;
    LineCaller mill(rig.getCallerAddress(0), "db0-primary", "key-mill");
    for (unsigned i = 0; i < kOperations; ++i)
        served += mill.ask("READ a").isOk();
    BOOST_TEST(served <= kSlack);
    BOOST_TEST(isServed(rig, 0, "db0-primary", "key-shop"));
}

// Guards against hosts that read the store again and again because another one, of a later release, has in force what they refuse.
BOOST_AUTO_TEST_CASE(a_version_that_only_another_host_can_read_is_read_once)
{
    RigOptions options;
    options.hosts = 1;
    GatewayRig rig(options);
    rig.startHosts();
    put(rig, R"({"Version":20,"Routes":{}})");
    BOOST_REQUIRE(waitUntil(kApplyLimit, [&] { return rig.countEvents("configuration-refused") > 0; }));
    for (int i = 0; i < 20; ++i) {
        rig.announceConfiguration(0, 20);
        std::this_thread::sleep_for(milliseconds(50));
    }
    BOOST_TEST(rig.countEvents("configuration-behind") == 1u);
    rig.announceConfiguration(0, 21); // another one is worth another look
    BOOST_TEST(waitUntil(milliseconds(1000), [&] { return rig.countEvents("configuration-behind") == 2; }));
    put(rig, makeVersion(22, { "kept" }));
    BOOST_TEST(rig.waitUntilConfigured(0, 22, kApplyLimit));
}

// Guards against a refused document that nobody notices.
BOOST_AUTO_TEST_CASE(a_document_that_cannot_be_read_keeps_the_version_before_and_is_told_until_it_is_mended)
{
    GatewayRig rig;
    rig.startHosts();
    put(rig, makeVersion(10, { "kept" }));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_REQUIRE(rig.waitUntilConfigured(i, 10, kApplyLimit));
    auto isRefused = [&](unsigned host) { return !hasMetric(rig, host, "alderward_configuration_refused_seconds 0"); };
    for (auto* text : { "no JSON", R"({"Version":"11","Routes":[]})", R"({"Version":11,"Routes":{}})", "" }) {
        put(rig, text);
        for (unsigned i = 0; i < 3; ++i) {
            BOOST_TEST(waitUntil(kApplyLimit, [&] { return isRefused(i); }), text);
            BOOST_TEST(isServed(rig, i, "kept"));
            BOOST_TEST(rig.isReady(i));
        }
    }
    auto [code, output] = showConfiguration(rig);
    BOOST_TEST(code == 4);
    BOOST_TEST(output.find("is refused as a whole") != std::string::npos, output);
    put(rig, makeVersion(12, { "mended" }));
    for (unsigned i = 0; i < 3; ++i) {
        BOOST_TEST(rig.waitUntilConfigured(i, 12, kApplyLimit));
        BOOST_TEST(isServed(rig, i, "mended"));
        BOOST_TEST(isUnknown(rig, i, "kept"));
        BOOST_TEST(!isRefused(i));
    }
    BOOST_TEST(showConfiguration(rig).first == 0);
    put(rig, "odd again");
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(kApplyLimit, [&] { return isRefused(i); }));
}

// Guards against a host that has just started having other items in force than those that run.
BOOST_AUTO_TEST_CASE(a_host_that_starts_with_an_odd_version_has_its_readable_items_in_force)
{
    GatewayRig rig;
    auto odd = makeVersion(10, { "odd", "kept" });
    odd["Routes"].as_array()[0].as_object()["RouteType"] = nullptr;
    odd["Services"] = 7;
    put(rig, odd);
    for (unsigned i = 0; i < 3; ++i)
        rig.startHost(i);
    for (unsigned i = 0; i < 3; ++i) {
        BOOST_TEST(rig.waitReady(i));
        BOOST_TEST(waitUntil(kApplyLimit, [&] { return isServed(rig, i, "kept"); }));
        BOOST_TEST(isUnknown(rig, i, "odd"));
    }
}

// Nothing is in force on a host that has read no version, so it takes no callers; the version that follows makes it ready.
BOOST_AUTO_TEST_CASE(a_host_that_starts_with_a_refused_document_is_not_ready_until_it_is_mended)
{
    RigOptions options;
    options.hosts = 1;
    GatewayRig rig(options);
    put(rig, "no JSON");
    rig.startHost(0);
    BOOST_TEST(!rig.waitReady(0, milliseconds(1500)));
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "kept").getHandshakeAnswer().hasCode("BUSY"));
    put(rig, makeVersion(10, { "kept" }));
    BOOST_TEST(rig.waitReady(0, kApplyLimit));
}

// Guards against a version that hosts on relays read differently from those that read the store, and against keys that a relay passes on.
BOOST_AUTO_TEST_CASE(an_odd_version_is_in_force_on_hosts_that_receive_it_through_relays)
{
    constexpr unsigned kHosts = 21; // seven in each data centre: the minimum for relays
    RigOptions options;
    options.hosts = kHosts;
    options.accounts = { { "mill", { "key-mill" } } };
    GatewayRig rig(options);
    rig.startHosts();
    std::this_thread::sleep_for(milliseconds(1500)); // hosts follow their relays by then
    auto odd = makeVersion(10, { "odd", "kept" });
    odd["Routes"].as_array()[0].as_object()["Service"] = json::object();
    odd["Routes"].as_array()[1].as_object()["Priority"] = 1e300;
    odd["Tenants"] = json::array { makeAccount("mill", "key-mill"), "taken", json::object { { "Name", "shop" }, { "ApiKeys", json::array { "key-shop", json::array { "taken" } } } } };
    put(rig, odd);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(rig.waitUntilConfigured(i, 10, milliseconds(5000)));
    for (unsigned i = 0; i < kHosts; ++i) {
        BOOST_TEST(isServed(rig, i, "kept", "key-shop"), i);
        BOOST_TEST(!isServed(rig, i, "kept", "taken"), i);
        BOOST_TEST(hasMetric(rig, i, "alderward_configuration_problems{use=\"left-out\"} 2"), i);
    }
    // No list of accounts: no key is accepted, on any of them.
    auto closed = makeVersion(11, { "kept" });
    closed["Tenants"] = "key-mill";
    put(rig, closed);
    for (unsigned i = 0; i < kHosts; ++i) {
        BOOST_TEST(rig.waitUntilConfigured(i, 11, milliseconds(5000)));
        BOOST_TEST(!isServed(rig, i, "kept", "key-mill"), i);
    }
}

BOOST_AUTO_TEST_SUITE_END()
