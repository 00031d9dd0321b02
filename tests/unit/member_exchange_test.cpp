// Exchange of member registrations between hosts, and the order in which changes apply.
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

// Applies an answer as a host without access to the store does.
void applyAnswer(ClusterView& view, const peer::MembersAnswer& answer, TimePoint sentAt)
{
    for (auto& it : answer.members()) {
        if (it.is_unlisted())
            markMemberUnlisted(view, it.id(), it.revision(), sentAt);
        else
            applyMember(view, decodeMember(it), it.revision(), sentAt - milliseconds(it.leaving_ms()), kStart);
    }
    for (auto& id : findAbsentMembers(answer, view))
        markMemberUnlisted(view, id, answer.revision(), sentAt);
}

}

BOOST_AUTO_TEST_SUITE(member_exchange)

// A change that a relay forwards late must not look as if it had just happened.
BOOST_AUTO_TEST_CASE(forwarded_changes_carry_their_age)
{
    RelayedChanges batch;
    batch.untilRevision = 12;
    batch.changes.push_back({ { .key = "a", .value = "1", .revision = 10 }, kStart, kStart });
    batch.changes.push_back({ { .key = "b", .revision = 11, .isDeleted = true }, std::nullopt, kStart });
    batch.changes.push_back({ { .key = "c", .value = "large", .revision = 12 }, kStart, kStart, true });
    peer::Pong wire;
    encodeChanges(wire, batch, kStart + milliseconds(400));
    auto sentAt = kStart + milliseconds(50'000); // on the receiver's clock
    auto decoded = decodeChanges(wire, sentAt);
    BOOST_TEST(decoded.untilRevision == 12u);
    BOOST_REQUIRE(decoded.changes.size() == 3u);
    BOOST_TEST((decoded.changes[0].changedAt == sentAt - milliseconds(400)));
    BOOST_TEST(decoded.changes[0].item.value == "1");
    BOOST_TEST(!decoded.changes[1].changedAt.has_value());
    BOOST_TEST(decoded.changes[1].item.isDeleted);
    BOOST_TEST(decoded.changes[2].isLarge);
    BOOST_TEST(decoded.changes[2].item.value.empty());
}

BOOST_AUTO_TEST_CASE(only_changes_since_the_known_revision_are_sent_with_their_age)
{
    ClusterView upToDate;
    applyMember(upToDate, makeMember("old"), 5, {}, kStart);
    applyMember(upToDate, makeMember("leaves", true), 12, kStart, kStart);
    peer::MembersAnswer answer;
    encodeMembers(answer, upToDate, 5, kStart + milliseconds(3000));
    BOOST_REQUIRE(answer.members_size() == 1);
    BOOST_TEST(answer.members(0).id() == "leaves");
    ClusterView outdated;
    applyMember(outdated, makeMember("old"), 5, {}, kStart);
    applyMember(outdated, makeMember("leaves"), 4, {}, kStart);
    applyAnswer(outdated, answer, kStart + milliseconds(3000));
    BOOST_TEST((outdated.members.at("leaves").leavingSince == kStart)); // not since the answer arrived
    BOOST_TEST((outdated.members.at("leaves").registration == upToDate.members.at("leaves").registration));
    BOOST_TEST(outdated.membersRevision == 12u);
}

BOOST_AUTO_TEST_CASE(changes_with_an_older_revision_are_ignored)
{
    ClusterView view;
    BOOST_TEST((applyMember(view, makeMember("m", true), 9, kStart, kStart) == MemberChange::Applied));
    BOOST_TEST((applyMember(view, makeMember("m"), 8, kStart, kStart) == MemberChange::Outdated));
    BOOST_TEST(view.members.at("m").registration.isLeaving);
    BOOST_TEST(!markMemberUnlisted(view, "m", 8, kStart));
    BOOST_TEST(!view.members.at("m").unlistedAt.has_value());
    BOOST_TEST(markMemberUnlisted(view, "m", 10, kStart));
    BOOST_TEST((applyMember(view, makeMember("m"), 9, kStart, kStart) == MemberChange::Outdated)); // the watch delivers missed changes in order
    BOOST_TEST(view.members.at("m").unlistedAt.has_value());
    BOOST_TEST((applyMember(view, makeMember("m"), 11, kStart, kStart) == MemberChange::Applied));
    BOOST_TEST(!view.members.at("m").unlistedAt.has_value());
    BOOST_TEST(!markMemberUnlisted(view, "nobody", 99, kStart));
}

BOOST_AUTO_TEST_CASE(unlisted_members_are_detected_by_their_absence_from_a_complete_answer)
{
    ClusterView upToDate;
    ClusterView outdated;
    for (auto* view : { &upToDate, &outdated }) {
        applyMember(*view, makeMember("a"), 1, {}, kStart);
        applyMember(*view, makeMember("b"), 2, {}, kStart);
    }
    markMemberUnlisted(upToDate, "a", 7, kStart);
    BOOST_REQUIRE(removeUnlistedMembers(upToDate, milliseconds(4000), kStart + milliseconds(5000)).size() == 1);
    peer::MembersAnswer answer;
    encodeMembers(answer, upToDate, outdated.membersRevision, kStart + milliseconds(5000));
    BOOST_TEST(answer.is_whole());
    applyAnswer(outdated, answer, kStart + milliseconds(5000));
    BOOST_TEST(outdated.members.at("a").unlistedAt.has_value());
    BOOST_TEST(!outdated.members.at("b").unlistedAt.has_value());
    // An up-to-date host gets nothing more.
    peer::MembersAnswer second;
    encodeMembers(second, upToDate, outdated.membersRevision, kStart + milliseconds(5000));
    BOOST_TEST(!second.is_whole());
    BOOST_TEST(second.members_size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
