// Freshness bounds, routing and write confirmation, which read-your-writes and acknowledged writes depend on.
#include "decisions/routing.h"
#include "fixtures.h"
#include <boost/test/unit_test.hpp>

using namespace alderward::decisions;
using fixtures::at;
using fixtures::makeRecord;
using std::chrono::milliseconds;

namespace {

MemberStatus makeStatus(Role role, uint64_t position, uint64_t term = 1, uint64_t fenced = 0)
{
    MemberStatus status;
    status.term = term;
    status.fencedTerm = fenced;
    status.role = role;
    status.log = { term, position, { { 1, 1 } } };
    if (term > 1)
        status.log.history.push_back({ term, 50 });
    return status;
}

// Primary a at position 100, replicas b at 100 and c at 40, all probed at `ms`.
GroupHealth makeGroup(int ms)
{
    auto health = makeHealth(makeRecord(), at(0));
    health = applyStatus(health, 0, makeStatus(Role::Primary, 100), at(ms), at(ms));
    health = applyStatus(health, 1, makeStatus(Role::Replica, 100), at(ms), at(ms));
    return applyStatus(health, 2, makeStatus(Role::Replica, 40), at(ms), at(ms));
}

const std::vector<TargetLoad> kIdle(3);

}

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(read_of_any_age_goes_to_a_replica_that_holds_the_mark)
{
    auto route = routeRead(makeGroup(10), kIdle, { { 1, 90 }, {} }, at(11));
    BOOST_TEST((route.kind == RouteKind::Member));
    BOOST_TEST(route.member == 1u);
}

BOOST_AUTO_TEST_CASE(read_prefers_a_replica_without_queue_to_the_primary)
{
    std::vector<TargetLoad> loads(3);
    loads[0].isNear = true;
    loads[1].running = 2;
    BOOST_TEST(routeRead(makeGroup(10), loads, { { 1, 90 }, {}, {} }, at(11)).member == 1u);
    loads[1].waiting = 1;
    BOOST_TEST(routeRead(makeGroup(10), loads, { { 1, 90 }, {}, {} }, at(11)).member == 0u);
}

BOOST_AUTO_TEST_CASE(read_ahead_of_all_reachable_members_waits)
{
    auto health = makeGroup(10);
    std::vector<TargetLoad> loads(3);
    loads[0].isUsable = false;
    // Replica b was level with the primary, so it is tried once; c is too far behind.
    BOOST_TEST(routeRead(health, loads, { { 1, 500 }, {}, {} }, at(5000)).member == 1u);
    auto route = routeRead(health, loads, { { 1, 500 }, {}, { 1 } }, at(5000));
    BOOST_TEST((route.kind == RouteKind::Wait));
    BOOST_TEST((route.reason == ErrorKind::NotCaughtUp));
}

BOOST_AUTO_TEST_CASE(primary_serves_a_mark_of_its_term_that_its_last_probe_did_not_show)
{
    auto route = routeRead(makeGroup(10), kIdle, { { 1, 101 }, {} }, at(500));
    BOOST_TEST((route.kind == RouteKind::Member));
    BOOST_TEST(route.member == 0u);
}

BOOST_AUTO_TEST_CASE(session_with_lost_writes_is_refused_reads_and_writes)
{
    auto health = makeHealth(makeRecord(), at(0));
    for (size_t i = 0; i < 3; ++i)
        health = applyStatus(health, i, makeStatus(i == 1 ? Role::Primary : Role::Replica, 70, 2), at(10), at(10));
    auto route = routeRead(health, kIdle, { { 1, 60 }, {} }, at(11));
    BOOST_TEST((route.kind == RouteKind::Refuse));
    BOOST_TEST((route.reason == ErrorKind::SessionWritesLost));
    BOOST_TEST((route.markAfterLoss == Mark { 2, 50 }));
    BOOST_TEST((routeWrite(health, kIdle, { 1, 60 }).kind == RouteKind::Refuse));
    BOOST_TEST((routeWrite(health, kIdle, { 1, 60 }).markAfterLoss == Mark { 2, 50 }));
    BOOST_TEST((routeWrite(health, kIdle, { 1, 49 }).kind == RouteKind::Member));
}

BOOST_AUTO_TEST_CASE(staleness_bound_grows_from_the_newest_confirmed_probe_that_the_position_reached)
{
    auto health = makeGroup(10);
    BOOST_TEST((getStalenessBound(health, 1, 100, at(60)) == milliseconds(50)));
    BOOST_TEST(!getStalenessBound(health, 1, 99, at(60)));
    BOOST_TEST(!getStalenessBound(health, 2, 100, at(60)));
}

BOOST_AUTO_TEST_CASE(a_probe_without_majority_does_not_renew_freshness)
{
    auto health = makeGroup(10);
    // The primary still answers this host and advances; its replicas are unreachable.
    health = applyStatus(health, 0, makeStatus(Role::Primary, 200), at(1000), at(1000));
    health = applyProbeFailure(health, 1, false, at(1000));
    health = applyProbeFailure(health, 2, false, at(1000));
    BOOST_TEST((getStalenessBound(health, 1, 200, at(1010)) == milliseconds(1000)));
    auto route = routeRead(health, kIdle, { {}, milliseconds(100) }, at(1010));
    BOOST_TEST((route.kind != RouteKind::Member || route.member == 0u));
}

BOOST_AUTO_TEST_CASE(a_primary_fenced_by_a_majority_is_not_primary)
{
    auto health = makeGroup(10);
    health = applyStatus(health, 1, makeStatus(Role::Replica, 100, 1, 2), at(20), at(20));
    BOOST_TEST(health.primary.has_value());
    health = applyStatus(health, 2, makeStatus(Role::Replica, 40, 1, 2), at(20), at(20));
    BOOST_TEST(!health.primary.has_value());
}

BOOST_AUTO_TEST_CASE(an_older_answer_does_not_replace_a_newer_one)
{
    auto health = makeGroup(50);
    auto after = applyStatus(health, 0, makeStatus(Role::Primary, 1), at(20), at(60));
    BOOST_TEST((after == health));
    BOOST_TEST((applyProbeFailure(health, 0, false, at(20)) == health));
}

BOOST_AUTO_TEST_CASE(the_newest_freshness_checkpoint_is_never_dropped)
{
    auto health = makeGroup(10);
    for (int i = 0; i < 300; ++i)
        health = applyStatus(health, 0, makeStatus(Role::Primary, 100), at(100 + i), at(100 + i));
    BOOST_TEST((getStalenessBound(health, 1, 100, at(1000)) == milliseconds(990)));
}

// ---- confirmation ----

BOOST_AUTO_TEST_CASE(write_is_confirmed_by_a_majority_in_its_term_after_it_ran)
{
    PendingWrite write { { 1, 100 }, at(50), false };
    BOOST_TEST((confirmWrite(write, { { 1, 0, 10, at(49) }, {} }, 3) == Confirmation::Pending));
    BOOST_TEST((confirmWrite(write, { { 1, 0, 10, at(50) }, {} }, 3) == Confirmation::Confirmed));
    BOOST_TEST((confirmWrite(write, { { 1, 2, 10, at(60) }, {} }, 3) == Confirmation::Pending));
    BOOST_TEST((confirmWrite(write, { { 1, 2, 10, at(60) }, { 2, 2, 10, at(60) } }, 3) == Confirmation::Superseded));
}

BOOST_AUTO_TEST_CASE(replicated_write_needs_its_position_at_a_majority)
{
    PendingWrite write { { 1, 100 }, at(50), true };
    BOOST_TEST((confirmWrite(write, { { 1, 0, 99, at(60) }, { 1, 0, 99, at(60) } }, 3) == Confirmation::Pending));
    BOOST_TEST((confirmWrite(write, { { 1, 0, 100, at(40) }, {} }, 3) == Confirmation::Confirmed));
    // A member fenced by a later term does not count, even if it holds the entry.
    BOOST_TEST((confirmWrite(write, { { 1, 2, 100, at(60) }, {} }, 3) == Confirmation::Pending));
    BOOST_TEST((confirmWrite(write, {}, 1) == Confirmation::Confirmed));
}

BOOST_AUTO_TEST_CASE(write_is_held_only_while_a_primary_can_become_available)
{
    auto health = makeHealth(makeRecord(), at(0));
    WriteHoldConditions view { health };
    view.majority = 2;
    view.maxHeld = 10;
    view.primaryLostAt = at(0);
    BOOST_TEST(canHoldWrite(view, at(1)));
    // One replica has answered; the primary may be one of the two that have not been probed yet.
    health = applyStatus(health, 1, makeStatus(Role::Replica, 100), at(1), at(1));
    BOOST_TEST(canHoldWrite(view, at(2)));
    health = applyProbeFailure(health, 0, true, at(1));
    health = applyProbeFailure(health, 2, true, at(1));
    BOOST_TEST(!canHoldWrite(view, at(2)));
    health = applyStatus(health, 2, makeStatus(Role::Replica, 100), at(3), at(3));
    BOOST_TEST(canHoldWrite(view, at(4)));
    BOOST_TEST(!canHoldWrite(view, at(5001)));
    view.isPathFault = true;
    BOOST_TEST(!canHoldWrite(view, at(4)));
    view.isPathFault = false;
    view.isPromotionHeldBack = true;
    BOOST_TEST(!canHoldWrite(view, at(4)));
    view.isPromotionHeldBack = false;
    view.held = 10;
    BOOST_TEST(!canHoldWrite(view, at(4)));
}

// Guards against a read of a demoted primary that is confirmed in the term of its successor.
BOOST_AUTO_TEST_CASE(member_was_primary_of_a_read_only_in_the_term_in_which_it_was_asked)
{
    BOOST_TEST(wasPrimaryOfTerm(1, { 1, 100 }, { 1, 1, { 1, 100 } }));
    BOOST_TEST(!wasPrimaryOfTerm(0, { 1, 100 }, { 1, 1, { 1, 100 } }));
    BOOST_TEST(!wasPrimaryOfTerm(1, { 1, 100 }, { 2, 2, { 1, 100 } })); // follows the next primary
    BOOST_TEST(!wasPrimaryOfTerm(1, { 1, 100 }, { 1, 2, { 1, 100 } })); // has granted a later term
    BOOST_TEST(wasPrimaryOfTerm(1, { 1, 100 }, {}));
    BOOST_TEST(!wasPrimaryOfTerm(1, { 2, 100 }, {}));
}

BOOST_AUTO_TEST_SUITE_END()
