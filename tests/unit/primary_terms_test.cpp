// Which primary a host believes in when ordered promotions and the terms that members prove disagree.
#include "gateway/cluster_view.h"
#include "gateway/status_exchange.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::gateway;
using decisions::KnownPrimary;

namespace {

const TimePoint kStart = TimePoint() + milliseconds(100000);

GroupView makeProven(const std::string& member, uint64_t term)
{
    GroupView group;
    applyProvenPrimary(group, member, term, kStart, ProofRecipient::ThisHost);
    return group;
}

}

BOOST_AUTO_TEST_SUITE(primary_terms)

BOOST_AUTO_TEST_CASE(an_assumed_term_is_kept_until_its_promotion_order_times_out)
{
    auto group = makeProven("a", 1);
    applyOrderedPrimary(group, "b", 2, kStart);
    // The old primary, asked before or during its replacement.
    applyProvenPrimary(group, "a", 1, kStart - milliseconds(1), ProofRecipient::ThisHost);
    BOOST_TEST((group.primary == KnownPrimary { "b", 2, false }));
    applyProvenPrimary(group, "a", 1, group.promotionPendingUntil - milliseconds(1), ProofRecipient::ThisHost);
    BOOST_TEST((group.primary == KnownPrimary { "b", 2, false }));
    // Asked after the timeout: the order had no effect.
    applyProvenPrimary(group, "a", 1, group.promotionPendingUntil, ProofRecipient::ThisHost);
    BOOST_TEST((group.primary == KnownPrimary { "a", 1, true }));
}

BOOST_AUTO_TEST_CASE(a_proven_term_is_never_replaced_by_an_older_one)
{
    auto group = makeProven("a", 1);
    applyOrderedPrimary(group, "b", 2, kStart);
    applyProvenPrimary(group, "b", 2, kStart + milliseconds(300), ProofRecipient::ThisHost);
    BOOST_TEST((group.primary == KnownPrimary { "b", 2, true }));
    for (auto recipient : { ProofRecipient::ThisHost, ProofRecipient::AnotherHost })
        applyProvenPrimary(group, "a", 1, kStart + milliseconds(60000), recipient);
    BOOST_TEST((group.primary == KnownPrimary { "b", 2, true }));
    applyProvenTerm(group, 3); // known to members
    applyProvenPrimary(group, "b", 2, kStart + milliseconds(60000), ProofRecipient::ThisHost);
    BOOST_TEST((group.primary == KnownPrimary { "", 3, false }));
}

// Guards against a primary that is promoted again and denies the assumed term: its proof of the actual term must still count.
BOOST_AUTO_TEST_CASE(proof_of_a_lower_term_is_accepted_after_denial_of_a_term_that_was_too_high)
{
    for (auto recipient : { ProofRecipient::ThisHost, ProofRecipient::AnotherHost }) {
        auto group = makeProven("a", 2);
        applyOrderedPrimary(group, "a", 3, kStart);
        group.primary = decisions::applyPrimaryDenial(group.primary, "a");
        applyProvenPrimary(group, "a", 2, group.promotionPendingUntil + milliseconds(1), recipient);
        BOOST_TEST((group.primary == KnownPrimary { "a", 2, recipient == ProofRecipient::ThisHost }));
    }
}

// Guards against trusting a primary that was replaced without this host's knowledge.
BOOST_AUTO_TEST_CASE(an_assumed_term_is_not_replaced_by_one_older_than_the_proven_term)
{
    auto group = makeProven("b", 2);
    applyOrderedPrimary(group, "c", 3, kStart);
    applyProvenPrimary(group, "a", 1, kStart + milliseconds(60000), ProofRecipient::ThisHost);
    BOOST_TEST((group.primary == KnownPrimary { "c", 3, false }));
}

// Guards against two hosts that keep reviving a discarded assumed term in each other.
BOOST_AUTO_TEST_CASE(a_discarded_assumed_term_is_accepted_again_from_a_new_order_only)
{
    auto group = makeProven("a", 2);
    applyAssumedPrimary(group, "a", 3, kStart);
    BOOST_TEST((group.primary == KnownPrimary { "a", 3, false }));
    auto now = group.promotionPendingUntil + milliseconds(1);
    applyProvenPrimary(group, "a", 2, now, ProofRecipient::ThisHost);
    applyAssumedPrimary(group, "a", 3, now);
    BOOST_TEST((group.primary == KnownPrimary { "a", 2, true }));
    applyOrderedPrimary(group, "b", 3, now); // the next promotion
    BOOST_TEST((group.primary == KnownPrimary { "b", 3, false }));
}

BOOST_AUTO_TEST_CASE(a_promotion_order_is_passed_on_while_it_is_pending)
{
    ClusterView view;
    auto& group = view.groups["g"];
    applyProvenPrimary(group, "m", 2, kStart, ProofRecipient::ThisHost);
    group.floors = decisions::addFloor({}, { { 2, 50 }, kStart });
    group.lastProofAt = kStart;
    applyOrderedPrimary(group, "n", 3, kStart);
    peer::Pong wire;
    writeGroupStatus(wire, view, false, kStart + milliseconds(500));
    BOOST_TEST(wire.leads_size() == 1);
    BOOST_TEST((findEvidenceTimes(wire, kStart).at(0) == std::nullopt)); // reported without proof
    group.lastProofAt = group.promotionPendingUntil;
    peer::Pong later;
    writeGroupStatus(later, view, false, group.promotionPendingUntil);
    BOOST_TEST(later.leads_size() == 0);
}

BOOST_AUTO_TEST_CASE(a_reported_primary_is_proven_by_a_floor_of_its_term)
{
    ClusterView view;
    for (auto* name : { "f", "g", "h" }) {
        view.groups[name].floors = decisions::addFloor({}, { { 2, 50 }, kStart - milliseconds(200) });
        view.groups[name].lastProofAt = kStart;
    }
    view.groups["f"].primary = { "m", 2, true };
    view.groups["g"].primary = { "n", 3, false }; // assumed from a new order
    view.groups["h"].primary = { "o", 2, true };
    peer::Pong wire;
    writeGroupStatus(wire, view, false, kStart);
    BOOST_TEST(wire.leads_size() == 2); // an assumed term is not reported
    auto& assumed = *wire.add_leads(); // as hosts of an older version send it
    assumed.set_group("h");
    assumed.set_term(3);
    auto times = findEvidenceTimes(wire, kStart + milliseconds(1000));
    BOOST_TEST(times.size() == 3u);
    for (size_t i : { 0U, 1U })
        BOOST_TEST((times[i] == std::optional(kStart + milliseconds(800))));
    BOOST_TEST((times[2] == std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()
