// Terms that hosts believe a group to be in. Guards against a host that assumes too high a term, for example after an order that the
// platform answered without a change of primary, and then refuses every proof of the true primary.
#include "harness/gateway_rig.h"
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <regex>

using namespace harness;

namespace {

constexpr unsigned kHosts = 3;
constexpr milliseconds kPropagationTime { 2500 }; // until an update has reached all hosts
constexpr milliseconds kRecoveryLimit { 4000 }; // less than the time after which a standby acts if no primary is known

bool canWrite(GatewayRig& rig, unsigned host)
{
    return LineCaller(rig.getCallerAddress(host), "db0-primary").ask("WRITE x 1").isOk();
}

uint64_t getBelievedTerm(GatewayRig& rig, unsigned host)
{
    std::smatch match;
    auto metrics = rig.getMetrics(host);
    bool isFound = std::regex_search(metrics, match, std::regex("alderward_term\\{group=\"g0\"\\} ([0-9]+)"));
    return isFound ? std::stoull(match[1]) : 0;
}

uint64_t getTerm(GatewayRig& rig)
{
    return rig.call([&] { return rig.getGroup().getTerm(); });
}

void checkTerms(GatewayRig& rig)
{
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return getBelievedTerm(rig, i) == getTerm(rig); }), "host " << i << " believes term " << getBelievedTerm(rig, i) << ", the group is in term " << getTerm(rig));
}

size_t countPromotions(GatewayRig& rig)
{
    return rig.call([&] { return rig.getStore().getPromotionRequests().size(); });
}

}

BOOST_AUTO_TEST_SUITE(terms)

// The handover waits for a replica to catch up. No replica does here, so it waits until its timeout.
BOOST_AUTO_TEST_CASE(a_primary_that_stops_leaving_during_the_handover_stays)
{
    GatewayRig rig;
    rig.startHosts();
    rig.call([&] {
        rig.getGroup().getFaults("g0-b").isReplicationStopped = true;
        rig.getGroup().getFaults("g0-c").isReplicationStopped = true;
    });
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    std::this_thread::sleep_for(milliseconds(400));
    rig.call([&] { rig.getStore().setLeaving("g0-a", false); });
    std::this_thread::sleep_for(kPropagationTime);
    BOOST_TEST(countPromotions(rig) == 0u);
    checkTerms(rig);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(canWrite(rig, i));
}

BOOST_AUTO_TEST_CASE(a_primary_that_stops_leaving_while_the_order_is_unanswered_stays)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] {
        rig.getStore().faults.ignoredHosts = { "h0", "h1", "h2" };
        rig.getStore().setLeaving("g0-a", true);
    });
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return rig.countEvents("promotion-ordered") > 0; }));
    rig.call([&] { rig.getStore().setLeaving("g0-a", false); });
    std::this_thread::sleep_for(milliseconds(1500));
    rig.call([&] { rig.getStore().faults.ignoredHosts.clear(); });
    std::this_thread::sleep_for(kPropagationTime);
    BOOST_TEST(countPromotions(rig) == 0u);
    checkTerms(rig);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(canWrite(rig, i));
}

BOOST_AUTO_TEST_CASE(an_order_repeated_after_a_lost_answer_raises_the_term_once)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] {
        rig.getStore().faults.losesPromotionReplies = true;
        rig.getGroup().kill("g0-a");
    });
    BOOST_TEST(waitUntil(milliseconds(4000), [&] { return getTerm(rig) == 2; }));
    rig.call([&] { rig.getStore().faults.losesPromotionReplies = false; });
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(5000), [&] { return canWrite(rig, i); }));
    checkTerms(rig);
    BOOST_TEST(getTerm(rig) == 2u);
}

// The platform carries out the order late: the same member is ordered again, and is already primary by then.
BOOST_AUTO_TEST_CASE(hosts_agree_on_the_term_after_a_second_order_to_the_same_member)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] {
        rig.getStore().faults.promotionDelay = milliseconds(2600);
        rig.getGroup().kill("g0-a");
    });
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(12000), [&] { return canWrite(rig, i); }));
    checkTerms(rig);
}

// Simulates a host of an older version that assumes a new term after every successful order, and reports a term above the true one.
BOOST_AUTO_TEST_CASE(a_term_confirmed_by_the_primary_replaces_a_higher_assumed_term)
{
    GatewayRig rig;
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    for (unsigned i = 0; i < kHosts; ++i)
        rig.announcePrimary(i, "g0", "g0-a", 3);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(1000), [&] { return getBelievedTerm(rig, i) == 3; }));
    std::this_thread::sleep_for(kPropagationTime);
    checkTerms(rig);
    BOOST_TEST(countPromotions(rig) == 0u);
}

// Replicas are empty here, so the restarted primary holds as much as they do. Its commits are lost in any case, as replication is asynchronous.
BOOST_AUTO_TEST_CASE(a_primary_that_lost_its_log_is_not_promoted_again)
{
    GatewayRig rig;
    rig.call([&] {
        rig.getGroup().getFaults("g0-b").isReplicationStopped = true;
        rig.getGroup().getFaults("g0-c").isReplicationStopped = true;
    });
    rig.startHosts();
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(1000)); // all hosts receive the floor
    rig.call([&] {
        rig.getGroup().restartEmpty("g0-a");
        rig.getStore().registerMembers();
    });
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return canWrite(rig, i); }));
    for (auto& it : rig.call([&] { return rig.getStore().getPromotionRequests(); }))
        BOOST_TEST(it.member != "g0-a");
    checkTerms(rig);
}

// The only forwarder of the primary learns of the primary's restart later than the other hosts, and must not refuse its proofs as outdated.
BOOST_AUTO_TEST_CASE(the_only_forwarder_trusts_a_restarted_primary_after_too_high_an_assumed_term)
{
    GatewayRig rig(RigOptions { .hasProxies = true });
    rig.startHosts();
    BOOST_TEST(canWrite(rig, 0));
    for (unsigned i = 0; i < kHosts; ++i)
        rig.announcePrimary(i, "g0", "g0-a", 3);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(1000), [&] { return getBelievedTerm(rig, i) == 3; }));
    rig.setStoreIsolated(0, true);
    rig.call([&] {
        rig.getGroup().kill("g0-a"); // restarts with its log
        rig.getGroup().start("g0-a");
        rig.getStore().registerMembers();
    });
    for (unsigned i : { 1U, 2U })
        BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return canWrite(rig, i); }));
    rig.setStoreIsolated(0, false);
    BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return rig.countEvents("member-restarted") >= kHosts; }));
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(kRecoveryLimit, [&] { return canWrite(rig, i); }), "host " << i << " has no primary");
    BOOST_TEST(countPromotions(rig) == 0u);
    checkTerms(rig);
}

BOOST_AUTO_TEST_SUITE_END()
