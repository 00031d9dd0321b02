// Tests which connections are opened and evicted, on single decisions and on a simulated load in virtual time.
#include "decisions/connections.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <random>

using namespace alderward::decisions;
using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

const TimePoint kStart = TimePoint() + milliseconds(100000);

PooledConnection makeIdle(std::string_view account, int idleMs, bool hasServed = true)
{
    return { account, true, false, hasServed, kStart - milliseconds(idleMs) };
}

// A member with two slots, its pool of at most `maxConnections` connections, and queued operations. Opening a connection occupies a slot for 12 ms.
struct SimulatedMember {
    struct Operation {
        std::string account;
        TimePoint arrivedAt;
    };
    struct Connection {
        std::string account;
        TimePoint freeAt;
        TimePoint usedAt;
        bool hasServed { false };
    };
    struct Opening {
        std::string account;
        TimePoint readyAt;
    };

    size_t maxConnections { 15 };
    milliseconds queueTimeout { 800 }; // of an operation
    std::deque<Operation> waiting {};
    std::vector<Connection> connections {};
    std::vector<Opening> openings {};
    std::vector<TimePoint> slots { {}, {} }; // when each becomes free
    size_t opened { 0 };
    size_t served { 0 };
    size_t timedOut { 0 };
    std::vector<double> waitsMs {};

    TimePoint& findEarliestSlot() { return *std::ranges::min_element(slots); }

    void serve(TimePoint now)
    {
        for (auto it = waiting.begin(); it != waiting.end();) {
            auto connection = std::ranges::find_if(connections, [&](const Connection& other) { return other.account == it->account && other.freeAt <= now; });
            if (connection == connections.end() || findEarliestSlot() > now) {
                ++it;
                continue;
            }
            auto end = now + milliseconds(9);
            findEarliestSlot() = end;
            connection->freeAt = end;
            connection->usedAt = end;
            connection->hasServed = true;
            waitsMs.push_back(std::chrono::duration<double, std::milli>(now - it->arrivedAt).count());
            ++served;
            it = waiting.erase(it);
        }
    }

    void open(TimePoint now)
    {
        std::vector<PooledConnection> held;
        for (auto& it : connections)
            held.push_back({ it.account, it.freeAt <= now, it.freeAt > now, it.hasServed, it.usedAt });
        std::vector<AccountDemand> demands;
        for (auto& it : waiting) {
            auto known = std::ranges::find(demands, it.account, &AccountDemand::account);
            if (known != demands.end())
                ++known->waiting;
            else
                demands.push_back({ it.account, 1, static_cast<size_t>(std::ranges::count(openings, it.account, &Opening::account)) });
        }
        auto step = planOpening(held, demands, { maxConnections, openings.size(), 1 }, now);
        if (!step)
            return;
        if (step->evicted)
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(*step->evicted));
        auto began = std::max(now, findEarliestSlot());
        findEarliestSlot() = began + milliseconds(12);
        openings.push_back({ step->account, began + milliseconds(12) });
        ++opened;
    }

    void step(TimePoint now)
    {
        std::erase_if(openings, [&](const Opening& it) {
            bool isReady = it.readyAt <= now;
            if (isReady)
                connections.push_back({ it.account, now, now });
            return isReady;
        });
        timedOut += std::erase_if(waiting, [&](const Operation& it) { return now - it.arrivedAt > queueTimeout; });
        serve(now);
        open(now);
    }
};

// Generates `perSecond` operations in total from 88 accounts, in inverse proportion to the rank of the account.
struct SimulatedDemand {
    std::mt19937 random;
    std::discrete_distribution<int> account {};
    double perSecond;
    TimePoint next { kStart };

    SimulatedDemand(unsigned seed, double rate)
        : random(seed)
        , perSecond(rate)
    {
        std::vector<double> weights;
        for (int i = 1; i <= 88; ++i)
            weights.push_back(1.0 / i);
        account = { weights.begin(), weights.end() };
    }

    void arrive(SimulatedMember& member, TimePoint now)
    {
        while (next <= now) {
            member.waiting.push_back({ fmt::format("a{}", account(random)), next });
            next += duration_cast<microseconds>(std::chrono::duration<double>(std::exponential_distribution<>(perSecond)(random)));
        }
    }
};

void simulate(SimulatedMember& member, SimulatedDemand& demand, TimePoint from, int ms)
{
    for (int i = 0; i < ms; ++i) {
        auto now = from + milliseconds(i);
        demand.arrive(member, now);
        member.step(now);
    }
}

}

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_CASE(connections_are_opened_one_at_a_time_within_capacity)
{
    std::vector<AccountDemand> wanted { { "mill", 1, 0 } };
    BOOST_TEST((planOpening({}, wanted, { 2, 0, 1 }, kStart) == OpeningPlan { "mill", std::nullopt }));
    BOOST_TEST(!planOpening({}, wanted, { 2, 1, 1 }, kStart).has_value());
    BOOST_TEST(!planOpening({}, { { "mill", 5, 1 } }, { 9, 1, 2 }, kStart).has_value()); // one is being opened for the account
    BOOST_TEST(!planOpening({ makeIdle("mill", 5) }, wanted, { 9, 0, 1 }, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(an_account_waits_for_its_busy_connections_while_few_operations_queue)
{
    PooledConnection busy { "mill", false, true, true, kStart };
    PooledConnection inTransaction { "mill", false, false, true, kStart };
    BOOST_TEST(!planOpening({ busy }, { { "mill", 2, 0 } }, { 9, 0, 1 }, kStart).has_value());
    BOOST_TEST(planOpening({ busy }, { { "mill", 3, 0 } }, { 9, 0, 1 }, kStart).has_value());
    BOOST_TEST(planOpening({ inTransaction }, { { "mill", 1, 0 } }, { 9, 0, 1 }, kStart).has_value()); // the transaction can stay open for long
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_connection_is_evicted)
{
    std::vector<AccountDemand> wanted { { "mill", 1, 0 } };
    BOOST_TEST((planOpening({ makeIdle("a", 5), makeIdle("b", 50), makeIdle("c", 20) }, wanted, { 3, 0, 1 }, kStart) == OpeningPlan { "mill", 1 }));
    // Does not evict connections that are in a transaction, are waited for, or have not served yet.
    PooledConnection inTransaction { "a", false, false, true, kStart - milliseconds(900) };
    BOOST_TEST((planOpening({ inTransaction, makeIdle("b", 50, false), makeIdle("c", 20) }, wanted, { 3, 0, 1 }, kStart) == OpeningPlan { "mill", 2 }));
    BOOST_TEST(!planOpening({ inTransaction, makeIdle("b", 50, false) }, wanted, { 2, 0, 1 }, kStart).has_value());
    BOOST_TEST(!planOpening({ makeIdle("b", 50) }, { { "mill", 1, 0 }, { "b", 1, 0 } }, { 1, 0, 1 }, kStart).has_value());
    BOOST_TEST((planOpening({ makeIdle("b", 900, false) }, wanted, { 1, 0, 1 }, kStart) == OpeningPlan { "mill", 0 })); // unserved for longer than its protection
}

// 88 accounts share 15 connections: all operations are served, with short queueing, and connections are reused.
BOOST_AUTO_TEST_CASE(many_accounts_share_few_connections)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        SimulatedMember member;
        SimulatedDemand demand(seed, 30);
        simulate(member, demand, kStart, 30000);
        std::ranges::sort(member.waitsMs);
        BOOST_TEST(member.timedOut == 0u, "seed " << seed);
        BOOST_TEST(member.waitsMs[member.waitsMs.size() * 99 / 100] < 100, "seed " << seed << ": " << member.waitsMs[member.waitsMs.size() * 99 / 100] << " ms");
        BOOST_TEST(member.opened < member.served, "seed " << seed);
    }
}

// The pool starts full of unserved connections with hundreds of queued operations. A pool that evicts unserved connections would never recover.
BOOST_AUTO_TEST_CASE(a_pool_full_of_unserved_connections_recovers)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        SimulatedMember member;
        for (int i = 0; i < 15; ++i)
            member.connections.push_back({ fmt::format("idle{}", i), kStart, kStart });
        SimulatedDemand demand(seed, 60);
        for (int i = 0; i < 300; ++i)
            member.waiting.push_back({ fmt::format("a{}", demand.account(demand.random)), kStart });
        simulate(member, demand, kStart, 3000);
        demand.perSecond = 30;
        simulate(member, demand, kStart + milliseconds(3000), 1000);
        member.timedOut = 0;
        member.waitsMs.clear();
        simulate(member, demand, kStart + milliseconds(4000), 10000);
        std::ranges::sort(member.waitsMs);
        BOOST_TEST(member.timedOut == 0u, "seed " << seed);
        BOOST_TEST(member.waitsMs[member.waitsMs.size() / 2] < 50, "seed " << seed);
        BOOST_TEST(member.waiting.size() < 10u, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
