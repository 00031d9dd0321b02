// Terms that follow from orders against terms that members show.
#include "gateway/cluster_view.h"
#include "gateway/status_exchange.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::gateway;
using decisions::KnownPrimary;

namespace {

const TimePoint kStart = TimePoint() + milliseconds(100000);

GroupBelief makeShown(const std::string& member, uint64_t term)
{
    GroupBelief group;
    takeShownLead(group, member, term, kStart, ShownTo::ThisHost);
    return group;
}

}

BOOST_AUTO_TEST_SUITE(lead_terms)

BOOST_AUTO_TEST_CASE(an_assumed_term_stands_until_its_order_has_had_its_time)
{
    auto group = makeShown("a", 1);
    takeOrderedLead(group, "b", 2, kStart);
    // The old primary, asked before it was replaced or while it is being replaced.
    takeShownLead(group, "a", 1, kStart - milliseconds(1), ShownTo::ThisHost);
    BOOST_TEST((group.lead == KnownPrimary { "b", 2, false }));
    takeShownLead(group, "a", 1, group.pendingUntil - milliseconds(1), ShownTo::ThisHost);
    BOOST_TEST((group.lead == KnownPrimary { "b", 2, false }));
    // It answers after that: the order changed nothing.
    takeShownLead(group, "a", 1, group.pendingUntil, ShownTo::ThisHost);
    BOOST_TEST((group.lead == KnownPrimary { "a", 1, true }));
}

BOOST_AUTO_TEST_CASE(a_term_that_was_shown_gives_way_to_no_older_one)
{
    auto group = makeShown("a", 1);
    takeOrderedLead(group, "b", 2, kStart);
    takeShownLead(group, "b", 2, kStart + milliseconds(300), ShownTo::ThisHost);
    BOOST_TEST((group.lead == KnownPrimary { "b", 2, true }));
    for (auto shownTo : { ShownTo::ThisHost, ShownTo::AnotherHost })
        takeShownLead(group, "a", 1, kStart + milliseconds(60000), shownTo);
    BOOST_TEST((group.lead == KnownPrimary { "b", 2, true }));
    takeShownTerm(group, 3); // members know it
    takeShownLead(group, "b", 2, kStart + milliseconds(60000), ShownTo::ThisHost);
    BOOST_TEST((group.lead == KnownPrimary { "", 3, false }));
}

// Ordered as its own successor, and denied after that.
BOOST_AUTO_TEST_CASE(a_host_that_denied_a_lead_of_a_term_that_was_too_high_believes_its_proof)
{
    for (auto shownTo : { ShownTo::ThisHost, ShownTo::AnotherHost }) {
        auto group = makeShown("a", 2);
        takeOrderedLead(group, "a", 3, kStart);
        group.lead = decisions::applyPrimaryDenial(group.lead, "a");
        takeShownLead(group, "a", 2, group.pendingUntil + milliseconds(1), shownTo);
        BOOST_TEST((group.lead == KnownPrimary { "a", 2, shownTo == ShownTo::ThisHost }));
    }
}

// A primary that was replaced without this host: older than any term that a member showed here, it is not believed however late it is asked.
BOOST_AUTO_TEST_CASE(an_assumed_term_gives_way_to_nothing_older_than_what_was_shown)
{
    auto group = makeShown("b", 2);
    takeOrderedLead(group, "c", 3, kStart);
    takeShownLead(group, "a", 1, kStart + milliseconds(60000), ShownTo::ThisHost);
    BOOST_TEST((group.lead == KnownPrimary { "c", 3, false }));
}

// Two hosts that give an assumed term up at different moments told it to each other again.
BOOST_AUTO_TEST_CASE(an_assumed_term_that_gave_way_is_taken_from_the_orderer_only)
{
    auto group = makeShown("a", 2);
    takeAssumedLead(group, "a", 3, kStart);
    BOOST_TEST((group.lead == KnownPrimary { "a", 3, false }));
    auto now = group.pendingUntil + milliseconds(1);
    takeShownLead(group, "a", 2, now, ShownTo::ThisHost);
    takeAssumedLead(group, "a", 3, now);
    BOOST_TEST((group.lead == KnownPrimary { "a", 2, true }));
    takeOrderedLead(group, "b", 3, now); // the next change of primary
    BOOST_TEST((group.lead == KnownPrimary { "b", 3, false }));
}

BOOST_AUTO_TEST_CASE(an_order_is_told_on_while_it_is_pending)
{
    ClusterView view;
    auto& group = view.groups["g"];
    takeShownLead(group, "m", 2, kStart, ShownTo::ThisHost);
    group.floors = decisions::addFloor({}, { { 2, 50 }, kStart });
    group.provenAt = kStart;
    takeOrderedLead(group, "n", 3, kStart);
    peer::Pong wire;
    writeGroups(wire, view, false, kStart + milliseconds(500));
    BOOST_TEST(wire.leads_size() == 1);
    BOOST_TEST((findLeadTimes(wire, kStart).at(0) == std::nullopt)); // told, and not shown
    group.provenAt = group.pendingUntil;
    peer::Pong later;
    writeGroups(later, view, false, group.pendingUntil);
    BOOST_TEST(later.leads_size() == 0);
}

BOOST_AUTO_TEST_CASE(a_told_lead_is_shown_by_a_floor_of_its_term)
{
    ClusterView view;
    for (auto* name : { "f", "g", "h" }) {
        view.groups[name].floors = decisions::addFloor({}, { { 2, 50 }, kStart - milliseconds(200) });
        view.groups[name].provenAt = kStart;
    }
    view.groups["f"].lead = { "m", 2, true };
    view.groups["g"].lead = { "n", 3, false }; // ordered just now, and assumed
    view.groups["h"].lead = { "o", 2, true };
    peer::Pong wire;
    writeGroups(wire, view, false, kStart);
    BOOST_TEST(wire.leads_size() == 2); // an assumed term is not told
    auto& assumed = *wire.add_leads(); // as a host of an older version does
    assumed.set_group("h");
    assumed.set_term(3);
    auto times = findLeadTimes(wire, kStart + milliseconds(1000));
    BOOST_TEST(times.size() == 3u);
    for (size_t i : { 0U, 1U })
        BOOST_TEST((times[i] == std::optional(kStart + milliseconds(800))));
    BOOST_TEST((times[2] == std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()
