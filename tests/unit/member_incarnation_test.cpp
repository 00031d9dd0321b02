// Members that restart under their previous id.
#include "gateway/cluster_view.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::gateway;

namespace {

const TimePoint kStart = TimePoint() + milliseconds(100000);

links::RegisteredMember makeMember(uint64_t startedAtMs, uint64_t sequence, bool saysPrimary = false)
{
    return { .id = "m", .group = "g", .address = "10.0.0.1:1", .dataCentre = "a", .slots = 2, .saysPrimary = saysPrimary, .incarnation = { startedAtMs, sequence } };
}

}

BOOST_AUTO_TEST_SUITE(member_incarnation)

BOOST_AUTO_TEST_CASE(a_different_start_time_is_another_incarnation_whichever_is_later)
{
    BOOST_TEST(!isDifferentIncarnation({ 1000, 5 }, { 1000, 9 }));
    BOOST_TEST(isDifferentIncarnation({ 1000, 5 }, { 2000, 6 }));
    BOOST_TEST(isDifferentIncarnation({ 2000, 5 }, { 1000, 6 })); // the member's clock was set back
    BOOST_TEST(isDifferentIncarnation({ 1000, 5 }, { 4102444800000, 6 })); // or is years ahead: start times are compared for equality only
    BOOST_TEST(!isDifferentIncarnation({ 1000, 9 }, { 1000, 1 })); // an equal start time takes precedence over the sequence
}

BOOST_AUTO_TEST_CASE(without_a_start_time_a_lower_sequence_is_another_incarnation)
{
    BOOST_TEST(isDifferentIncarnation({ 0, 9 }, { 0, 1 }));
    BOOST_TEST(!isDifferentIncarnation({ 0, 9 }, { 0, 9 }));
    BOOST_TEST(!isDifferentIncarnation({ 0, 9 }, { 0, 40 }));
    BOOST_TEST(isDifferentIncarnation({ 1000, 9 }, { 0, 1 }));
    BOOST_TEST(!isDifferentIncarnation({ 1000, 9 }, { 0, 10 })); // the start time is missing, but the sequence does not indicate a restart
}

BOOST_AUTO_TEST_CASE(observations_of_the_previous_incarnation_are_discarded)
{
    ClusterView view;
    BOOST_TEST((applyMember(view, makeMember(1000, 1, true), 1, {}, kStart) == MemberChange::Applied));
    auto& group = view.groups["g"];
    auto& member = view.members.at("m");
    BOOST_TEST(group.primary.member == "m");
    member.progress = decisions::applyPosition(member.progress, { 3, 70 }, kStart);
    member.lastFailureAt = kStart;
    member.leavingSince = kStart;
    auto now = kStart + milliseconds(1000);
    BOOST_TEST((applyMember(view, makeMember(2000, 1, true), 2, {}, now) == MemberChange::Restarted));
    BOOST_TEST(group.primary.member.empty()); // although the member reports to be primary
    BOOST_TEST(mustReportPosition(member));
    BOOST_TEST(!member.leavingSince.has_value());
    BOOST_TEST((member.lastFailureAt == TimePoint {}));
    // A late observation of the previous process has no effect.
    member.progress = decisions::applyPosition(member.progress, { 3, 71 }, now - milliseconds(1));
    BOOST_TEST(mustReportPosition(member));
    member.progress = decisions::applyPosition(member.progress, { 3, 2 }, now + milliseconds(1));
    BOOST_TEST(!mustReportPosition(member));
    BOOST_TEST((applyMember(view, makeMember(1000, 9), 1, {}, now) == MemberChange::Outdated)); // the old entry arrives late
}

// Guards against a crash: an id that stays in two groups and is removed from only one makes the lookup by id fail.
BOOST_AUTO_TEST_CASE(a_member_that_moves_to_another_group_leaves_the_previous_one)
{
    ClusterView view;
    applyMember(view, makeMember(1000, 1, true), 1, {}, kStart);
    auto moved = makeMember(1000, 2);
    moved.group = "other";
    BOOST_TEST((applyMember(view, moved, 2, {}, kStart) == MemberChange::Restarted));
    BOOST_TEST(view.groups["g"].members.empty());
    BOOST_TEST(view.groups["g"].primary.member.empty());
    BOOST_TEST(view.groups["other"].members == std::vector<std::string> { "m" });
    markMemberUnlisted(view, "m", 3, kStart);
    removeUnlistedMembers(view, milliseconds(100), kStart + milliseconds(200));
    for (auto& [name, group] : view.groups)
        BOOST_TEST(group.members.empty(), name);
}

BOOST_AUTO_TEST_CASE(a_primary_whose_log_is_behind_its_acknowledged_writes_has_lost_its_log)
{
    GroupView group;
    BOOST_TEST(!decisions::hasLostLog(getNewestKnownMark(group), { 1, 0 })); // no position is known
    group.floors = decisions::addFloor({}, { { 2, 50 }, kStart });
    auto known = getNewestKnownMark(group); // taken when the query is sent, so that reordered answers do not matter
    group.floors = decisions::addFloor(group.floors, { { 2, 60 }, kStart + milliseconds(500) });
    BOOST_TEST(decisions::hasLostLog(known, { 2, 49 }));
    BOOST_TEST(!decisions::hasLostLog(known, { 2, 50 }));
    BOOST_TEST(!decisions::hasLostLog(known, { 3, 0 })); // a new term may have discarded commits
    BOOST_TEST(!decisions::hasLostLog(known, { 1, 90 }));
}

BOOST_AUTO_TEST_SUITE_END()
