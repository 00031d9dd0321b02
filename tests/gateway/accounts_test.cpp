// Client accounts in running hosts: keys, connections by account, quotas over all hosts.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <set>

using namespace harness;

namespace {

const std::vector<RigAccount> kAccounts { { "mill", { "key-mill-1", "key-mill-2" } }, { "shop", { "key-shop-1" } } };

RigOptions makeOptions(std::vector<RigAccount> accounts = kAccounts)
{
    RigOptions options;
    options.accounts = std::move(accounts);
    return options;
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

// Logs and metrics of all hosts.
std::string getOutput(GatewayRig& rig)
{
    std::string text;
    for (unsigned i = 0; i < 3; ++i)
        text += rig.getLog(i) + rig.getMetrics(i);
    return text;
}

}

BOOST_AUTO_TEST_SUITE(accounts)

BOOST_AUTO_TEST_CASE(members_receive_the_account_of_each_statement_and_keys_are_never_exposed)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
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
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "db0-own", "key-of-a-stranger").getHandshakeAnswer().hasCode("UNAUTH"));
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "no-such", "key-of-a-stranger").getHandshakeAnswer().hasCode("UNAUTH"));
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "no-such", "key-shop-1").getHandshakeAnswer().hasCode("NODB"));
    auto output = getOutput(rig);
    for (auto* key : { "key-mill-1", "key-mill-2", "key-shop-1", "key-of-a-stranger" })
        BOOST_TEST(output.find(key) == std::string::npos, key);
}

BOOST_AUTO_TEST_CASE(a_public_database_needs_no_key)
{
    auto options = makeOptions();
    options.publicDatabase = "db0-bounded";
    GatewayRig rig(options);
    rig.startHosts();
    LineCaller publicCaller(rig.getCallerAddress(1), "db0-bounded", "anybody");
    BOOST_TEST(publicCaller.ask("READ a").isOk());
    LineCaller mill(rig.getCallerAddress(1), "db0-bounded", "key-mill-1");
    BOOST_TEST(mill.ask("READ a").isOk());
    BOOST_TEST(getAccountOf(rig, mill.getLastId()) == "mill");
}

// Ends sessions that are idle or in a transaction, rolls the transaction back, and refuses new sessions.
BOOST_AUTO_TEST_CASE(removing_a_key_ends_its_sessions)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    LineCaller idle(rig.getCallerAddress(1), "db0-own", "key-mill-1");
    LineCaller inTransaction(rig.getCallerAddress(1), "db0-own", "key-mill-1");
    LineCaller other(rig.getCallerAddress(1), "db0-own", "key-mill-2");
    BOOST_TEST(inTransaction.ask("BEGIN").isOk());
    BOOST_TEST(inTransaction.ask("WRITE taken 1").isOk());
    rig.configureAccounts(2, { { "mill", { "key-mill-2" } }, { "shop", { "key-shop-1" } } });
    BOOST_REQUIRE(rig.waitUntilConfigured(1, 2));
    BOOST_TEST(idle.isClosed(milliseconds(1000)));
    BOOST_TEST(inTransaction.isClosed(milliseconds(1000)));
    BOOST_TEST(LineCaller(rig.getCallerAddress(1), "db0-own", "key-mill-1").getHandshakeAnswer().hasCode("UNAUTH"));
    BOOST_TEST(other.ask("READ taken").rows == std::vector<std::string>({ "" }), boost::test_tools::per_element());
    rig.configureAccounts(3, { { "shop", { "key-shop-1" } } }); // the account is removed
    BOOST_REQUIRE(rig.waitUntilConfigured(1, 3));
    BOOST_TEST(other.isClosed(milliseconds(1000)));
}

// Between transactions a session continues under the key's new account; in a transaction it ends.
BOOST_AUTO_TEST_CASE(sessions_follow_a_key_that_moves_to_another_account)
{
    GatewayRig rig(makeOptions());
    rig.startHosts();
    LineCaller moving(rig.getCallerAddress(0), "db0-own", "key-mill-1");
    LineCaller inTransaction(rig.getCallerAddress(0), "db0-own", "key-mill-1");
    BOOST_TEST(moving.ask("READ a").isOk());
    BOOST_TEST(inTransaction.ask("BEGIN").isOk());
    BOOST_TEST(inTransaction.ask("WRITE moved 1").isOk());
    rig.configureAccounts(2, { { "mill", { "key-mill-2" } }, { "shop", { "key-shop-1", "key-mill-1" } } });
    BOOST_REQUIRE(rig.waitUntilConfigured(0, 2));
    BOOST_TEST(moving.ask("READ moved").rows == std::vector<std::string>({ "" }), boost::test_tools::per_element());
    BOOST_TEST(getAccountOf(rig, moving.getLastId()) == "shop");
    BOOST_TEST(inTransaction.isClosed(milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_host_without_the_store_receives_key_changes_from_other_hosts)
{
    auto options = makeOptions();
    options.hasProxies = true;
    options.hosts = 21; // seven in each data centre, enough for relays
    GatewayRig rig(options);
    rig.startHosts();
    std::this_thread::sleep_for(milliseconds(1500)); // relays are chosen
    unsigned isolatedHost = 20;
    LineCaller idle(rig.getCallerAddress(isolatedHost), "db0-own", "key-mill-1");
    BOOST_TEST(idle.ask("READ a").isOk());
    rig.setStoreIsolated(isolatedHost, true);
    rig.configureAccounts(2, { { "mill", { "key-mill-2", "key-mill-3" } }, { "shop", { "key-shop-1" } } });
    BOOST_TEST(rig.waitUntilConfigured(isolatedHost, 2, milliseconds(5000)));
    BOOST_TEST(idle.isClosed(milliseconds(1000)));
    BOOST_TEST(LineCaller(rig.getCallerAddress(isolatedHost), "db0-own", "key-mill-1").getHandshakeAnswer().hasCode("UNAUTH"));
    BOOST_TEST(LineCaller(rig.getCallerAddress(isolatedHost), "db0-own", "key-mill-3").getHandshakeAnswer().state == "I");
}

// More accounts than a forwarder has connections: all are served under their own account within the member's connection limit.
BOOST_AUTO_TEST_CASE(more_accounts_than_connections_are_all_served)
{
    std::vector<RigAccount> accounts;
    for (int i = 0; i < 20; ++i)
        accounts.push_back({ fmt::format("account{}", i), { fmt::format("key{}", i) } });
    auto options = makeOptions(accounts);
    options.connections = 12;
    GatewayRig rig(options);
    rig.startHosts();
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

// Guards against callers with and without an account delaying each other's connections.
BOOST_AUTO_TEST_CASE(public_callers_and_accounts_share_a_member)
{
    std::vector<RigAccount> accounts;
    for (int i = 0; i < 8; ++i)
        accounts.push_back({ fmt::format("account{}", i), { fmt::format("key{}", i) } });
    auto options = makeOptions(accounts);
    options.connections = 8; // three for the forwarder
    options.publicDatabase = "db0-primary";
    GatewayRig rig(options);
    rig.startHosts();
    LineCaller publicCaller(rig.getCallerAddress(0), "db0-primary", "anybody");
    for (int round = 0; round < 24; ++round) {
        LineCaller caller(rig.getCallerAddress(0), "db0-primary", fmt::format("key{}", round % 8));
        auto began = std::chrono::steady_clock::now();
        caller.send("WRITE x 1");
        publicCaller.send("READ x");
        BOOST_TEST(caller.receive().isOk(), "round " << round);
        BOOST_TEST(publicCaller.receive().isOk(), "round " << round);
        auto took = std::chrono::steady_clock::now() - began;
        BOOST_TEST((took < milliseconds(500)), "round " << round << ": " << std::chrono::duration_cast<milliseconds>(took).count() << " ms"); // acceptable to callers
    }
}

// An account that far exceeds its quota through all hosts gets its quota, but no more than the hard limit, and does not affect another account.
BOOST_AUTO_TEST_CASE(a_quota_is_enforced_over_all_hosts)
{
    auto options = makeOptions({ { "mill", { "key-mill" }, 10, 10 }, { "shop", { "key-shop" } } });
    GatewayRig rig(options);
    rig.startHosts();
    std::vector<std::unique_ptr<LineCaller>> callers;
    std::vector<std::unique_ptr<LineCaller>> others;
    for (unsigned i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i), "db0-own", "key-mill"));
        others.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i), "db0-own", "key-shop"));
    }
    std::this_thread::sleep_for(milliseconds(5000)); // until the buckets, which start empty, are full
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

// While hosts that may be the quota server are killed repeatedly, the quota is enforced, and an account within its own quota is served.
BOOST_AUTO_TEST_CASE(a_quota_is_enforced_while_the_quota_server_is_replaced)
{
    auto options = makeOptions({ { "mill", { "key-mill" }, 20, 10 }, { "shop", { "key-shop" }, 400, 400 } });
    GatewayRig rig(options);
    rig.startHosts();
    LineCaller mill(rig.getCallerAddress(2), "db0-own", "key-mill");
    LineCaller shop(rig.getCallerAddress(2), "db0-own", "key-shop");
    std::this_thread::sleep_for(milliseconds(5000));
    auto end = std::chrono::steady_clock::now() + milliseconds(4500);
    unsigned served = 0;
    unsigned othersRefused = 0;
    for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
        if (round % 100 == 50) {
            rig.getHost(static_cast<unsigned>(round / 100) % 2).kill();
            rig.startHost(static_cast<unsigned>(round / 100) % 2);
        }
        served += mill.ask("READ a").isOk() ? 1 : 0;
        // Only refusals by the quota count: members may be unreachable meanwhile.
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
