// Whether a host that knows no log position of a group can trust its primary.
#include "decisions/comparison.h"
#include "gateway/cluster_view.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::gateway;
using decisions::canTrustPrimary;
using decisions::QueriedReplica;

namespace {

const TimePoint kStart = TimePoint() + milliseconds(100000);
constexpr QueriedReplica kSilent { false, true };
constexpr QueriedReplica kAnswered { true, true };
constexpr QueriedReplica kSameAgeAnswered { true, false };
constexpr QueriedReplica kSameAgeSilent { false, false };
constexpr QueriedReplica kYoungerSilent { false, false, true };
constexpr QueriedReplica kYoungerAnswered { true, false, true };

}

BOOST_AUTO_TEST_SUITE(comparison)

BOOST_AUTO_TEST_CASE(replica_without_an_answer_does_not_count_as_agreement)
{
    BOOST_TEST(!canTrustPrimary({ kSilent, kSilent }));
    BOOST_TEST(!canTrustPrimary({ kSilent }));
    BOOST_TEST(canTrustPrimary({ kAnswered, kAnswered }));
    BOOST_TEST(canTrustPrimary({ kAnswered, kSilent })); // a majority of three with the primary
    BOOST_TEST(!canTrustPrimary({ kAnswered, kSilent, kSilent, kSilent }));
}

BOOST_AUTO_TEST_CASE(replica_that_started_after_the_primary_is_not_counted)
{
    BOOST_TEST(canTrustPrimary({}));
    BOOST_TEST(canTrustPrimary({ kYoungerSilent, kYoungerSilent })); // a new group whose replicas start later
    BOOST_TEST(!canTrustPrimary({ kYoungerAnswered, kSilent })); // the replica that answered may lack the same entries
    BOOST_TEST(canTrustPrimary({ kYoungerSilent, kAnswered }));
}

// Guards against a group being refused until the entry of its old primary, which has ended, expires.
BOOST_AUTO_TEST_CASE(ended_member_that_is_still_listed_does_not_block_a_group_whose_other_replicas_answer)
{
    BOOST_TEST(canTrustPrimary({ kSameAgeAnswered, kSameAgeAnswered, kSilent }));
    BOOST_TEST(!canTrustPrimary({ kSameAgeAnswered, kSameAgeSilent, kSilent }));
    BOOST_TEST(canTrustPrimary({ kSameAgeSilent, kSameAgeSilent }));
}

BOOST_AUTO_TEST_CASE(either_start_time_or_sequence_may_show_an_older_process)
{
    BOOST_TEST(mayHaveStartedBefore({ 1000, 1 }, { 1001, 1 }));
    BOOST_TEST(!mayHaveStartedBefore({ 1001, 1 }, { 1000, 1 }));
    BOOST_TEST(!mayHaveStartedBefore({ 1000, 1 }, { 1000, 1 }));
    BOOST_TEST(mayHaveStartedBefore({ 0, 40 }, { 0, 3 }));
    BOOST_TEST(!mayHaveStartedBefore({ 0, 41 }, { 0, 40 })); // processes that started together count at different times
    BOOST_TEST(!mayHaveStartedBefore({ 0, 43 }, { 0, 40 })); // a leave and two role changes also count
    BOOST_TEST(mayHaveStartedBefore({ 5000, 40 }, { 1000, 3 })); // wrong clock
    BOOST_TEST(mayHaveStartedBefore({ 0, 0 }, { 0, 0 })); // nothing is reported
    BOOST_TEST(mayHaveStartedBefore({ 0, UINT64_MAX }, { 0, 3 }));
    BOOST_TEST(!mayHaveStartedBefore({ 0, 3 }, { 0, UINT64_MAX })); // the sum of a sequence and the skew would overflow
    BOOST_TEST(!mayHaveStartedBefore({ 0, UINT64_MAX }, { 0, UINT64_MAX - 1 }));
}

// Guards against trusting a restarted primary because of a comparison with its previous process.
BOOST_AUTO_TEST_CASE(restarted_primary_is_compared_again)
{
    ClusterView view;
    links::RegisteredMember member { .id = "m", .group = "g", .address = "10.0.0.1:1", .dataCentre = "a", .slots = 2, .saysPrimary = true, .incarnation = { 1000, 1 } };
    applyMember(view, member, 1, {}, kStart);
    view.groups["g"].wasComparedWithReplicas = true;
    BOOST_TEST(canDetectLostLog(view.groups["g"]));
    member.incarnation = { 2000, 1 };
    BOOST_TEST((applyMember(view, member, 2, {}, kStart) == MemberChange::Restarted));
    BOOST_TEST(!canDetectLostLog(view.groups["g"]));
}

BOOST_AUTO_TEST_SUITE_END()
