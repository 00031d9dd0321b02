// Whether a host that knows no position of a group may believe its primary.
#include "decisions/comparison.h"
#include "gateway/cluster_view.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::gateway;
using decisions::mayBelievePrimary;
using decisions::ReplicaWitness;

namespace {

const TimePoint kStart = TimePoint() + milliseconds(100000);
constexpr ReplicaWitness kSilent { false, true };
constexpr ReplicaWitness kAnswered { true, true };
constexpr ReplicaWitness kAlikeAnswered { true, false };
constexpr ReplicaWitness kAlikeSilent { false, false };
constexpr ReplicaWitness kYoungSilent { false, false, true };
constexpr ReplicaWitness kYoungAnswered { true, false, true };

}

BOOST_AUTO_TEST_SUITE(comparison)

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_answer_agrees_with_nothing)
{
    BOOST_TEST(!mayBelievePrimary({ kSilent, kSilent }));
    BOOST_TEST(!mayBelievePrimary({ kSilent }));
    BOOST_TEST(mayBelievePrimary({ kAnswered, kAnswered }));
    BOOST_TEST(mayBelievePrimary({ kAnswered, kSilent })); // with the primary two of three, as for a promotion
    BOOST_TEST(!mayBelievePrimary({ kAnswered, kSilent, kSilent, kSilent }));
}

BOOST_AUTO_TEST_CASE(a_replica_that_started_after_the_primary_is_not_needed_and_tells_nothing)
{
    BOOST_TEST(mayBelievePrimary({}));
    BOOST_TEST(mayBelievePrimary({ kYoungSilent, kYoungSilent })); // a new group whose replicas are late
    BOOST_TEST(!mayBelievePrimary({ kYoungAnswered, kSilent })); // it started with nothing, too
    BOOST_TEST(mayBelievePrimary({ kYoungSilent, kAnswered }));
}

// All hosts started 2 s after a handover: the old primary, the oldest of four by its count, had ended and was still listed. The group was refused until its entry lapsed.
BOOST_AUTO_TEST_CASE(a_member_that_has_ended_and_is_still_listed_does_not_stop_a_group_whose_other_replicas_answer)
{
    BOOST_TEST(mayBelievePrimary({ kAlikeAnswered, kAlikeAnswered, kSilent }));
    BOOST_TEST(!mayBelievePrimary({ kAlikeAnswered, kAlikeSilent, kSilent }));
    BOOST_TEST(mayBelievePrimary({ kAlikeSilent, kAlikeSilent }));
}

BOOST_AUTO_TEST_CASE(which_process_is_older_goes_by_whatever_speaks_for_it)
{
    BOOST_TEST(mayBeOlder({ 1000, 1 }, { 1001, 1 }));
    BOOST_TEST(!mayBeOlder({ 1001, 1 }, { 1000, 1 }));
    BOOST_TEST(!mayBeOlder({ 1000, 1 }, { 1000, 1 }));
    BOOST_TEST(mayBeOlder({ 0, 40 }, { 0, 3 }));
    BOOST_TEST(!mayBeOlder({ 0, 41 }, { 0, 40 })); // two that started together count at different moments
    BOOST_TEST(!mayBeOlder({ 0, 43 }, { 0, 40 })); // and one has said that it leaves, and that its role changed twice
    BOOST_TEST(mayBeOlder({ 5000, 40 }, { 1000, 3 })); // a clock that is wrong
    BOOST_TEST(mayBeOlder({ 0, 0 }, { 0, 0 })); // nothing is said
}

// A host that compared, and has no floor yet, would go on trusting the process that came after.
BOOST_AUTO_TEST_CASE(a_primary_that_starts_again_after_the_comparison_is_compared_anew)
{
    ClusterView view;
    links::RegisteredMember member { .id = "m", .group = "g", .address = "10.0.0.1:1", .dataCentre = "a", .slots = 2, .saysPrimary = true, .incarnation = { 1000, 1 } };
    takeMember(view, member, 1, {}, kStart);
    view.groups["g"].wasCompared = true;
    BOOST_TEST(canTellLostLog(view.groups["g"]));
    member.incarnation = { 2000, 1 };
    BOOST_TEST((takeMember(view, member, 2, {}, kStart) == MemberChange::StartedAgain));
    BOOST_TEST(!canTellLostLog(view.groups["g"]));
}

BOOST_AUTO_TEST_SUITE_END()
