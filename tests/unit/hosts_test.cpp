// Membership, placement and limits.
#include "decisions/limits.h"
#include "decisions/membership.h"
#include "decisions/placement.h"
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace alderward::decisions;
using std::chrono::milliseconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint {} + std::chrono::hours(1) + milliseconds(ms);
}

HostInfo makeHostInfo(const std::string& name, uint64_t incarnation, HostState state)
{
    return { name, incarnation, state, "x", "p", "c", "o" };
}

Membership makeThreeHosts()
{
    auto membership = makeMembership(makeHostInfo("h1", 10, HostState::Alive), at(0));
    applyHostUpdates(membership, { makeHostInfo("h2", 10, HostState::Alive), makeHostInfo("h3", 10, HostState::Alive) }, at(0));
    return membership;
}

}

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(suspicion_needs_confirmation_by_another_host)
{
    auto it = makeThreeHosts();
    BOOST_TEST(!suspectHost(it, "h2", 0, 2, at(0)));
    BOOST_TEST(suspectHost(it, "h2", 1, 2, at(0)));
    BOOST_TEST((findHost(it, "h2")->state == HostState::Suspect));
    // With no other host to ask, the failure seen by this host suffices.
    BOOST_TEST(suspectHost(it, "h3", 0, 0, at(0)));
}

BOOST_AUTO_TEST_CASE(suspect_refutes_with_a_higher_incarnation_or_is_declared_dead)
{
    auto it = makeThreeHosts();
    suspectHost(it, "h2", 1, 1, at(0));
    applyHostUpdates(it, { makeHostInfo("h2", 10, HostState::Alive) }, at(10));
    BOOST_TEST((findHost(it, "h2")->state == HostState::Suspect));
    applyHostUpdates(it, { makeHostInfo("h2", 11, HostState::Alive) }, at(20));
    BOOST_TEST((findHost(it, "h2")->state == HostState::Alive));
    suspectHost(it, "h3", 1, 1, at(0));
    BOOST_TEST(expireHosts(it, {}, at(2999)).empty());
    BOOST_TEST(expireHosts(it, {}, at(3000)).size() == 1u);
    BOOST_TEST((findHost(it, "h3")->state == HostState::Dead));
    BOOST_TEST(getLiveHosts(it).size() == 2u);
}

BOOST_AUTO_TEST_CASE(host_refutes_updates_that_declare_it_dead_and_ignores_older_states)
{
    auto it = makeThreeHosts();
    applyHostUpdates(it, { makeHostInfo("h1", 10, HostState::Dead) }, at(0));
    BOOST_TEST((findHost(it, "h1")->state == HostState::Alive));
    BOOST_TEST(findHost(it, "h1")->incarnation == 11u);
    // An older state of another host does not supersede a later one.
    auto other = makeThreeHosts();
    applyHostUpdates(other, { makeHostInfo("h2", 10, HostState::Leaving) }, at(5));
    applyHostUpdates(other, { makeHostInfo("h2", 10, HostState::Alive) }, at(6));
    BOOST_TEST((findHost(other, "h2")->state == HostState::Leaving));
}

BOOST_AUTO_TEST_CASE(lagging_platform_list_does_not_revive_a_leaving_host)
{
    auto it = makeThreeHosts();
    const std::vector<PlatformHost> list { { "h2", "x", "p", "c", "o" }, { "h3", "x", "p", "c", "o" } };
    applyHostUpdates(it, { makeHostInfo("h2", 10, HostState::Leaving) }, at(0));
    for (int ms = 0; ms < 300000; ms += 5000) {
        applyPlatformList(it, list, at(ms));
        expireHosts(it, {}, at(ms));
        BOOST_REQUIRE(getLiveHosts(it).size() == 2u);
    }
    // The host is forgotten once the list no longer names it.
    applyPlatformList(it, { list[1] }, at(300000));
    expireHosts(it, {}, at(300000));
    BOOST_TEST(findHost(it, "h2") == nullptr);
}

BOOST_AUTO_TEST_CASE(digest_depends_on_host_states_and_not_on_their_order_of_arrival)
{
    auto it = makeThreeHosts();
    applyHostUpdates(it, { makeHostInfo("h4", 3, HostState::Alive) }, at(0));
    suspectHost(it, "h4", 1, 1, at(0));
    expireHosts(it, {}, at(3000));
    BOOST_TEST(getDigest(it) == getDigest(makeThreeHosts())); // a dead host does not count
    expireHosts(it, {}, at(70000));
    BOOST_TEST(findHost(it, "h4") == nullptr);
    BOOST_TEST(getDigest(it) == getDigest(makeThreeHosts()));
    applyHostUpdates(it, { makeHostInfo("h3", 11, HostState::Leaving) }, at(70000));
    auto other = makeThreeHosts();
    applyHostUpdates(other, { makeHostInfo("h3", 11, HostState::Leaving) }, at(0));
    BOOST_TEST(getDigest(it) == getDigest(other));
    expireHosts(it, {}, at(200000));
    BOOST_TEST(findHost(it, "h3") == nullptr);
    BOOST_TEST(getDigest(it) != getDigest(other));
}

BOOST_AUTO_TEST_CASE(updates_per_exchange_and_transmissions_are_bounded)
{
    auto it = makeMembership(makeHostInfo("h0", 1, HostState::Alive), at(0));
    std::vector<HostInfo> updates;
    for (int i = 1; i < 500; ++i)
        updates.push_back(makeHostInfo("h" + std::to_string(i), 1, HostState::Alive));
    applyHostUpdates(it, updates, at(0));
    size_t sent = 0;
    MembershipTimings timings;
    for (int i = 0; i < 5000; ++i) {
        auto batch = takeUpdatesToSend(it, timings);
        BOOST_REQUIRE(batch.size() <= timings.maxUpdatesPerExchange);
        sent += batch.size();
    }
    BOOST_TEST(sent <= 500u * 3 * 10);
    BOOST_TEST(sent >= 500u);
}

BOOST_AUTO_TEST_CASE(views_converge_after_a_network_partition_heals)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        std::mt19937 random(seed);
        constexpr size_t kHosts = 30;
        std::vector<Membership> views;
        std::vector<HostInfo> all;
        for (size_t i = 0; i < kHosts; ++i)
            all.push_back(makeHostInfo("h" + std::to_string(i), 1, HostState::Alive));
        for (size_t i = 0; i < kHosts; ++i) {
            views.push_back(makeMembership(all[i], at(0)));
            applyHostUpdates(views.back(), all, at(0));
        }
        auto isOnSameSide = [](size_t i, size_t j) { return (i < 10) == (j < 10); };
        bool isPartitioned = false;
        for (int round = 0; round < 200; ++round) {
            isPartitioned = round >= 20 && round < 60;
            auto now = at(round * 500);
            for (size_t i = 0; i < kHosts; ++i) {
                expireHosts(views[i], {}, now);
                auto partners = choosePartners(views[i], 1, random());
                if (round % 10 == 0) {
                    if (auto dead = chooseDeadHost(views[i], random()))
                        partners.push_back(*dead);
                }
                for (auto& name : partners) {
                    auto j = static_cast<size_t>(std::stoi(name.substr(1)));
                    if (isPartitioned && !isOnSameSide(i, j)) {
                        suspectHost(views[i], name, 1, 1, now);
                        continue;
                    }
                    std::vector<HostInfo> mine;
                    std::vector<HostInfo> theirs;
                    for (auto& [host, known] : views[i].hosts)
                        mine.push_back(known.info);
                    applyHostUpdates(views[j], mine, now);
                    for (auto& [host, known] : views[j].hosts)
                        theirs.push_back(known.info);
                    applyHostUpdates(views[i], theirs, now);
                }
            }
        }
        for (auto& it : views) {
            BOOST_TEST(getDigest(it) == getDigest(views.front()));
            BOOST_TEST(getLiveHosts(it).size() == kHosts);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement)

static GroupRecord makeRecord(const std::string& name, unsigned connections)
{
    GroupRecord record;
    record.name = name;
    record.connectionLimit = connections;
    record.members = { { "a", "1:1", "x" }, { "b", "1:2", "y" }, { "c", "1:3", "z" } };
    return record;
}

static std::vector<PlacedHost> makeHosts(size_t count)
{
    std::vector<PlacedHost> hosts;
    for (size_t i = 0; i < count; ++i)
        hosts.push_back({ "h" + std::to_string(i), std::string(1, static_cast<char>('x' + i % 3)) });
    return hosts;
}

BOOST_AUTO_TEST_CASE(each_data_centre_with_a_member_has_a_home)
{
    for (int i = 0; i < 50; ++i) {
        auto homes = chooseHomes(makeRecord("g" + std::to_string(i), 16), makeHosts(9));
        BOOST_REQUIRE(homes.size() == 3u);
        std::set<char> dataCentres;
        for (auto& it : homes)
            dataCentres.insert(static_cast<char>(std::stoi(it.substr(1)) % 3));
        BOOST_TEST(dataCentres.size() == 3u);
    }
}

BOOST_AUTO_TEST_CASE(shares_never_sum_above_the_limit)
{
    for (unsigned limit = 1; limit < 100; ++limit) {
        auto record = makeRecord("g", limit);
        auto homes = chooseHomes(record, makeHosts(9));
        BOOST_TEST(homes.size() * getHomeShare(record, homes.size()).connections <= std::max<size_t>(limit, homes.size()));
        BOOST_TEST(homes.size() >= 1u);
    }
}

BOOST_AUTO_TEST_CASE(removed_host_moves_only_its_own_groups)
{
    auto hosts = makeHosts(9);
    auto without = hosts;
    without.erase(without.begin() + 4);
    for (int i = 0; i < 100; ++i) {
        auto record = makeRecord("g" + std::to_string(i), 16);
        auto before = chooseHomes(record, hosts);
        auto after = chooseHomes(record, without);
        if (std::ranges::find(before, "h4") == before.end())
            BOOST_TEST(before == after, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(only_live_hosts_named_by_the_record_are_homes)
{
    auto record = makeRecord("g", 16);
    record.hosts = { "h7", "h2", "gone", "h5" };
    auto homes = chooseHomes(record, makeHosts(9));
    std::ranges::sort(homes);
    BOOST_TEST((homes == std::vector<std::string> { "h2", "h5", "h7" }));
    record.hosts = { "gone" };
    BOOST_TEST(chooseHomes(record, makeHosts(9)).empty());
}

BOOST_AUTO_TEST_CASE(homes_are_spread_over_hosts)
{
    std::map<std::string, int> load;
    for (int i = 0; i < 3000; ++i) {
        for (auto& it : chooseHomes(makeRecord("g" + std::to_string(i), 16), makeHosts(9)))
            ++load[it];
    }
    for (auto& [name, n] : load)
        BOOST_TEST((n > 800 && n < 1200));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_CASE(adaptive_limit_stays_within_its_slots_and_recovers)
{
    AdaptiveLimit it;
    it.maximum = 5;
    it.limit = 5;
    for (int i = 0; i < 100; ++i)
        it = updateLimit(it, milliseconds(2));
    BOOST_TEST(it.getLimit() == 5u);
    for (int i = 0; i < 200; ++i)
        it = updateLimit(it, milliseconds(40));
    BOOST_TEST(it.getLimit() == 1u);
    for (int i = 0; i < 500; ++i)
        it = updateLimit(it, milliseconds(2));
    BOOST_TEST(it.getLimit() == 5u);
}

BOOST_AUTO_TEST_CASE(adaptive_limit_ignores_jitter_of_short_statements)
{
    AdaptiveLimit it;
    it.maximum = 200;
    it.limit = 200;
    for (int i = 0; i < 1000; ++i)
        it = updateLimit(it, std::chrono::duration<double, std::milli>(i % 3 == 0 ? 0.03 : 0.4));
    BOOST_TEST(it.getLimit() == 200u);
}

BOOST_AUTO_TEST_CASE(admission_depends_on_the_expected_queue_wait)
{
    QueueState queue { 100, 4.0, 2 };
    BOOST_TEST(estimateWait(queue).count() == 200);
    BOOST_TEST(isAdmitted(queue, milliseconds(400)));
    BOOST_TEST(!isAdmitted(queue, milliseconds(200)));
    BOOST_TEST(isWorthSending(queue, milliseconds(8)));
    BOOST_TEST(!isWorthSending(queue, milliseconds(7)));
    BOOST_TEST(getRetryAfter(queue, 0.0) < getRetryAfter(queue, 0.9));
    BOOST_TEST((getRetryAfter({ 1000, 4.0, 2 }, 0.5) > getRetryAfter(queue, 0.5)));
}

BOOST_AUTO_TEST_CASE(retries_of_callers_refused_together_are_spread)
{
    BOOST_TEST(jitterRetryAfter(milliseconds(2000), 0).count() == 1000);
    BOOST_TEST(jitterRetryAfter(milliseconds(2000), 0.5).count() == 2000);
    BOOST_TEST(jitterRetryAfter(milliseconds(2000), 0.999).count() == 2998);
    BOOST_TEST(jitterRetryAfter(milliseconds(0), 0.7).count() == 0);
    BOOST_TEST(jitterRetryAfter(milliseconds(1), 0).count() == 1); // never zero
}

BOOST_AUTO_TEST_CASE(retry_budget_is_a_share_of_successes)
{
    RetryBudget budget;
    int taken = 0;
    while (tryTakeRetry(budget))
        ++taken;
    BOOST_TEST(taken == 10);
    for (int i = 0; i < 100; ++i)
        budget = depositRetry(budget);
    taken = 0;
    while (tryTakeRetry(budget))
        ++taken;
    BOOST_TEST(std::abs(taken - 10) <= 1);
}

BOOST_AUTO_TEST_SUITE_END()
