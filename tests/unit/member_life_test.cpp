// Members that start again under the id that they had.
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

BOOST_AUTO_TEST_SUITE(member_life)

BOOST_AUTO_TEST_CASE(a_time_of_start_that_differs_is_another_life_whichever_is_later)
{
    BOOST_TEST(!isOtherLife({ 1000, 5 }, { 1000, 9 }));
    BOOST_TEST(isOtherLife({ 1000, 5 }, { 2000, 6 }));
    BOOST_TEST(isOtherLife({ 2000, 5 }, { 1000, 6 })); // its clock was set back
    BOOST_TEST(isOtherLife({ 1000, 5 }, { 4102444800000, 6 })); // or runs ahead by years: it is a name, not a time
    BOOST_TEST(!isOtherLife({ 1000, 9 }, { 1000, 1 })); // what it says itself goes before the count
}

BOOST_AUTO_TEST_CASE(where_no_time_of_start_is_said_a_count_that_went_back_is_another_life)
{
    BOOST_TEST(isOtherLife({ 0, 9 }, { 0, 1 }));
    BOOST_TEST(!isOtherLife({ 0, 9 }, { 0, 9 }));
    BOOST_TEST(!isOtherLife({ 0, 9 }, { 0, 40 }));
    BOOST_TEST(isOtherLife({ 1000, 9 }, { 0, 1 }));
    BOOST_TEST(!isOtherLife({ 1000, 9 }, { 0, 10 })); // it stopped saying it; nothing speaks for a start
}

BOOST_AUTO_TEST_CASE(what_was_seen_of_the_life_before_is_forgotten)
{
    ClusterView view;
    BOOST_TEST((takeMember(view, makeMember(1000, 1, true), 1, {}, kStart) == MemberChange::Taken));
    auto& group = view.groups["g"];
    auto& member = view.members.at("m");
    BOOST_TEST(group.lead.member == "m");
    member.progress = decisions::takePosition(member.progress, { 3, 70 }, kStart);
    member.troubleAt = kStart;
    member.leavingSince = kStart;
    auto now = kStart + milliseconds(1000);
    BOOST_TEST((takeMember(view, makeMember(2000, 1, true), 2, {}, now) == MemberChange::StartedAgain));
    BOOST_TEST(group.lead.member.empty()); // though it says that it leads
    BOOST_TEST(mustShow(member));
    BOOST_TEST(!member.leavingSince.has_value());
    BOOST_TEST((member.troubleAt == TimePoint {}));
    // What another host saw of the process before comes late and changes nothing.
    member.progress = decisions::takePosition(member.progress, { 3, 71 }, now - milliseconds(1));
    BOOST_TEST(mustShow(member));
    member.progress = decisions::takePosition(member.progress, { 3, 2 }, now + milliseconds(1));
    BOOST_TEST(!mustShow(member));
    BOOST_TEST((takeMember(view, makeMember(1000, 9), 1, {}, now) == MemberChange::Outdated)); // the old entry, late
}

// A host looks up the members of a group by the ids that the group names. An id that stood in two groups and was forgotten in one of them ended the process.
BOOST_AUTO_TEST_CASE(a_member_that_is_listed_for_another_group_belongs_to_that_one_only)
{
    ClusterView view;
    takeMember(view, makeMember(1000, 1, true), 1, {}, kStart);
    auto moved = makeMember(1000, 2);
    moved.group = "other";
    BOOST_TEST((takeMember(view, moved, 2, {}, kStart) == MemberChange::StartedAgain));
    BOOST_TEST(view.groups["g"].members.empty());
    BOOST_TEST(view.groups["g"].lead.member.empty());
    BOOST_TEST(view.groups["other"].members == std::vector<std::string> { "m" });
    takeMemberGone(view, "m", 3, kStart);
    forgetMembers(view, milliseconds(100), kStart + milliseconds(200));
    for (auto& [name, group] : view.groups)
        BOOST_TEST(group.members.empty(), name);
}

BOOST_AUTO_TEST_CASE(a_primary_that_holds_less_than_it_acknowledged_has_lost_its_log)
{
    GroupBelief group;
    BOOST_TEST(!decisions::hasLostLog(getKnownMark(group), { 1, 0 })); // nothing is known of it
    group.floors = decisions::takeFloor({}, { { 2, 50 }, kStart });
    auto known = getKnownMark(group); // when it is asked: answers that overtake each other do not matter
    group.floors = decisions::takeFloor(group.floors, { { 2, 60 }, kStart + milliseconds(500) });
    BOOST_TEST(decisions::hasLostLog(known, { 2, 49 }));
    BOOST_TEST(!decisions::hasLostLog(known, { 2, 50 }));
    BOOST_TEST(!decisions::hasLostLog(known, { 3, 0 })); // a new term may have taken commits back
    BOOST_TEST(!decisions::hasLostLog(known, { 1, 90 }));
}

BOOST_AUTO_TEST_SUITE_END()
