// What hosts tell each other of members, and in which order changes count.
#include "gateway/member_exchange.h"
#include <boost/test/unit_test.hpp>

using namespace alderward;
using namespace alderward::gateway;

namespace {

const TimePoint kStart = TimePoint() + milliseconds(100000);

links::RegisteredMember makeMember(const std::string& id, bool isLeaving = false)
{
    return { .id = id, .group = "g", .address = "10.0.0.1:1", .dataCentre = "a", .slots = 2, .isLeaving = isLeaving };
}

// As a host does that has lost the store.
void take(ClusterView& view, const peer::MembersAnswer& answer, TimePoint sentAt)
{
    for (auto& it : answer.members()) {
        if (it.is_unlisted())
            takeMemberGone(view, it.id(), it.revision(), sentAt);
        else
            takeMember(view, readMember(it), it.revision(), sentAt - milliseconds(it.leaving_ms()), kStart);
    }
    for (auto& id : findMissing(answer, view))
        takeMemberGone(view, id, answer.revision(), sentAt);
}

}

BOOST_AUTO_TEST_SUITE(member_exchange)

// What a relay read 400 ms before it tells it did not change just now.
BOOST_AUTO_TEST_CASE(changes_are_told_with_their_age)
{
    ToldChanges told;
    told.until = 12;
    told.changes.push_back({ { .key = "a", .value = "1", .revision = 10 }, kStart, kStart });
    told.changes.push_back({ { .key = "b", .revision = 11, .isDeleted = true }, std::nullopt, kStart });
    told.changes.push_back({ { .key = "c", .value = "large", .revision = 12 }, kStart, kStart, true });
    peer::Pong wire;
    writeChanges(wire, told, kStart + milliseconds(400));
    auto sentAt = kStart + milliseconds(50'000); // on another clock
    auto heard = readChanges(wire, sentAt);
    BOOST_TEST(heard.until == 12u);
    BOOST_REQUIRE(heard.changes.size() == 3u);
    BOOST_TEST((heard.changes[0].changedAt == sentAt - milliseconds(400)));
    BOOST_TEST(heard.changes[0].item.value == "1");
    BOOST_TEST(!heard.changes[1].changedAt.has_value());
    BOOST_TEST(heard.changes[1].item.isDeleted);
    BOOST_TEST(heard.changes[2].isLarge);
    BOOST_TEST(heard.changes[2].item.value.empty());
}

BOOST_AUTO_TEST_CASE(only_what_changed_is_told_and_with_its_age)
{
    ClusterView able;
    takeMember(able, makeMember("old"), 5, {}, kStart);
    takeMember(able, makeMember("leaves", true), 12, kStart, kStart);
    peer::MembersAnswer answer;
    writeMembers(answer, able, 5, kStart + milliseconds(3000));
    BOOST_REQUIRE(answer.members_size() == 1);
    BOOST_TEST(answer.members(0).id() == "leaves");
    ClusterView cut;
    takeMember(cut, makeMember("old"), 5, {}, kStart);
    takeMember(cut, makeMember("leaves"), 4, {}, kStart);
    take(cut, answer, kStart + milliseconds(3000));
    BOOST_TEST((cut.members.at("leaves").leavingSince == kStart)); // not since it was told
    BOOST_TEST((cut.members.at("leaves").listed == able.members.at("leaves").listed));
    BOOST_TEST(cut.membersRevision == 12u);
}

BOOST_AUTO_TEST_CASE(what_is_older_than_what_is_known_changes_nothing)
{
    ClusterView view;
    BOOST_TEST((takeMember(view, makeMember("m", true), 9, kStart, kStart) == MemberChange::Taken));
    BOOST_TEST((takeMember(view, makeMember("m"), 8, kStart, kStart) == MemberChange::Outdated));
    BOOST_TEST(view.members.at("m").listed.isLeaving);
    BOOST_TEST(!takeMemberGone(view, "m", 8, kStart));
    BOOST_TEST(!view.members.at("m").unlistedAt.has_value());
    BOOST_TEST(takeMemberGone(view, "m", 10, kStart));
    BOOST_TEST((takeMember(view, makeMember("m"), 9, kStart, kStart) == MemberChange::Outdated)); // the watch brings what was missed, in its order
    BOOST_TEST(view.members.at("m").unlistedAt.has_value());
    BOOST_TEST((takeMember(view, makeMember("m"), 11, kStart, kStart) == MemberChange::Taken));
    BOOST_TEST(!view.members.at("m").unlistedAt.has_value());
    BOOST_TEST(!takeMemberGone(view, "nobody", 99, kStart));
}

BOOST_AUTO_TEST_CASE(members_that_were_forgotten_are_told_by_their_absence)
{
    ClusterView able;
    ClusterView cut;
    for (auto* view : { &able, &cut }) {
        takeMember(*view, makeMember("a"), 1, {}, kStart);
        takeMember(*view, makeMember("b"), 2, {}, kStart);
    }
    takeMemberGone(able, "a", 7, kStart);
    BOOST_REQUIRE(forgetMembers(able, milliseconds(4000), kStart + milliseconds(5000)).size() == 1);
    peer::MembersAnswer answer;
    writeMembers(answer, able, cut.membersRevision, kStart + milliseconds(5000));
    BOOST_TEST(answer.is_whole());
    take(cut, answer, kStart + milliseconds(5000));
    BOOST_TEST(cut.members.at("a").unlistedAt.has_value());
    BOOST_TEST(!cut.members.at("b").unlistedAt.has_value());
    // One who was told is told no more.
    peer::MembersAnswer second;
    writeMembers(second, able, cut.membersRevision, kStart + milliseconds(5000));
    BOOST_TEST(!second.is_whole());
    BOOST_TEST(second.members_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
