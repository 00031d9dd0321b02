// Members that leave: a primary is handed over even if its first coordinator cannot act, and gets no new operations after its drain time.
// Guards against standbys that wait for a coordinator because it answers pings, although it cannot perform the handover.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

constexpr milliseconds kDrainTime { 7000 }; // default of the setting
constexpr milliseconds kHandoverLimit { 5000 }; // less than the drain time

RigOptions makeOptions()
{
    RigOptions options;
    options.hasProxies = true;
    options.hasDirectOrders = true;
    return options;
}

bool isHandedOver(GatewayRig& rig)
{
    return rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a";
}

bool canWrite(GatewayRig& rig, unsigned host)
{
    return LineCaller(rig.getCallerAddress(host), "db0-primary").ask("WRITE x 1").isOk();
}

size_t countRanAt(GatewayRig& rig, const std::string& member)
{
    auto ran = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
    return static_cast<size_t>(std::ranges::count(ran, member, &standins::ExecutedStatement::member));
}

// Sends reads and some writes to the primary through all hosts until the given time. Returns the number of reads served.
int useGroup(GatewayRig& rig, Clock::time_point until)
{
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (unsigned i = 0; i < 3; ++i)
        callers.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i), "db0-primary"));
    int served = 0;
    for (unsigned i = 0; Clock::now() < until; ++i) {
        served += callers[i % 3]->ask("READ x").isOk() ? 1 : 0;
        if (i % 100 == 50)
            callers[i % 3]->ask("WRITE x 1");
        std::this_thread::sleep_for(milliseconds(10));
    }
    return served;
}

}

BOOST_AUTO_TEST_SUITE(leaving)

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_handed_over_while_the_first_coordinator_has_lost_the_store)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    auto coordinator = rig.findFirstCoordinator();
    rig.setStoreIsolated(coordinator, true);
    std::this_thread::sleep_for(milliseconds(300));
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    BOOST_TEST(waitUntil(kHandoverLimit, [&] { return isHandedOver(rig); }));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(2000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 2u);
    rig.setStoreIsolated(coordinator, false);
}

BOOST_AUTO_TEST_CASE(a_standby_hands_over_a_leaving_primary_when_orders_of_the_first_coordinator_are_not_answered)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    auto coordinator = rig.findFirstCoordinator();
    rig.call([&] {
        rig.getStore().faults.ignoredHosts.insert(fmt::format("h{}", coordinator));
        rig.getStore().setLeaving("g0-a", true);
    });
    BOOST_TEST(waitUntil(kHandoverLimit, [&] { return isHandedOver(rig); }));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(2000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 2u);
    // The first coordinator's orders are answered again. Its tokens are below the one used by the standby, so it must not use them.
    rig.call([&] {
        rig.getStore().faults.ignoredHosts.clear();
        rig.getGroup().kill(rig.getGroup().getPrimary());
    });
    BOOST_TEST(waitUntil(milliseconds(6000), [&] { return rig.call([&] { return rig.getGroup().getTerm(); }) == 3u; }));
    uint64_t highest = 0;
    for (auto& it : rig.call([&] { return rig.getStore().getPromotionRequests(); })) {
        BOOST_TEST(it.token >= highest);
        highest = it.token;
    }
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_gets_no_new_operations_after_its_drain_time)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    LineCaller late(rig.getCallerAddress(0), "db0-primary");
    rig.call([&] {
        rig.getStore().faults.refusesPromotions = true;
        rig.getStore().setLeaving("g0-a", true);
    });
    auto leftAt = Clock::now();
    BOOST_TEST(useGroup(rig, leftAt + milliseconds(5000)) > 20); // it serves until shortly before the end of the drain time
    useGroup(rig, leftAt + kDrainTime);
    auto before = countRanAt(rig, "g0-a");
    useGroup(rig, leftAt + kDrainTime + milliseconds(1500));
    BOOST_TEST(countRanAt(rig, "g0-a") == before);
    // Callers get an error that says that nothing ran, and are served once there is a new primary.
    BOOST_TEST(late.ask("WRITE x 2").hasCode("BUSY"));
    rig.call([&] { rig.getStore().faults.refusesPromotions = false; });
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(isHandedOver(rig));
}

BOOST_AUTO_TEST_CASE(an_unlisted_primary_gets_no_new_operations_after_its_drain_time)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    rig.call([&] {
        rig.getStore().faults.refusesPromotions = true;
        rig.getStore().remove("servers/g0-a");
    });
    auto leftAt = Clock::now();
    useGroup(rig, leftAt + kDrainTime);
    auto before = countRanAt(rig, "g0-a");
    useGroup(rig, leftAt + kDrainTime + milliseconds(1500));
    BOOST_TEST(countRanAt(rig, "g0-a") == before);
}

// A host without the store does not know a new member, but may be its first forwarder. Other hosts must try the next forwarder.
BOOST_AUTO_TEST_CASE(statements_reach_a_new_member_although_its_first_forwarder_does_not_know_it)
{
    GatewayRig rig(makeOptions());
    rig.call([&] { rig.getStore().remove("servers/g0-c"); });
    rig.startHosts();
    rig.setStoreIsolated(2, true); // in the new member's data centre, so its first forwarder
    rig.call([&] { rig.getStore().registerMembers(); });
    BOOST_TEST(waitUntil(milliseconds(2000), [&] { return rig.getLog(0).find("\"member\":\"g0-c\"") != std::string::npos && rig.getLog(1).find("\"member\":\"g0-c\"") != std::string::npos; }));
    rig.call([&] {
        rig.getGroup().promote("g0-c");
        rig.getStore().registerMembers();
    });
    for (unsigned i = 0; i < 2; ++i)
        BOOST_TEST(waitUntil(milliseconds(2000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(countRanAt(rig, "g0-c") > 0u);
}

BOOST_AUTO_TEST_CASE(a_host_without_the_store_learns_of_added_leaving_and_removed_members)
{
    GatewayRig rig(makeOptions());
    rig.call([&] { rig.getStore().remove("servers/g0-c"); });
    rig.startHosts();
    rig.setStoreIsolated(2, true);
    auto isReportedByHost = [&](const std::string& what) {
        return waitUntil(milliseconds(6000), [&] {
            auto log = rig.getLog(2);
            auto at = log.rfind(what);
            return at != std::string::npos && log.substr(at, log.find('\n', at) - at).find("\"source\":\"told\"") != std::string::npos;
        });
    };
    rig.call([&] { rig.getStore().registerMembers(); });
    BOOST_TEST(isReportedByHost("\"event\":\"member\",\"member\":\"g0-c\""));
    rig.call([&] {
        rig.getGroup().promote("g0-c");
        rig.getStore().registerMembers();
    });
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, 2); })); // it learned of the member from other hosts
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    BOOST_TEST(isReportedByHost("\"event\":\"member\",\"member\":\"g0-a\""));
    rig.call([&] { rig.getStore().remove("servers/g0-a"); });
    BOOST_TEST(isReportedByHost("\"event\":\"member-unlisted\",\"member\":\"g0-a\""));
    std::this_thread::sleep_for(milliseconds(5000)); // until all hosts have removed the member
    rig.setStoreIsolated(2, false);
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return rig.getLog(2).rfind("store-regained") > rig.getLog(2).rfind("store-lost"); }));
    BOOST_TEST(canWrite(rig, 2));
}

BOOST_AUTO_TEST_SUITE_END()
