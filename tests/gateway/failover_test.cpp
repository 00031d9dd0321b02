// Changes of primary.
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

BOOST_AUTO_TEST_CASE(a_dead_primary_is_replaced_by_the_replica_that_holds_most)
{
    GatewayRig rig;
    rig.beginHosts();
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

BOOST_AUTO_TEST_CASE(a_dark_primary_is_replaced_also_while_the_store_is_away)
{
    GatewayRig rig;
    rig.beginHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] {
        rig.getStore().faults.isSilent = true;
        rig.getGroup().getFaults("g0-a").isUnresponsive = true;
    });
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == 2u);
}

BOOST_AUTO_TEST_CASE(tokens_rise_with_each_decision_and_holder_and_are_never_shared)
{
    GatewayRig rig;
    rig.beginHosts();
    for (int round = 0; round < 3; ++round) {
        auto primary = rig.call([&] { return rig.getGroup().getPrimary(); });
        auto term = rig.call([&] { return rig.getGroup().getTerm(); });
        rig.call([&] { rig.getGroup().kill(primary); });
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return rig.call([&] { return rig.getGroup().getTerm(); }) > term; }));
        rig.call([&] { rig.getGroup().start(primary); });
        BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, 0) && canWrite(rig, 1) && canWrite(rig, 2); }));
        auto promotions = getPromotionRequests(rig);
        // The holder dies; another takes its place in the store.
        auto holder = promotions.back().host;
        auto index = static_cast<unsigned>(holder.back() - '0');
        rig.getHost(index).kill();
        std::this_thread::sleep_for(milliseconds(1500));
        rig.beginHost(index);
        rig.waitReady(index);
        std::this_thread::sleep_for(milliseconds(1500));
    }
    std::map<uint64_t, std::pair<std::string, std::string>> users; // token to holder and member
    uint64_t highest = 0;
    for (auto& it : getPromotionRequests(rig)) {
        auto [known, isNew] = users.emplace(it.token, std::pair(it.host, it.member));
        BOOST_TEST((isNew || known->second == std::pair(it.host, it.member)));
        BOOST_TEST(it.token >= highest);
        highest = std::max(highest, it.token);
    }
    BOOST_TEST(users.size() >= 3u);
}

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_handed_over_and_no_commit_is_lost)
{
    GatewayRig rig;
    rig.beginHosts();
    rig.call([&] {
        for (auto& id : rig.getGroup().getIds())
            rig.getGroup().getFaults(id).lag = milliseconds(80);
    });
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    std::map<std::string, std::string> kept;
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    auto until = std::chrono::steady_clock::now() + milliseconds(3000);
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
        auto item = fmt::format("item{}", i);
        if (writer.ask("WRITE " + item + " 1").isOk())
            kept[item] = "1";
    }
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a");
    auto items = rig.call([&] { return rig.getGroup().getItems(); });
    for (auto& [item, value] : kept)
        BOOST_TEST(items.contains(item), item << " was acknowledged and is gone");
    BOOST_TEST(kept.size() > 10u);
}

BOOST_AUTO_TEST_CASE(an_order_without_an_answer_is_repeated_as_it_was)
{
    GatewayRig rig;
    rig.beginHosts();
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
    rig.beginHosts();
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

BOOST_AUTO_TEST_CASE(a_holder_that_freezes_is_replaced_by_a_deputy_and_does_no_harm_when_it_wakes)
{
    GatewayRig rig;
    rig.beginHosts();
    BOOST_TEST(canWrite(rig, 0));
    auto holder = rig.findHolder();
    rig.getHost(holder).signal(SIGSTOP);
    rig.call([&] { rig.getGroup().kill("g0-a"); });
    auto other = (holder + 1) % 3;
    BOOST_TEST(waitUntil(milliseconds(8000), [&] { return canWrite(rig, other); }));
    auto term = rig.call([&] { return rig.getGroup().getTerm(); });
    rig.getHost(holder).signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(2000));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getTerm(); }) == term);
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, holder); }));
}

// Found at the bench: two of nine hosts, cut off together with two of three members, made one of these the primary; the other seven, which
// still reached the old one, had none for six seconds. To whoever is left here it looks the same. Before, a promotion came within a second.
BOOST_AUTO_TEST_CASE(a_host_that_has_lost_most_others_replaces_no_primary_until_they_count_as_gone)
{
    GatewayRig rig;
    rig.beginHosts();
    BOOST_TEST(canWrite(rig, 0));
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return rig.countEvents("host-regained") >= 6; }));
    rig.getHost(1).signal(SIGSTOP);
    rig.getHost(2).signal(SIGSTOP);
    rig.call([&] { rig.getGroup().kill("g0-a"); });
    std::this_thread::sleep_for(milliseconds(3000));
    auto askedAt = std::chrono::steady_clock::now();
    BOOST_TEST(!canWrite(rig, 0));
    BOOST_TEST((std::chrono::steady_clock::now() - askedAt < milliseconds(200))); // the caller may find another host that reaches the primary; 1,500 ms before
    std::this_thread::sleep_for(milliseconds(2000));
    BOOST_TEST(getPromotionRequests(rig).empty());
    BOOST_TEST(waitUntil(milliseconds(9000), [&] { return canWrite(rig, 0); })); // they may have died with the primary
    rig.getHost(1).signal(SIGCONT);
    rig.getHost(2).signal(SIGCONT);
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(4000), [&] { return canWrite(rig, i); }));
}

// It comes back at once, under its id, with nothing of what it had acknowledged, and still calls itself the primary.
BOOST_AUTO_TEST_CASE(a_primary_that_starts_again_with_nothing_does_not_lead)
{
    GatewayRig rig;
    rig.beginHosts();
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(300)); // replicas have it all
    auto ran = [&] { return rig.call([&] { return std::ranges::count(rig.getGroup().getExecutedStatements(), "g0-a", &standins::ExecutedStatement::member); }); };
    auto before = ran();
    rig.call([&] {
        rig.getGroup().restartEmpty("g0-a");
        rig.getStore().registerMembers();
    });
    for (unsigned i = 0; i < 3; ++i)
        BOOST_TEST(waitUntil(milliseconds(5000), [&] { return canWrite(rig, i); }));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPrimary(); }) != "g0-a");
    auto items = rig.call([&] { return rig.getGroup().getItems(); });
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(items.contains(fmt::format("item{}", i)), "item" << i << " was acknowledged and is gone");
    BOOST_TEST(ran() == before); // nobody's statement ran on the empty log
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return rig.countEvents("member-restarted") >= 3; }));
}

BOOST_AUTO_TEST_CASE(a_replica_that_starts_again_with_nothing_is_read_once_it_has_shown_what_it_holds)
{
    GatewayRig rig;
    rig.beginHosts();
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

// Seen once in the soak (seed 4043): a host that had just started, and so knew no floor, took the word of a primary that had started again with nothing,
// and a read was answered from the empty log. Other hosts had denied it 180 ms before. Its replicas, of the same term, held more than it did.
BOOST_AUTO_TEST_CASE(a_host_that_starts_does_not_believe_a_primary_that_holds_less_than_its_replicas)
{
    GatewayRig rig;
    rig.beginHosts();
    LineCaller writer(rig.getCallerAddress(1), "db0-primary");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(300)); // replicas have it all
    for (unsigned i = 0; i < 3; ++i)
        rig.getHost(i).kill();
    rig.call([&] {
        rig.getGroup().restartEmpty("g0-a");
        rig.getStore().registerMembers();
    });
    rig.beginHost(0);
    BOOST_REQUIRE(rig.waitReady(0));
    auto answer = LineCaller(rig.getCallerAddress(0), "db0-primary").ask("READ item3");
    BOOST_TEST((!answer.isOk() || answer.rows == std::vector<std::string> { "1" }));
}

BOOST_AUTO_TEST_SUITE_END()
