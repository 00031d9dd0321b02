// The term that hosts believe a group to be in, against the one that it is in.
//
// Hosts took a lead for one term later than it was, and one of them then believed no proof of it any more. What happened, in the soak (seed 3004, ten plays at once, 10 of
// 20: one host had no primary for 30 s and more after the faults, while all others wrote through it):
//   - A primary said that it leaves and took it back 400 ms later. The handover that had begun went on: of all members the primary itself held most and was not
//     leaving any more, so it was ordered as its own successor. The platform answers that with "done" and changes nothing. The log shows `promotion-evidence` with
//     primary=true for the member that `promotion-ordered` names, and `lead` with a term that no `promotion-evidence` ever shows.
//   - "Done" was taken for a new term. A term that was worked out like this stood above whatever the primary itself showed (`lead` ... source="ordered" with term 3,
//     all floors of term 2), and nothing led back.
//   - When the primary started again, the one host that carries statements to it denied its lead. Its proof, of the true term, was refused as an old one. All others
//     still believed the lead, but hosts tell only what they have seen proven, and nobody but the carrier sees that.
#include "harness/gateway_rig.h"
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <regex>

using namespace harness;

namespace {

constexpr unsigned kHosts = 3;
constexpr milliseconds kHeard { 2500 }; // whatever a host is told or shown has reached all others: exchanges take a second at most
constexpr milliseconds kRecovered { 4000 }; // before a deputy would act on a primary that nobody knows

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
        BOOST_TEST(waitUntil(kRecovered, [&] { return getBelievedTerm(rig, i) == getTerm(rig); }), "host " << i << " believes term " << getBelievedTerm(rig, i) << ", the group is in term " << getTerm(rig));
}

size_t countPromotions(GatewayRig& rig)
{
    return rig.call([&] { return rig.getStore().getPromotionRequests().size(); });
}

}

BOOST_AUTO_TEST_SUITE(terms)

// The handover waits up to 800 ms for a replica that holds what the primary holds. Both are deaf here, so it waits for all of it.
BOOST_AUTO_TEST_CASE(a_leaving_that_is_taken_back_during_the_handover_orders_nothing)
{
    GatewayRig rig;
    rig.beginHosts();
    rig.call([&] {
        rig.getGroup().getFaults("g0-b").isReplicationStopped = true;
        rig.getGroup().getFaults("g0-c").isReplicationStopped = true;
    });
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] { rig.getStore().setLeaving("g0-a", true); });
    std::this_thread::sleep_for(milliseconds(400));
    rig.call([&] { rig.getStore().setLeaving("g0-a", false); });
    std::this_thread::sleep_for(kHeard);
    BOOST_TEST(countPromotions(rig) == 0u);
    checkTerms(rig);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(canWrite(rig, i));
}

// An order that nobody answers is repeated for up to 7.6 s.
BOOST_AUTO_TEST_CASE(a_leaving_that_is_taken_back_while_the_order_is_unanswered_replaces_nobody)
{
    GatewayRig rig;
    rig.beginHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] {
        rig.getStore().faults.ignoredHosts = { "h0", "h1", "h2" };
        rig.getStore().setLeaving("g0-a", true);
    });
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return rig.countEvents("promotion-ordered") > 0; }));
    rig.call([&] { rig.getStore().setLeaving("g0-a", false); });
    std::this_thread::sleep_for(milliseconds(1500));
    rig.call([&] { rig.getStore().faults.ignoredHosts.clear(); });
    std::this_thread::sleep_for(kHeard);
    BOOST_TEST(countPromotions(rig) == 0u);
    checkTerms(rig);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(canWrite(rig, i));
}

BOOST_AUTO_TEST_CASE(an_order_that_is_repeated_after_its_first_answer_was_lost_raises_the_term_once)
{
    GatewayRig rig;
    rig.beginHosts();
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

// A platform that carries out what it answered only after the time that it names: the member is ordered a second time, and leads by then.
BOOST_AUTO_TEST_CASE(a_member_that_is_ordered_again_before_the_first_order_took_effect_leads_one_term_later)
{
    GatewayRig rig;
    rig.beginHosts();
    BOOST_TEST(canWrite(rig, 0));
    rig.call([&] {
        rig.getStore().faults.promotionDelay = milliseconds(2600);
        rig.getGroup().kill("g0-a");
    });
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(12000), [&] { return canWrite(rig, i); }));
    checkTerms(rig);
}

// A host that takes "done" for a new term, as one of an older version does, tells all others of a lead that is two terms above the true one.
BOOST_AUTO_TEST_CASE(a_term_that_no_member_has_shown_gives_way_to_the_one_that_the_primary_shows)
{
    GatewayRig rig;
    rig.beginHosts();
    BOOST_TEST(canWrite(rig, 0));
    for (unsigned i = 0; i < kHosts; ++i)
        rig.tellLead(i, "g0", "g0-a", 3);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(1000), [&] { return getBelievedTerm(rig, i) == 3; }));
    std::this_thread::sleep_for(kHeard);
    checkTerms(rig);
    BOOST_TEST(countPromotions(rig) == 0u);
}

// Replicas hold nothing here, so the primary that started again holds as much as they do. What it had acknowledged is lost whoever leads: replication is asynchronous.
BOOST_AUTO_TEST_CASE(a_primary_that_has_lost_its_log_is_not_ordered_as_its_own_successor)
{
    GatewayRig rig;
    rig.call([&] {
        rig.getGroup().getFaults("g0-b").isReplicationStopped = true;
        rig.getGroup().getFaults("g0-c").isReplicationStopped = true;
    });
    rig.beginHosts();
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(writer.ask(fmt::format("WRITE item{} 1", i)).isOk());
    std::this_thread::sleep_for(milliseconds(1000)); // all hosts have heard of it
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

// The second half of the story at the top: the carrier alone has denied the lead. It hears of the start later than the others, which take its word meanwhile.
BOOST_AUTO_TEST_CASE(the_only_carrier_believes_its_primary_again_after_it_denied_a_lead_of_a_term_that_was_too_high)
{
    GatewayRig rig(RigShape { .hasProxies = true });
    rig.beginHosts();
    BOOST_TEST(canWrite(rig, 0));
    for (unsigned i = 0; i < kHosts; ++i)
        rig.tellLead(i, "g0", "g0-a", 3);
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(milliseconds(1000), [&] { return getBelievedTerm(rig, i) == 3; }));
    rig.setStoreCut(0, true);
    rig.call([&] {
        rig.getGroup().kill("g0-a"); // it comes back with its log
        rig.getGroup().start("g0-a");
        rig.getStore().registerMembers();
    });
    for (unsigned i : { 1U, 2U })
        BOOST_TEST(waitUntil(kRecovered, [&] { return canWrite(rig, i); }));
    rig.setStoreCut(0, false);
    BOOST_TEST(waitUntil(kRecovered, [&] { return rig.countEvents("member-restarted") >= kHosts; }));
    for (unsigned i = 0; i < kHosts; ++i)
        BOOST_TEST(waitUntil(kRecovered, [&] { return canWrite(rig, i); }), "host " << i << " has no primary");
    BOOST_TEST(countPromotions(rig) == 0u);
    checkTerms(rig);
}

BOOST_AUTO_TEST_SUITE_END()
