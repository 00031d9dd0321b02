// Hosts that start while replicas do not answer. Guards against reads from a primary that restarted with an empty log: a replica that does not
// answer must not count as one that agrees with the primary.
#include "harness/gateway_rig.h"
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;
using Clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds kRefusedWithin { 1000 }; // early enough for a caller to try another host
constexpr milliseconds kServedWithin { 3000 }; // after a start, without a change of primary
constexpr milliseconds kPromotedWithin { 12000 }; // including a promotion

void setReplicasSilent(GatewayRig& rig, bool isSilent)
{
    rig.call([&] {
        for (auto* id : { "g0-b", "g0-c" })
            rig.getGroup().getFaults(id).isUnresponsive = isSilent;
    });
}

void writeItems(GatewayRig& rig)
{
    LineCaller writer(rig.getCallerAddress(1), "db0-primary");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(300)); // until replicas have caught up
}

void killHosts(GatewayRig& rig)
{
    for (unsigned i = 0; i < 3; ++i)
        rig.getHost(i).kill();
}

LineAnswer readItem(GatewayRig& rig)
{
    return LineCaller(rig.getCallerAddress(0), "db0-primary").ask("READ item3");
}

bool isExpected(const LineAnswer& answer) { return answer.isOk() && answer.rows == std::vector<std::string> { "1" }; }

}

BOOST_AUTO_TEST_SUITE(startup)

BOOST_AUTO_TEST_CASE(a_restarted_primary_with_an_empty_log_is_not_trusted_while_no_replica_answers)
{
    GatewayRig rig;
    rig.startHosts();
    writeItems(rig);
    killHosts(rig);
    setReplicasSilent(rig, true);
    rig.call([&] {
        rig.getGroup().restartEmpty("g0-a");
        rig.getStore().registerMembers();
    });
    rig.startHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    auto until = Clock::now() + milliseconds(4000);
    while (Clock::now() < until) {
        auto askedAt = Clock::now();
        auto answer = readItem(rig);
        BOOST_REQUIRE((!answer.isOk() || isExpected(answer)));
        BOOST_TEST((Clock::now() - askedAt < kRefusedWithin));
        auto write = LineCaller(rig.getCallerAddress(0), "db0-primary").ask("WRITE other 1");
        BOOST_REQUIRE(!write.isOk()); // it would be lost with the log of the restarted primary
    }
    setReplicasSilent(rig, false);
    BOOST_TEST(waitUntil(kPromotedWithin, [&] { return isExpected(readItem(rig)); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a");
}

BOOST_AUTO_TEST_CASE(a_new_group_is_served_before_its_replicas_answer)
{
    GatewayRig rig;
    setReplicasSilent(rig, true);
    rig.startHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    BOOST_TEST(waitUntil(kServedWithin, [&] { return LineCaller(rig.getCallerAddress(0), "db0-primary").ask("WRITE x 1").isOk(); }));
}

BOOST_AUTO_TEST_CASE(a_primary_that_did_not_restart_is_used_while_no_replica_answers)
{
    GatewayRig rig;
    rig.startHosts();
    writeItems(rig);
    killHosts(rig);
    setReplicasSilent(rig, true);
    rig.startHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    BOOST_TEST(waitUntil(kServedWithin, [&] { return isExpected(readItem(rig)); }));
}

// One replica stays unreachable; the other one shows that the primary's log is complete.
BOOST_AUTO_TEST_CASE(a_primary_restarted_with_its_log_is_used_once_one_of_two_replicas_answers)
{
    GatewayRig rig;
    rig.startHosts();
    writeItems(rig);
    killHosts(rig);
    rig.call([&] {
        rig.getGroup().getFaults("g0-c").isUnresponsive = true;
        rig.getGroup().kill("g0-a");
        rig.getGroup().start("g0-a");
        rig.getStore().registerMembers();
    });
    rig.startHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    BOOST_TEST(waitUntil(kServedWithin, [&] { return isExpected(readItem(rig)); }));
}

BOOST_AUTO_TEST_SUITE_END()
