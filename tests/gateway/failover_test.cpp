// Failover and handover of primaries.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>

using namespace harness;

namespace {

bool canWrite(GatewayRig& rig, unsigned host)
{
    return LineCaller(rig.getCallerAddress(host), "db0-primary").ask("WRITE x 1").isOk();
}

std::vector<standins::PromotionRequest> getPromotionRequests(GatewayRig& rig)
{
    return rig.call([&] { return rig.getStore().getPromotionRequests(); });
}

}

BOOST_AUTO_TEST_SUITE(failover)

BOOST_AUTO_TEST_CASE(a_dead_primary_is_replaced_by_the_replica_with_the_newest_log)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] { rig.getGroup().getFaults("g0-b").isReplicationStopped = true; });
    BOOST_TEST(canWrite(rig, 0));
    std::this_thread::sleep_for(milliseconds(100));
    rig.call([&] { rig.getGroup().kill("g0-a"); });
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPrimary(); }) == "g0-c");
    auto promotions = getPromotionRequests(rig);
    BOOST_TEST(promotions.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_unreachable_primary_is_replaced_while_the_store_does_not_answer)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] {
        rig.getStore().faults.isSilent = true;
        rig.getGroup().getFaults("g0-a").isUnresponsive = true;
    });
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 2u);
}

BOOST_AUTO_TEST_CASE(fencing_tokens_increase_and_are_never_used_for_two_orders)
{
    GatewayRig rig;
    rig.startHosts();
    for (int round = 0; round < 3; ++round) {
        auto primary = rig.call([&] { return rig.getGroup().getPrimary(); });
        auto term = rig.call([&] { return rig.getGroup().getTerm(); });
        rig.call([&] { rig.getGroup().kill(primary); });
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return rig.call([&] { return rig.getGroup().getTerm(); }) > term; }));
        rig.call([&] { rig.getGroup().start(primary); });
        BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, 0) && canWrite(rig, 1) && canWrite(rig, 2); }));
        auto promotions = getPromotionRequests(rig);
        // The coordinator dies; another host replaces it in the coordinator record.
        auto coordinator = promotions.back().host;
        auto index = static_cast<unsigned>(coordinator.back() - '0');
        rig.getHost(index).kill();
        std::this_thread::sleep_for(milliseconds(1500));
        rig.startHost(index);
        rig.waitReady(index);
        std::this_thread::sleep_for(milliseconds(1500));
    }
    std::map<uint64_t, std::pair<std::string, std::string>> users; // coordinator and member by token
    uint64_t highest = 0;
    for (auto& it : getPromotionRequests(rig)) {
        auto [known, isNew] = users.emplace(it.token, std::pair(it.host, it.member));
        BOOST_TEST((isNew || known->second == std::pair(it.host, it.member)));
        BOOST_TEST(it.token >= highest);
        highest = std::max(highest, it.token);
    }
    BOOST_TEST(users.size() >= 3u);
}

BOOST_AUTO_TEST_CASE(handover_of_a_leaving_primary_loses_no_commit)
{
    GatewayRig rig;
    rig.startHosts();
    rig.call([&] {
        for (auto& id : rig.getGroup().getIds())
            rig.getGroup().getFaults(id).lag = milliseconds(80);
    });
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    std::map<std::string, std::string> acknowledged;
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    auto until = std::chrono::steady_clock::now() + milliseconds(3000);
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        auto item = fmt::format("item{}", i);
        if (writer.ask("WRITE " + item + " 1").isOk())
            acknowledged[item] = "1";
    }
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a");
    auto items = rig.call([&] { return rig.getGroup().getItems(); });
    for (auto& [item, value] : acknowledged)
        BOOST_TEST(items.contains(item), item << " was acknowledged and then lost");
    BOOST_TEST(acknowledged.size() > 10u);
}

BOOST_AUTO_TEST_CASE(an_unanswered_order_is_repeated_unchanged)
{
    GatewayRig rig;
    rig.startHosts();
    rig.call([&] {
        rig.getStore().faults.losesPromotionReplies = true;
        rig.getGroup().kill("g0-a");
    });
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return rig.call([&] { return rig.getGroup().getTerm(); }) == 2; }));
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(5000), [&] { return canWrite(rig, i); }));
    std::map<uint64_t, std::string> byToken;
    for (auto& it : getPromotionRequests(rig)) {
        auto [known, isNew] = byToken.emplace(it.token, it.member);
        BOOST_TEST((isNew || known->second == it.member), "token " << it.token << " was used for two members");
    }
}

BOOST_AUTO_TEST_CASE(a_slow_primary_is_not_replaced)
{
    GatewayRig rig;
    rig.startHosts();
    rig.call([&] { rig.getGroup().getFaults("g0-a").statementTime = milliseconds(400); });
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (int i = 0; i < 12; ++i)
        callers.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i % 3), "db0-primary"));
    for (int round = 0; round < 4; ++round) {
        for (auto& it : callers)
            it->send("READ x");
        for (auto& it : callers)
            it->receive();
    }
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 1u);
}

BOOST_AUTO_TEST_CASE(a_standby_replaces_a_frozen_coordinator_which_orders_nothing_when_it_resumes)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    auto coordinator = rig.findFirstCoordinator();
    rig.getHost(coordinator).signal(SIGSTOP);
    rig.call([&] { rig.getGroup().kill("g0-a"); });
    auto other = (coordinator + 1) % 3;
    BOOST_TEST(waitUntil(milliseconds(8000), [&] { return canWrite(rig, other); }));
    auto term = rig.call([&] { return rig.getGroup().getTerm(); });
    rig.getHost(coordinator).signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(2000));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == term);
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, coordinator); }));
}

// Guards against an isolated host that promotes a member while the other hosts still reach the old primary.
BOOST_AUTO_TEST_CASE(an_isolated_host_replaces_no_primary_until_lost_hosts_expire)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return rig.countEvents("host-regained") >= 6; }));
    rig.getHost(1).signal(SIGSTOP);
    rig.getHost(2).signal(SIGSTOP);
    rig.call([&] { rig.getGroup().kill("g0-a"); });
    std::this_thread::sleep_for(milliseconds(3000));
    auto askedAt = std::chrono::steady_clock::now();
    BOOST_TEST(!canWrite(rig, 0));
    BOOST_TEST((std::chrono::steady_clock::now() - askedAt < milliseconds(200))); // fails early, as the caller may find another host that reaches the primary
    std::this_thread::sleep_for(milliseconds(2000));
    BOOST_TEST(getPromotionRequests(rig).empty());
    BOOST_TEST(waitUntil(milliseconds(9000), [&] { return canWrite(rig, 0); })); // the lost hosts may have died with the primary
    rig.getHost(1).signal(SIGCONT);
    rig.getHost(2).signal(SIGCONT);
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, i); }));
}

// The member restarts at once under its id with an empty log and still reports that it is primary.
BOOST_AUTO_TEST_CASE(a_primary_that_restarts_with_an_empty_log_is_replaced)
{
    GatewayRig rig;
    rig.startHosts();
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(300)); // replicas catch up
    auto countExecuted = [&] { return rig.call([&] { return std::ranges::count(rig.getGroup().getExecutedStatements(), "g0-a", &standins::ExecutedStatement::member); }); };
    auto before = countExecuted();
    rig.call([&] {
        rig.getGroup().restartEmpty("g0-a");
        rig.getStore().registerMembers();
    });
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(5000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a");
    auto items = rig.call([&] { return rig.getGroup().getItems(); });
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(items.contains(fmt::format("item{}", i)), "item" << i << " was acknowledged and then lost");
    BOOST_TEST(countExecuted() == before); // no statement ran on the empty log
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return rig.countEvents("member-restarted") >= 3; }));
}

BOOST_AUTO_TEST_CASE(a_replica_that_restarts_with_an_empty_log_serves_no_stale_reads)
{
    GatewayRig rig;
    rig.startHosts();
    LineCaller writer(rig.getCallerAddress(1), "db0-own");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    rig.call([&] {
        rig.getGroup().getFaults("g0-b").isReplicationStopped = true;
        rig.getGroup().restartEmpty("g0-b");
        rig.getStore().registerMembers();
    });
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return rig.countEvents("member-restarted") >= 3; }));
    for (int i = 0; i < 200; ++i)
        BOOST_REQUIRE(writer.ask("READ item3").rows == std::vector<std::string> { "1" });
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 1u);
}

// A host that has just started knows no floor that would show that the primary has lost its log. Guards against a read from the empty log.
BOOST_AUTO_TEST_CASE(a_starting_host_does_not_trust_a_primary_with_an_older_log_than_its_replicas)
{
    GatewayRig rig;
    rig.startHosts();
    LineCaller writer(rig.getCallerAddress(1), "db0-primary");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(300)); // replicas catch up
    for (unsigned i = 0; i < 3; ++i)
        rig.getHost(i).kill();
    rig.call([&] {
        rig.getGroup().restartEmpty("g0-a");
        rig.getStore().registerMembers();
    });
    rig.startHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    auto answer = LineCaller(rig.getCallerAddress(0), "db0-primary").ask("READ item3");
    BOOST_TEST((!answer.isOk() || answer.rows == std::vector<std::string> { "1" }));
}

BOOST_AUTO_TEST_SUITE_END()
