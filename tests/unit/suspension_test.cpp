// Suspension of replicas around a promotion order, played without a network: whenever the order is carried out, its member holds every commit that was
// acknowledged.
#include "decisions/suspension.h"
#include "platform/wire.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace alderward::decisions;

namespace {

constexpr unsigned kSeeds = 500;
constexpr int kSteps = 200;

MemberFinding makeFinding(const std::string& member, uint64_t position, uint64_t suspendedFor = 0)
{
    return { member, true, false, 1, { 1, position }, true, suspendedFor };
}

// A primary with replicas that receive its log one entry at a time, in any order among them.
struct GroupModel {
    unsigned synchronousReplicas { 1 };
    uint64_t primaryPosition { 0 };
    uint64_t acknowledged { 0 }; // newest acknowledged position
    std::vector<MemberFinding> replicas {};

    void commit() { ++primaryPosition; }

    void replicateTo(size_t i)
    {
        auto& it = replicas[i];
        if (it.suspendedFor != 0 || it.received.position == primaryPosition)
            return;
        ++it.received.position;
        auto holders = std::ranges::count_if(replicas, [&](const MemberFinding& other) { return other.received.position >= it.received.position; });
        if (holders >= static_cast<long>(synchronousReplicas))
            acknowledged = std::max(acknowledged, it.received.position);
    }

    void step(std::mt19937& random)
    {
        if (random() % 3 == 0)
            commit();
        else
            replicateTo(random() % replicas.size());
    }
};

}

BOOST_AUTO_TEST_SUITE(suspension)

BOOST_AUTO_TEST_CASE(all_replicas_but_the_successor_are_suspended_for_one_synchronous_replica)
{
    std::vector<MemberFinding> found { makeFinding("b", 10), makeFinding("c", 12), makeFinding("d", 11) };
    BOOST_TEST((chooseReplicasToSuspend(found, "c", 1) == std::vector<std::string> { "d", "b" }));
    BOOST_TEST((chooseReplicasToSuspend(found, "c", 2) == std::vector<std::string> { "b" })); // d is needed to acknowledge commits
    BOOST_TEST(chooseReplicasToSuspend(found, "c", 3).empty());
    found.push_back({ "a", true, true, 1, { 1, 13 } });
    BOOST_TEST((chooseReplicasToSuspend(found, "c", 1) == std::vector<std::string> { "d", "b" })); // a primary receives nothing
}

// A coordinator that knows nothing of an order finds its member by the suspensions that it needed.
BOOST_AUTO_TEST_CASE(suspended_replicas_show_the_member_of_an_earlier_order)
{
    std::vector<MemberFinding> found { makeFinding("b", 14), makeFinding("c", 12) };
    BOOST_TEST(!findEarlierSuccessor(found, 1));
    found[1].suspendedFor = 2;
    BOOST_TEST(*findEarlierSuccessor(found, 1) == "b");
    BOOST_TEST(!findEarlierSuccessor(found, 2)); // that term has come: the order was carried out
    found[1].received.position = 15;
    BOOST_TEST(!findEarlierSuccessor(found, 1)); // an order for b would have waited until b holds what c has
    found[1].received.position = 14;
    found[0].suspendedFor = 2;
    BOOST_TEST(!findEarlierSuccessor(found, 1));
    found[0] = makeFinding("b", 14);
    found[0].term = 0; // no status
    BOOST_TEST(!findEarlierSuccessor(found, 1));
}

BOOST_AUTO_TEST_CASE(the_successor_holds_what_is_acknowledged_whenever_the_order_is_carried_out)
{
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        std::mt19937 random(seed);
        GroupModel group;
        auto replicaCount = 2 + random() % 4;
        group.synchronousReplicas = 1 + random() % 2;
        for (unsigned i = 0; i < replicaCount; ++i)
            group.replicas.push_back(makeFinding(std::string(1, static_cast<char>('b' + i)), 0));
        for (int i = 0; i < kSteps; ++i)
            group.step(random);
        auto successor = group.replicas[random() % replicaCount].member; // also one that is behind
        auto names = chooseReplicasToSuspend(group.replicas, successor, group.synchronousReplicas);
        std::vector<MemberFinding> suspended;
        for (auto& name : names) { // commits go on between two suspensions
            auto it = std::ranges::find(group.replicas, name, &MemberFinding::member);
            it->suspendedFor = 2;
            suspended.push_back(*it);
            group.step(random);
        }
        auto it = std::ranges::find(group.replicas, successor, &MemberFinding::member);
        for (int i = 0; i < kSteps; ++i) {
            group.step(random);
            if (holdsAllOf(*it, suspended)) // from then on, an order may be sent
                BOOST_REQUIRE_MESSAGE(it->received.position >= group.acknowledged, "seed " << seed << ": acknowledged up to " << group.acknowledged << ", the successor holds " << it->received.position);
        }
    }
}

BOOST_AUTO_TEST_CASE(status_queries_carry_the_change_of_replication)
{
    using alderward::links::ReplicationChange;
    auto codec = alderward::platform::makeLineCodec();
    BOOST_TEST(codec->formatStatusQuery({}) == "QUERY - STATUS\r\n");
    BOOST_TEST(codec->formatStatusQuery({ ReplicationChange::Suspend, 4 }) == "QUERY - SUSPEND 4\r\n");
    BOOST_TEST(codec->formatStatusQuery({ ReplicationChange::Resume }) == "QUERY - RESUME\r\n");
    BOOST_TEST(codec->parseStatus("replica 3 3.1209 4 12 2 17")->suspendedFor == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
