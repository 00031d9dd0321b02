// Transactions: bound to one connection, reachable from every host, rolled back when their host stops. Answers reach only their own caller.
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

Answer writeInTransaction(Caller& caller, const std::string& transaction, const std::string& statement)
{
    return caller.send("/v1/statement", { { "group", "orders" }, { "kind", "write" }, { "statement", statement }, { "transaction", transaction } });
}

Answer endTransaction(Caller& caller, const std::string& transaction, const std::string& verb)
{
    return caller.send("/v1/transaction/" + verb, { { "group", "orders" }, { "transaction", transaction } });
}

}

BOOST_AUTO_TEST_SUITE(transactions)

BOOST_AUTO_TEST_CASE(caller_that_changes_hosts_reaches_the_owner_and_commit_is_atomic)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto name = beginTransaction(caller);
    BOOST_REQUIRE(!name.empty());
    BOOST_TEST(writeInTransaction(caller, name, "SET a 1").status == 200u);
    caller.switchHost(cluster.getCallerAddress(1));
    BOOST_TEST(writeInTransaction(caller, name, "SET b 2").status == 200u);
    // Other callers do not see the writes before the commit.
    Caller other(cluster.getCallerAddress(2));
    BOOST_TEST(getResult(other.read("orders", "GET a")) == "");
    caller.switchHost(cluster.getCallerAddress(2));
    BOOST_TEST(endTransaction(caller, name, "commit").status == 200u);
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "1");
    BOOST_TEST(getResult(caller.read("orders", "GET b")) == "2");
    BOOST_TEST(getErrorKind(endTransaction(caller, name, "commit")) == "transaction-unknown");
}

BOOST_AUTO_TEST_CASE(restarted_owner_is_reached_from_hosts_whose_channels_to_it_failed)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    for (int round = 0; round < 3; ++round) {
        cluster.getHost(0).kill();
        // The other hosts' channels to it fail and increase their reconnect backoff.
        std::this_thread::sleep_for(milliseconds(1300));
        cluster.startHost(0);
        BOOST_TEST(waitUntil(milliseconds(8000), [&] { return Client(cluster.getOperatorAddress(0)).get("/healthz").status == 200; }));
        Caller caller(cluster.getCallerAddress(0));
        auto name = beginTransaction(caller);
        BOOST_REQUIRE(!name.empty());
        for (size_t i = 1; i < 3; ++i) {
            caller.switchHost(cluster.getCallerAddress(i));
            auto written = writeInTransaction(caller, name, "SET a 1");
            BOOST_TEST(written.status == 200u, json::serialize(written.body));
        }
        BOOST_TEST(endTransaction(caller, name, "commit").status == 200u);
    }
}

BOOST_AUTO_TEST_CASE(rolled_back_and_expired_transactions_leave_no_writes)
{
    auto options = makeSmallOptions();
    options.extraSettings = "[limits]\ntransaction_idle_ms = 300\n";
    Cluster cluster(options);
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto first = beginTransaction(caller);
    writeInTransaction(caller, first, "SET a 1");
    BOOST_TEST(endTransaction(caller, first, "rollback").status == 200u);
    auto second = beginTransaction(caller);
    writeInTransaction(caller, second, "SET a 2");
    auto countOpen = [&] { return cluster.getStatus(0)["groups"].at("orders").at("transactions").to_number<int>(); };
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return countOpen() == 1; }));
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return countOpen() == 0; }));
    BOOST_TEST(getErrorKind(endTransaction(caller, second, "commit")) == "transaction-unknown");
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "");
}

BOOST_AUTO_TEST_CASE(crash_of_the_owner_rolls_its_transaction_back)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto name = beginTransaction(caller);
    BOOST_TEST(writeInTransaction(caller, name, "SET a 1").status == 200u);
    cluster.getHost(0).kill();
    caller.switchHost(cluster.getCallerAddress(1));
    // Until h2 has detected the crash, it cannot know whether the commit reached h1.
    auto immediate = endTransaction(caller, name, "commit");
    bool isValidError = getErrorKind(immediate) == "transaction-unknown" || (getErrorKind(immediate) == "outcome-unknown" && getRanField(immediate) == "unknown");
    BOOST_TEST(isValidError, json::serialize(immediate.body));
    // Once its exchanges have failed, h2 knows that the commit cannot reach h1.
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
    BOOST_TEST(writeInTransaction(caller, name, "SET a 1").status == 200u);
    cluster.getMember("orders-a").kill();
    auto answer = endTransaction(caller, name, "commit");
    BOOST_TEST(answer.status != 200u);
    BOOST_TEST(waitUntil(milliseconds(5000), [&] { return Caller(cluster.getCallerAddress(1)).write("orders", "SET b 1", "kb").status == 200; }));
    BOOST_TEST(getResult(Caller(cluster.getCallerAddress(1)).read("orders", "GET a")) == "");
}

// Concurrent callers share few connections and some answers arrive late: each caller must get only its own answers.
BOOST_AUTO_TEST_CASE(shared_connections_never_mix_up_answers_or_transactions)
{
    auto options = makeSmallOptions();
    options.groups.front().connections = 6;
    Cluster cluster(options);
    cluster.startAll();
    cluster.setMember("orders-a", { { "serviceMs", 1 } });
    std::atomic<int> wrongAnswers { 0 };
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
                    writeInTransaction(caller, name, "SET " + key + " " + value);
                    auto inside = caller.send("/v1/statement", { { "group", "orders" }, { "kind", "read" }, { "statement", "GET " + key }, { "transaction", name } });
                    if (inside.status == 200 && getResult(inside) != value)
                        ++wrongAnswers;
                    if (endTransaction(caller, name, "commit").status != 200)
                        continue;
                } else {
                    // Some deadlines are too short: the late answer must not reach any caller.
                    bool hasShortDeadline = i % 7 == 3;
                    auto written = caller.write("orders", "SET " + key + " " + value, key + value, hasShortDeadline ? 12 : 5000);
                    if (written.status != 200)
                        continue;
                    if (getResult(written) != value)
                        ++wrongAnswers;
                }
                auto read = caller.read("orders", "GET " + key);
                if (read.status == 200 && getResult(read) != value)
                    ++wrongAnswers;
                ++done;
            }
        });
    }
    for (auto& it : callers)
        it.join();
    BOOST_TEST(wrongAnswers == 0);
    BOOST_TEST(done > 150);
    BOOST_TEST(cluster.getMemberStats("orders-a")["mostConnections"].to_number<int>() <= 6);
}

BOOST_AUTO_TEST_SUITE_END()
