// Transactions: bound to one connection, reachable from every host, gone with their host; answers never cross.
#include "harness/harness.h"
#include "links/json_fields.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace harness;

namespace {

std::string beginTransaction(Caller& caller)
{
    auto begun = caller.send("/v1/transaction/begin", { { "group", "orders" } });
    return alderward::links::getString(begun.body, "transaction");
}

Answer writeIn(Caller& caller, const std::string& transaction, const std::string& statement)
{
    return caller.send("/v1/statement", { { "group", "orders" }, { "kind", "write" }, { "statement", statement }, { "transaction", transaction } });
}

Answer endTransaction(Caller& caller, const std::string& transaction, const std::string& verb)
{
    return caller.send("/v1/transaction/" + verb, { { "group", "orders" }, { "transaction", transaction } });
}

}

BOOST_AUTO_TEST_SUITE(transactions)

BOOST_AUTO_TEST_CASE(roaming_caller_reaches_the_owner_and_commit_is_whole)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto name = beginTransaction(caller);
    BOOST_REQUIRE(!name.empty());
    BOOST_TEST(writeIn(caller, name, "SET a 1").status == 200u);
    caller.switchHost(cluster.getCallerAddress(1));
    BOOST_TEST(writeIn(caller, name, "SET b 2").status == 200u);
    // Nobody else sees it before the commit.
    Caller other(cluster.getCallerAddress(2));
    BOOST_TEST(getResult(other.read("orders", "GET a")) == "");
    caller.switchHost(cluster.getCallerAddress(2));
    BOOST_TEST(endTransaction(caller, name, "commit").status == 200u);
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "1");
    BOOST_TEST(getResult(caller.read("orders", "GET b")) == "2");
    BOOST_TEST(getErrorKind(endTransaction(caller, name, "commit")) == "transaction-unknown");
}

BOOST_AUTO_TEST_CASE(owner_that_has_just_started_is_reached_from_hosts_that_found_it_gone)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    for (int round = 0; round < 3; ++round) {
        cluster.getHost(0).kill();
        // The others find it gone, and their channels to it wait longer and longer between two tries.
        std::this_thread::sleep_for(milliseconds(1300));
        cluster.startHost(0);
        BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Client(cluster.getOperatorAddress(0)).get("/healthz").status == 200; }));
        Caller caller(cluster.getCallerAddress(0));
        auto name = beginTransaction(caller);
        BOOST_REQUIRE(!name.empty());
        for (size_t i = 1; i < 3; ++i) {
            caller.switchHost(cluster.getCallerAddress(i));
            auto written = writeIn(caller, name, "SET a 1");
            BOOST_TEST(written.status == 200u, json::serialize(written.body));
        }
        BOOST_TEST(endTransaction(caller, name, "commit").status == 200u);
    }
}

BOOST_AUTO_TEST_CASE(rollback_and_idle_limit_leave_nothing)
{
    auto shape = makeSmallOptions();
    shape.extraSettings = "[limits]\ntransaction_idle_ms = 300\n";
    Cluster cluster(shape);
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto first = beginTransaction(caller);
    writeIn(caller, first, "SET a 1");
    BOOST_TEST(endTransaction(caller, first, "rollback").status == 200u);
    auto second = beginTransaction(caller);
    writeIn(caller, second, "SET a 2");
    auto countOpen = [&] { return cluster.getStatus(0)["groups"].at("orders").at("transactions").to_number<int>(); };
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return countOpen() == 1; }));
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return countOpen() == 0; }));
    BOOST_TEST(getErrorKind(endTransaction(caller, second, "commit")) == "transaction-unknown");
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "");
}

BOOST_AUTO_TEST_CASE(host_that_dies_in_a_transaction_leaves_it_rolled_back)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto name = beginTransaction(caller);
    BOOST_TEST(writeIn(caller, name, "SET a 1").status == 200u);
    cluster.getHost(0).kill();
    caller.switchHost(cluster.getCallerAddress(1));
    // Sent before h2 has noticed the death, the commit may have reached a living h1 for all that h2 knows.
    auto atOnce = endTransaction(caller, name, "commit");
    bool isHonest = getErrorKind(atOnce) == "transaction-unknown" || (getErrorKind(atOnce) == "outcome-unknown" && getRanField(atOnce) == "unknown");
    BOOST_TEST(isHonest, json::serialize(atOnce.body));
    // Once its exchanges have failed, it knows that nothing can be sent there.
    BOOST_TEST(waitUntil(milliseconds(10000), [&] { return cluster.getStatus(1)["hosts"].at("h1").at("state") != "alive"; }));
    auto answer = endTransaction(caller, name, "commit");
    BOOST_TEST(getErrorKind(answer) == "transaction-unknown", json::serialize(answer.body));
    BOOST_TEST(getRanField(answer) == "no");
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "");
}

BOOST_AUTO_TEST_CASE(transaction_at_a_superseded_primary_does_not_commit)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto name = beginTransaction(caller);
    BOOST_TEST(writeIn(caller, name, "SET a 1").status == 200u);
    cluster.getMember("orders-a").kill();
    auto answer = endTransaction(caller, name, "commit");
    BOOST_TEST(answer.status != 200u);
    BOOST_TEST(waitUntil(milliseconds(5000), [&] { return Caller(cluster.getCallerAddress(1)).write("orders", "SET b 1", "kb").status == 200; }));
    BOOST_TEST(getResult(Caller(cluster.getCallerAddress(1)).read("orders", "GET a")) == "");
}

// Many callers at once through few connections, some answers late: each must get its own answer, whole.
BOOST_AUTO_TEST_CASE(crowded_connections_never_cross_answers_or_transactions)
{
    auto shape = makeSmallOptions();
    shape.groups.front().connections = 6;
    Cluster cluster(shape);
    cluster.startAll();
    cluster.setMember("orders-a", { { "serviceMs", 1 } });
    std::atomic<int> wrong { 0 };
    std::atomic<int> done { 0 };
    std::vector<std::thread> callers;
    for (int n = 0; n < 12; ++n) {
        callers.emplace_back([&, n] {
            Caller caller(cluster.getCallerAddress(static_cast<size_t>(n) % 3));
            auto key = "own-" + std::to_string(n);
            for (int i = 0; i < 25; ++i) {
                auto value = std::to_string(n) + "." + std::to_string(i);
                if (n % 3 == 0) {
                    auto name = beginTransaction(caller);
                    if (name.empty())
                        continue;
                    writeIn(caller, name, "SET " + key + " " + value);
                    auto inside = caller.send("/v1/statement", { { "group", "orders" }, { "kind", "read" }, { "statement", "GET " + key }, { "transaction", name } });
                    if (inside.status == 200 && getResult(inside) != value)
                        ++wrong;
                    if (endTransaction(caller, name, "commit").status != 200)
                        continue;
                } else {
                    // A short deadline now and then: its answer comes late and must reach nobody.
                    bool isHasty = i % 7 == 3;
                    auto written = caller.write("orders", "SET " + key + " " + value, key + value, isHasty ? 12 : 5000);
                    if (written.status != 200)
                        continue;
                    if (getResult(written) != value)
                        ++wrong;
                }
                auto read = caller.read("orders", "GET " + key);
                if (read.status == 200 && getResult(read) != value)
                    ++wrong;
                ++done;
            }
        });
    }
    for (auto& it : callers)
        it.join();
    BOOST_TEST(wrong == 0);
    BOOST_TEST(done > 150);
    BOOST_TEST(cluster.getMemberStats("orders-a")["mostConnections"].to_number<int>() <= 6);
}

BOOST_AUTO_TEST_SUITE_END()
