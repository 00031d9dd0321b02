// Hosts that have just started, and what they believe of a primary that nobody who could contradict it answers for.
//
// Found by trial: all hosts start while both replicas of a group are silent, and the primary has started again with nothing. A read was answered from the empty log
// ("ok", no row), 3 of 3. A replica that did not answer was counted as one that had been compared: the log says `replicas-compared` with term 0 and position 0.
#include "harness/gateway_rig.h"
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;
using Clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds kRefusedWithin { 1000 }; // a caller can try elsewhere; the routes' limit is 1,500 ms
constexpr milliseconds kServedWithin { 3000 }; // after a start, with nothing to be found out
constexpr milliseconds kReplacedWithin { 12000 }; // a change of primary

void setDark(GatewayRig& rig, bool isUnresponsive)
{
    rig.call([&] {
        for (auto* id : { "g0-b", "g0-c" })
            rig.getGroup().getFaults(id).isUnresponsive = isUnresponsive;
    });
}

void writeItems(GatewayRig& rig)
{
    LineCaller writer(rig.getCallerAddress(1), "db0-primary");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(300)); // replicas have it all
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

bool isRight(const LineAnswer& answer) { return answer.isOk() && answer.rows == std::vector<std::string> { "1" }; }

}

BOOST_AUTO_TEST_SUITE(starting)

BOOST_AUTO_TEST_CASE(a_primary_that_started_again_is_not_believed_while_no_replica_answers)
{
    GatewayRig rig;
    rig.beginHosts();
    writeItems(rig);
    killHosts(rig);
    setDark(rig, true);
    rig.call([&] {
        rig.getGroup().restartEmpty("g0-a");
        rig.getStore().registerMembers();
    });
    rig.beginHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    auto until = Clock::now() + milliseconds(4000);
    while (Clock::now() < until) {
        auto askedAt = Clock::now();
        auto answer = readItem(rig);
        BOOST_REQUIRE((!answer.isOk() || isRight(answer)));
        BOOST_TEST((Clock::now() - askedAt < kRefusedWithin));
        auto write = LineCaller(rig.getCallerAddress(0), "db0-primary").ask("WRITE other 1");
        BOOST_REQUIRE(!write.isOk()); // it would be acknowledged by a log that is about to be given up
    }
    setDark(rig, false);
    BOOST_TEST(waitUntil(kReplacedWithin, [&] { return isRight(readItem(rig)); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a");
}

BOOST_AUTO_TEST_CASE(a_new_group_whose_replicas_are_late_is_served)
{
    GatewayRig rig;
    setDark(rig, true);
    rig.beginHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    BOOST_TEST(waitUntil(kServedWithin, [&] { return LineCaller(rig.getCallerAddress(0), "db0-primary").ask("WRITE x 1").isOk(); }));
}

BOOST_AUTO_TEST_CASE(a_primary_that_did_not_start_again_is_served_by_while_no_replica_answers)
{
    GatewayRig rig;
    rig.beginHosts();
    writeItems(rig);
    killHosts(rig);
    setDark(rig, true);
    rig.beginHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    BOOST_TEST(waitUntil(kServedWithin, [&] { return isRight(readItem(rig)); }));
}

// One replica is out of reach for good, the other one shows that the primary holds what was acknowledged.
BOOST_AUTO_TEST_CASE(a_primary_that_came_back_with_its_log_is_served_by_with_one_replica_of_two)
{
    GatewayRig rig;
    rig.beginHosts();
    writeItems(rig);
    killHosts(rig);
    rig.call([&] {
        rig.getGroup().getFaults("g0-c").isUnresponsive = true;
        rig.getGroup().kill("g0-a");
        rig.getGroup().start("g0-a");
        rig.getStore().registerMembers();
    });
    rig.beginHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    BOOST_TEST(waitUntil(kServedWithin, [&] { return isRight(readItem(rig)); }));
}

BOOST_AUTO_TEST_SUITE_END()
