// Members that leave: a primary is handed over whatever one host has lost, and gets no new operations once its time is over.
//
// The story. Operators replaced a primary; it said that it leaves and may be used for 7 s from then on. The one host in charge of its group
// had lost the store a second before: it answered all other hosts, and heard nothing of the leaving. Its deputies had heard of it and left
// the change to the host in charge, as that one answered. Statements went on to the primary until it ended eight seconds later; all were served, so no
// caller complained, and no figure but the members' own record showed it.
// The evidence. Logs of all nine hosts: eight name the member as leaving within 27 ms, none considers a promotion for ten seconds,
// the one in charge says each 1.5 s that its watch is silent and never that the store is lost. 90 statements ran past the bound.
// The cause. Whether a host answers was taken for whether it can do its task; and nothing bounded how long a leaving primary is used.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;

namespace {

using Clock = std::chrono::steady_clock;

constexpr milliseconds kDrainTime { 7000 }; // default of the setting
constexpr milliseconds kHandoverLimit { 5000 }; // a handover, whoever has to do it; well before the drain time ends

RigShape makeShape()
{
    RigShape shape;
    shape.hasProxies = true;
    shape.hasOrdersApart = true;
    return shape;
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

// Reads at the primary through all hosts until then, and a write now and then; how many reads were served.
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

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_handed_over_while_the_host_in_charge_has_lost_the_store)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    auto holder = rig.findHolder();
    rig.setStoreCut(holder, true);
    std::this_thread::sleep_for(milliseconds(300));
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    BOOST_TEST(waitUntil(kHandoverLimit, [&] { return isHandedOver(rig); }));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(2000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 2u);
    rig.setStoreCut(holder, false);
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_handed_over_by_a_deputy_when_orders_of_the_host_in_charge_are_not_answered)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    auto holder = rig.findHolder();
    rig.call([&] {
        rig.getStore().faults.ignoredHosts.insert(fmt::format("h{}", holder));
        rig.getStore().setLeaving("g0-a", true);
    });
    BOOST_TEST(waitUntil(kHandoverLimit, [&] { return isHandedOver(rig); }));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(2000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 2u);
    // The host in charge is heard again. Its tokens are below the one that the deputy used, so it must not try these.
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

BOOST_AUTO_TEST_CASE(a_leaving_primary_gets_no_new_operations_after_its_time_whatever_holds_the_handover_up)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    LineCaller late(rig.getCallerAddress(0), "db0-primary");
    rig.call([&] {
        rig.getStore().faults.refusesPromotions = true;
        rig.getStore().setLeaving("g0-a", true);
    });
    auto leftAt = Clock::now();
    BOOST_TEST(useGroup(rig, leftAt + milliseconds(5000)) > 20); // until its time is nearly over it serves
    useGroup(rig, leftAt + kDrainTime);
    auto before = countRanAt(rig, "g0-a");
    useGroup(rig, leftAt + kDrainTime + milliseconds(1500));
    BOOST_TEST(countRanAt(rig, "g0-a") == before);
    // Who asks now is told that nothing ran, and is served as soon as there is a primary.
    BOOST_TEST(late.ask("WRITE x 2").hasCode("BUSY"));
    rig.call([&] { rig.getStore().faults.refusesPromotions = false; });
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(isHandedOver(rig));
}

BOOST_AUTO_TEST_CASE(a_primary_that_is_not_listed_any_more_gets_no_new_operations_after_its_time)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
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

// A member that replaces one that leaves becomes the primary soon after it came. A host that had lost the store before had never heard of it, and was the one
// that all others asked to carry to it, since it answered them: most statements of the group failed until the store was back.
BOOST_AUTO_TEST_CASE(a_new_member_is_used_past_a_carrier_that_does_not_know_it)
{
    GatewayRig rig(makeShape());
    rig.call([&] { rig.getStore().remove("servers/g0-c"); });
    rig.beginHosts();
    rig.setStoreCut(2, true); // in the new member's data centre, so the first to carry to it
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

BOOST_AUTO_TEST_CASE(a_host_without_the_store_is_told_of_members_that_come_leave_and_go)
{
    GatewayRig rig(makeShape());
    rig.call([&] { rig.getStore().remove("servers/g0-c"); });
    rig.beginHosts();
    rig.setStoreCut(2, true);
    auto isTold = [&](const std::string& what) {
        return waitUntil(milliseconds(6000), [&] {
            auto log = rig.getLog(2);
            auto at = log.rfind(what);
            return at != std::string::npos && log.substr(at, log.find('\n', at) - at).find("\"source\":\"told\"") != std::string::npos;
        });
    };
    rig.call([&] { rig.getStore().registerMembers(); });
    BOOST_TEST(isTold("\"event\":\"member\",\"member\":\"g0-c\""));
    rig.call([&] {
        rig.getGroup().promote("g0-c");
        rig.getStore().registerMembers();
    });
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, 2); })); // a member that it cannot have read of
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    BOOST_TEST(isTold("\"event\":\"member\",\"member\":\"g0-a\""));
    rig.call([&] { rig.getStore().remove("servers/g0-a"); });
    BOOST_TEST(isTold("\"event\":\"member-unlisted\",\"member\":\"g0-a\""));
    std::this_thread::sleep_for(milliseconds(5000)); // forgotten by all
    rig.setStoreCut(2, false);
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return rig.getLog(2).rfind("store-regained") > rig.getLog(2).rfind("store-lost"); }));
    BOOST_TEST(canWrite(rig, 2));
}

BOOST_AUTO_TEST_SUITE_END()
