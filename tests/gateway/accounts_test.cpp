// Client accounts through real hosts: keys, connections by account, quotas over all hosts.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace harness;

namespace {

const std::vector<RigAccount> kAccounts { { "mill", { "key-mill-1", "key-mill-2" } }, { "shop", { "key-shop-1" } } };

RigShape makeShape(std::vector<RigAccount> accounts = kAccounts)
{
    RigShape shape;
    shape.accounts = std::move(accounts);
    return shape;
}

std::string getAccountOf(GatewayRig& rig, const std::string& id)
{
    return rig.call([&] {
        for (auto& it : rig.getGroup().getExecutedStatements()) {
            if (it.id == id)
                return it.account;
        }
        return std::string("did not run");
    });
}

// Everything that hosts wrote or show.
std::string getOutput(GatewayRig& rig)
{
    std::string text;
    for (unsigned i = 0; i < 3; ++i)
        text += rig.getLog(i) + rig.getMetrics(i);
    return text;
}

}

BOOST_AUTO_TEST_SUITE(accounts)

BOOST_AUTO_TEST_CASE(members_hear_the_account_of_each_statement_and_never_a_key)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    for (unsigned i = 0; i < 3; ++i) {
        LineCaller mill(rig.getCallerAddress(i), "db0-own", "key-mill-2");
        LineCaller shop(rig.getCallerAddress(i), "db0-own", "key-shop-1");
        for (int k = 0; k < 3; ++k) {
            BOOST_TEST(mill.ask("WRITE a mill").isOk());
            BOOST_TEST(getAccountOf(rig, mill.getLastId()) == "mill");
            BOOST_TEST(shop.ask("READ a").isOk());
            BOOST_TEST(getAccountOf(rig, shop.getLastId()) == "shop");
        }
        BOOST_TEST(mill.ask("BEGIN").isOk());
        BOOST_TEST(mill.ask("WRITE b 1").isOk());
        BOOST_TEST(getAccountOf(rig, mill.getLastId()) == "mill");
        BOOST_TEST(mill.ask("COMMIT").isOk());
    }
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "db0-own", "key-of-a-stranger").getHello().hasCode("UNAUTH"));
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "no-such", "key-of-a-stranger").getHello().hasCode("UNAUTH"));
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "no-such", "key-shop-1").getHello().hasCode("NODB"));
    auto output = getOutput(rig);
    for (auto* key : { "key-mill-1", "key-mill-2", "key-shop-1", "key-of-a-stranger" })
        BOOST_TEST(output.find(key) == std::string::npos, key);
}

BOOST_AUTO_TEST_CASE(a_public_database_needs_no_key)
{
    auto shape = makeShape();
    shape.publicDatabase = "db0-bounded";
    GatewayRig rig(shape);
    rig.beginHosts();
    LineCaller stranger(rig.getCallerAddress(1), "db0-bounded", "anybody");
    BOOST_TEST(stranger.ask("READ a").isOk());
    LineCaller mill(rig.getCallerAddress(1), "db0-bounded", "key-mill-1");
    BOOST_TEST(mill.ask("READ a").isOk());
    BOOST_TEST(getAccountOf(rig, mill.getLastId()) == "mill");
}

// In answer to a statement, while it rests, and in the middle of a transaction; nothing of that is kept.
BOOST_AUTO_TEST_CASE(a_key_that_is_taken_away_ends_its_sessions)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    LineCaller resting(rig.getCallerAddress(1), "db0-own", "key-mill-1");
    LineCaller inTransaction(rig.getCallerAddress(1), "db0-own", "key-mill-1");
    LineCaller other(rig.getCallerAddress(1), "db0-own", "key-mill-2");
    BOOST_TEST(inTransaction.ask("BEGIN").isOk());
    BOOST_TEST(inTransaction.ask("WRITE taken 1").isOk());
    rig.configureAccounts(2, { { "mill", { "key-mill-2" } }, { "shop", { "key-shop-1" } } });
    BOOST_REQUIRE(rig.waitConfigured(1, 2));
    BOOST_TEST(resting.isClosed(milliseconds(1000)));
    BOOST_TEST(inTransaction.isClosed(milliseconds(1000)));
    BOOST_TEST(LineCaller(rig.getCallerAddress(1), "db0-own", "key-mill-1").getHello().hasCode("UNAUTH"));
    BOOST_TEST(other.ask("READ taken").rows == std::vector<std::string>({ "" }), boost::test_tools::per_element());
    rig.configureAccounts(3, { { "shop", { "key-shop-1" } } }); // the account is gone altogether
    BOOST_REQUIRE(rig.waitConfigured(1, 3));
    BOOST_TEST(other.isClosed(milliseconds(1000)));
}

// Between transactions a session follows its key; inside one it ends.
BOOST_AUTO_TEST_CASE(a_key_that_moves_to_another_account_counts_for_it)
{
    GatewayRig rig(makeShape());
    rig.beginHosts();
    LineCaller moving(rig.getCallerAddress(0), "db0-own", "key-mill-1");
    LineCaller inTransaction(rig.getCallerAddress(0), "db0-own", "key-mill-1");
    BOOST_TEST(moving.ask("READ a").isOk());
    BOOST_TEST(inTransaction.ask("BEGIN").isOk());
    BOOST_TEST(inTransaction.ask("WRITE moved 1").isOk());
    rig.configureAccounts(2, { { "mill", { "key-mill-2" } }, { "shop", { "key-shop-1", "key-mill-1" } } });
    BOOST_REQUIRE(rig.waitConfigured(0, 2));
    BOOST_TEST(moving.ask("READ moved").rows == std::vector<std::string>({ "" }), boost::test_tools::per_element());
    BOOST_TEST(getAccountOf(rig, moving.getLastId()) == "shop");
    BOOST_TEST(inTransaction.isClosed(milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_host_that_the_store_turns_away_hears_of_keys_from_others)
{
    auto shape = makeShape();
    shape.hasProxies = true;
    shape.hosts = 21; // seven a data centre: relays
    GatewayRig rig(shape);
    rig.beginHosts();
    std::this_thread::sleep_for(milliseconds(1500)); // relays are chosen
    unsigned cut = 20;
    LineCaller resting(rig.getCallerAddress(cut), "db0-own", "key-mill-1");
    BOOST_TEST(resting.ask("READ a").isOk());
    rig.setStoreCut(cut, true);
    rig.configureAccounts(2, { { "mill", { "key-mill-2", "key-mill-3" } }, { "shop", { "key-shop-1" } } });
    BOOST_TEST(rig.waitConfigured(cut, 2, milliseconds(5000)));
    BOOST_TEST(resting.isClosed(milliseconds(1000)));
    BOOST_TEST(LineCaller(rig.getCallerAddress(cut), "db0-own", "key-mill-1").getHello().hasCode("UNAUTH"));
    BOOST_TEST(LineCaller(rig.getCallerAddress(cut), "db0-own", "key-mill-3").getHello().state == "I");
}

// Twice as many accounts as a carrier has connections: all are served, each on its own, and the member's limit holds.
BOOST_AUTO_TEST_CASE(more_accounts_than_connections_are_all_served)
{
    std::vector<RigAccount> accounts;
    for (int i = 0; i < 20; ++i)
        accounts.push_back({ fmt::format("account{}", i), { fmt::format("key{}", i) } });
    auto shape = makeShape(accounts);
    shape.connections = 12;
    GatewayRig rig(shape);
    rig.beginHosts();
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (int i = 0; i < 20; ++i)
        callers.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(static_cast<unsigned>(i) % 3), "db0-primary", fmt::format("key{}", i)));
    for (int round = 0; round < 5; ++round) {
        for (auto& it : callers)
            it->send("WRITE x 1");
        for (int i = 0; i < 20; ++i) {
            BOOST_TEST(callers[static_cast<size_t>(i)]->receive().isOk(), "account " << i << " in round " << round);
            BOOST_TEST(getAccountOf(rig, callers[static_cast<size_t>(i)]->getLastId()) == fmt::format("account{}", i));
        }
    }
    auto primary = rig.call([&] { return rig.getGroup().getPrimary(); });
    BOOST_TEST(rig.call([&] { return rig.getGroup().getPeakConnections(primary); }) <= 12u);
}

// Callers without an account come in between: each still gets its connection at once, as those of accounts do.
BOOST_AUTO_TEST_CASE(public_callers_and_accounts_share_a_member)
{
    std::vector<RigAccount> accounts;
    for (int i = 0; i < 8; ++i)
        accounts.push_back({ fmt::format("account{}", i), { fmt::format("key{}", i) } });
    auto shape = makeShape(accounts);
    shape.connections = 8; // three for the host that carries
    shape.publicDatabase = "db0-primary";
    GatewayRig rig(shape);
    rig.beginHosts();
    LineCaller stranger(rig.getCallerAddress(0), "db0-primary", "anybody");
    for (int round = 0; round < 24; ++round) {
        LineCaller caller(rig.getCallerAddress(0), "db0-primary", fmt::format("key{}", round % 8));
        auto began = std::chrono::steady_clock::now();
        caller.send("WRITE x 1");
        stranger.send("READ x");
        BOOST_TEST(caller.receive().isOk(), "round " << round);
        BOOST_TEST(stranger.receive().isOk(), "round " << round);
        auto took = std::chrono::steady_clock::now() - began;
        BOOST_TEST((took < milliseconds(500)), "round " << round << ": " << std::chrono::duration_cast<milliseconds>(took).count() << " ms"); // what callers are content with
    }
}

// An account sends ten times its quota through all hosts at once: it gets its quota, in no window more than its bound, and another account is not touched.
BOOST_AUTO_TEST_CASE(a_quota_holds_over_all_hosts)
{
    auto shape = makeShape({ { "mill", { "key-mill" }, 10, 10 }, { "shop", { "key-shop" } } });
    GatewayRig rig(shape);
    rig.beginHosts();
    std::vector<std::unique_ptr<LineCaller>> callers;
    std::vector<std::unique_ptr<LineCaller>> others;
    for (unsigned i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i), "db0-own", "key-mill"));
        others.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i), "db0-own", "key-shop"));
    }
    std::this_thread::sleep_for(milliseconds(5000)); // until then, what hosts did before they started may count
    auto end = std::chrono::steady_clock::now() + milliseconds(4500); // within one window
    unsigned served = 0;
    unsigned refused = 0;
    while (std::chrono::steady_clock::now() < end) {
        for (unsigned i = 0; i < 3; ++i) {
            auto answer = callers[i]->ask("READ a");
            served += answer.isOk() ? 1 : 0;
            refused += answer.hasCode("BUSY") ? 1 : 0;
            BOOST_TEST((answer.isOk() || answer.hasCode("BUSY")), answer.result);
            BOOST_TEST(others[i]->ask("READ a").isOk());
        }
        std::this_thread::sleep_for(milliseconds(15));
    }
    BOOST_TEST(served <= (10 * 5 + 10) * 1.1 + 20);
    BOOST_TEST(served >= 10u * 4);
    BOOST_TEST(refused > 0u);
    BOOST_TEST(rig.countEvents("quota-strict") > 0u);
    BOOST_TEST(getOutput(rig).find("key-mill") == std::string::npos);
}

// The host that counts for all is killed again and again: the quota holds, and an account below its own is served.
BOOST_AUTO_TEST_CASE(a_quota_holds_while_the_host_that_counts_is_replaced)
{
    auto shape = makeShape({ { "mill", { "key-mill" }, 20, 10 }, { "shop", { "key-shop" }, 400, 400 } });
    GatewayRig rig(shape);
    rig.beginHosts();
    LineCaller mill(rig.getCallerAddress(2), "db0-own", "key-mill");
    LineCaller shop(rig.getCallerAddress(2), "db0-own", "key-shop");
    std::this_thread::sleep_for(milliseconds(5000));
    auto end = std::chrono::steady_clock::now() + milliseconds(4500);
    unsigned served = 0;
    unsigned othersRefused = 0;
    for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
        if (round % 100 == 50) {
            rig.getHost(static_cast<unsigned>(round / 100) % 2).kill();
            rig.beginHost(static_cast<unsigned>(round / 100) % 2);
        }
        served += mill.ask("READ a").isOk() ? 1 : 0;
        // Members out of reach are another matter: only what the quota refuses is counted.
        auto answer = shop.ask("READ a").result;
        bool isQuota = answer.find("client account shop") != std::string::npos;
        othersRefused += isQuota ? 1 : 0;
        if (isQuota)
            BOOST_TEST_MESSAGE(round << ": " << answer);
        std::this_thread::sleep_for(milliseconds(8));
    }
    BOOST_TEST(served <= (20 * 5 + 10) * 1.1 + 20);
    BOOST_TEST(othersRefused <= 5u);
}

BOOST_AUTO_TEST_SUITE_END()
