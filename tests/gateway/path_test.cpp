// Execution of statements: sessions, session variables, prepared statements, transactions, read freshness and connection limits.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;

BOOST_AUTO_TEST_SUITE(statement_execution)

BOOST_AUTO_TEST_CASE(a_session_reads_writes_and_commits_through_any_host)
{
    GatewayRig rig;
    rig.startHosts();
    for (unsigned i = 0; i < 3; ++i) {
        LineCaller caller(rig.getCallerAddress(i), "db0-own");
        BOOST_TEST(caller.getHandshakeAnswer().state == "I");
        auto item = fmt::format("item{}", i);
        BOOST_TEST(caller.ask("WRITE " + item + " first").isOk());
        auto read = caller.ask("READ " + item);
        BOOST_TEST(read.isOk());
        BOOST_REQUIRE(read.rows.size() == 1u);
        BOOST_TEST(read.rows[0] == "first");
        BOOST_TEST(caller.ask("BEGIN").state == "T");
        BOOST_TEST(caller.ask("WRITE " + item + " second").isOk());
        BOOST_TEST(caller.ask("READ " + item).rows.at(0) == "second");
        BOOST_TEST(caller.ask("COMMIT").state == "I");
        BOOST_TEST(caller.ask("READ " + item).rows.at(0) == "second");
        BOOST_TEST(caller.ask("BEGIN").isOk());
        BOOST_TEST(caller.ask("WRITE " + item + " third").isOk());
        BOOST_TEST(caller.ask("ROLLBACK").isOk());
        BOOST_TEST(caller.ask("READ " + item).rows.at(0) == "second");
    }
    BOOST_TEST(LineCaller(rig.getCallerAddress(0), "no-such").getHandshakeAnswer().hasCode("NODB"));
}

// Guards against passing a primary's first refusal for overload on to the caller.
BOOST_AUTO_TEST_CASE(statements_refused_by_a_busy_primary_are_retried)
{
    GatewayRig rig;
    rig.startHosts();
    auto refuseNext = [&](int n) { rig.call([&] { rig.getGroup().getFaults(rig.getGroup().getPrimary()).busyReplies = n; }); };
    for (unsigned i = 0; i < 3; ++i) {
        LineCaller caller(rig.getCallerAddress(i), "db0-primary");
        refuseNext(3);
        BOOST_TEST(caller.ask("WRITE busy 1").isOk());
        refuseNext(3);
        BOOST_TEST(caller.ask("READ busy").isOk());
        caller.ask("BEGIN");
        refuseNext(3);
        BOOST_TEST(caller.ask("WRITE busy 2").isOk());
        refuseNext(3);
        BOOST_TEST(caller.ask("READ busy").rows == std::vector<std::string>({ "2" }), boost::test_tools::per_element());
        refuseNext(3);
        BOOST_TEST(caller.ask("COMMIT").isOk());
        refuseNext(1000); // until reset: the caller gets the error before its deadline
        BOOST_TEST(caller.ask("WRITE busy 3").hasCode("BUSY"));
        refuseNext(0);
    }
    BOOST_TEST(rig.countEvents("promotion-considered") == 0u);
}

// Guards against statements without an answer that occupy all connections until their deadlines.
BOOST_AUTO_TEST_CASE(hanging_statements_do_not_occupy_all_connections)
{
    RigOptions options;
    options.connections = 8; // three for the forwarder
    GatewayRig rig(options);
    rig.startHosts();
    rig.configure(2, 4000);
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return rig.getMetrics(2).find("alderward_configuration_version 2") != std::string::npos; }));
    rig.call([&] { rig.getGroup().getFaults(rig.getGroup().getPrimary()).unansweredAfterRun = 3; });
    std::vector<std::unique_ptr<LineCaller>> hung;
    for (int i = 0; i < 3; ++i) {
        hung.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(0), "db0-primary"));
        hung.back()->send("READ x");
    }
    std::this_thread::sleep_for(milliseconds(50));
    LineCaller other(rig.getCallerAddress(0), "db0-primary");
    BOOST_TEST(other.ask("READ x", milliseconds(2500)).isOk());
    for (auto& it : hung)
        BOOST_TEST(it->receive(milliseconds(2500)).isOk());
}

BOOST_AUTO_TEST_CASE(statements_run_with_the_variables_and_prepared_statements_of_their_own_session)
{
    GatewayRig rig;
    rig.startHosts();
    std::map<std::string, std::pair<std::string, std::string>> expected; // by id: value and text
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (unsigned i = 0; i < 6; ++i) {
        callers.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i % 3), "db0-own"));
        BOOST_TEST(callers[i]->ask(fmt::format("SET zone v{}", i)).isOk());
        // Each session prepares a different statement under the same name.
        BOOST_TEST(callers[i]->ask(fmt::format("PREPARE s READ shape{}", i)).isOk());
    }
    for (int round = 0; round < 10; ++round) {
        for (unsigned i = 0; i < callers.size(); ++i) {
            BOOST_TEST(callers[i]->ask("EXECUTE s x").isOk());
            expected[callers[i]->getLastId()] = { fmt::format("v{}", i), fmt::format("READ x") };
        }
    }
    BOOST_TEST(callers[0]->ask("DEALLOC s").isOk());
    BOOST_TEST(callers[0]->ask("EXECUTE s x").hasCode("NOSUCHSTMT"));
    auto ran = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
    size_t matched = 0;
    for (auto& it : ran) {
        auto found = expected.find(it.id);
        if (found == expected.end())
            continue;
        ++matched;
        BOOST_TEST(it.variables["zone"] == found->second.first);
    }
    BOOST_TEST(matched == expected.size());
}

BOOST_AUTO_TEST_CASE(bounded_staleness_reads_use_replicas_and_read_your_writes_holds)
{
    GatewayRig rig;
    rig.startHosts();
    rig.call([&] {
        for (auto& id : rig.getGroup().getIds())
            rig.getGroup().getFaults(id).lag = milliseconds(300);
    });
    LineCaller caller(rig.getCallerAddress(0), "db0-own");
    for (int i = 0; i < 10; ++i) {
        auto value = fmt::format("v{}", i);
        BOOST_TEST(caller.ask("WRITE mine " + value).isOk());
        BOOST_TEST(caller.ask("READ mine").rows.at(0) == value);
    }
    LineCaller bounded(rig.getCallerAddress(1), "db0-bounded");
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(bounded.ask("READ mine").isOk());
    auto ran = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
    auto byReplica = std::ranges::count_if(ran, [](const auto& it) { return it.member != "g0-a" && it.text == "READ mine"; });
    BOOST_TEST(byReplica >= 20);
}

// Guards against reads that try replicas known to be far behind before they go to the primary.
// Of these 160 reads' attempts at replicas, 200 are refused as behind without the check and 1 with it.
BOOST_AUTO_TEST_CASE(reads_avoid_replicas_that_are_far_behind_until_they_have_caught_up)
{
    GatewayRig rig;
    rig.startHosts();
    auto& group = rig.getGroup();
    auto setLag = [&](milliseconds lag) {
        rig.call([&] {
            for (auto& id : group.getIds()) {
                group.getFaults(id).lag = lag;
                group.getFaults(id).statementTime = milliseconds(12); // similar to the estimate for replicas: otherwise the faster primary would get all reads
            }
        });
    };
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    LineCaller reader(rig.getCallerAddress(1), "db0-bounded");
    setLag(milliseconds(6000));
    for (int i = 0; i < 100; ++i) { // afterwards replicas are about 3 s behind
        BOOST_TEST(writer.ask("WRITE mine v").isOk());
        std::this_thread::sleep_for(milliseconds(30));
    }
    auto before = rig.call([&] { return group.getLaggingRefusals(); });
    for (int i = 0; i < 80; ++i) {
        BOOST_TEST(writer.ask("WRITE mine v").isOk());
        BOOST_TEST(reader.ask("READ mine").isOk());
        BOOST_TEST(reader.ask("READ mine").isOk());
        std::this_thread::sleep_for(milliseconds(15));
    }
    auto refused = rig.call([&] { return group.getLaggingRefusals(); }) - before;
    BOOST_TEST(refused <= 8U);
    setLag(milliseconds(5));
    BOOST_TEST(writer.ask("WRITE mine v").isOk()); // replicas receive the remaining entries with it
    auto countReplicaReads = [&] {
        return rig.call([&] { return std::ranges::count_if(group.getExecutedStatements(), [&](const auto& it) { return it.member != group.getPrimary() && it.text == "READ mine"; }); });
    };
    auto ran = countReplicaReads();
    auto caughtUpAt = std::chrono::steady_clock::now();
    while (countReplicaReads() == ran && std::chrono::steady_clock::now() - caughtUpAt < milliseconds(3000))
        reader.ask("READ mine");
    std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - caughtUpAt;
    BOOST_TEST_MESSAGE("refused as behind: " << refused << ", replicas used again after " << took.count() << " ms");
    BOOST_TEST(took.count() < 900); // a position query of the forwarder and a ping, with their answers
}

// Guards against reuse of a connection with an open transaction: another caller's statement would run inside it.
BOOST_AUTO_TEST_CASE(a_connection_is_not_reused_after_a_failed_rollback)
{
    GatewayRig rig;
    rig.startHosts();
    rig.call([&] { rig.getGroup().getFaults("g0-a").failsRollback = true; });
    LineCaller reader(rig.getCallerAddress(0), "db0-primary");
    LineCaller writer(rig.getCallerAddress(0), "db0-primary");
    for (int round = 0; round < 10; ++round) {
        reader.ask("READ x"); // the gateway wraps it in a transaction, whose rollback fails
        writer.ask("WRITE x 1"); // outside a transaction, on any idle connection
    }
    auto ran = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
    for (auto& it : ran)
        BOOST_TEST((it.transaction.empty() || it.transaction == it.id), it.id << " ran inside the transaction of " << it.transaction);
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_is_lost_is_reported_in_doubt_and_not_retried)
{
    GatewayRig rig;
    rig.startHosts();
    for (bool isTransaction : { false, true }) {
        LineCaller caller(rig.getCallerAddress(1), "db0-primary");
        auto item = isTransaction ? "in-transaction" : "alone";
        if (isTransaction) {
            caller.ask("BEGIN");
            BOOST_TEST(caller.ask(fmt::format("WRITE {} 1", item)).isOk());
        }
        rig.call([&] { rig.getGroup().getFaults("g0-a").closedAfterRun = 1; });
        auto answer = caller.ask(isTransaction ? "COMMIT" : fmt::format("WRITE {} 1", item));
        BOOST_TEST(answer.hasCode("INDOUBT"), answer.result);
        BOOST_TEST(answer.state == "I");
        auto ran = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
        BOOST_TEST(std::ranges::count_if(ran, [&](const auto& it) { return it.id == caller.getLastId(); }) == 1);
    }
}

BOOST_AUTO_TEST_CASE(after_a_lost_answer_a_read_is_retried_and_a_transaction_is_rolled_back)
{
    GatewayRig rig;
    rig.startHosts();
    LineCaller reader(rig.getCallerAddress(0), "db0-primary");
    rig.call([&] { rig.getGroup().getFaults("g0-a").closedAfterRun = 1; });
    BOOST_TEST(reader.ask("READ x").isOk());
    LineCaller writer(rig.getCallerAddress(2), "db0-primary");
    writer.ask("BEGIN");
    BOOST_TEST(writer.ask("WRITE kept 1").isOk());
    rig.call([&] { rig.getGroup().getFaults("g0-a").closedAfterRun = 1; });
    auto answer = writer.ask("WRITE kept 2");
    BOOST_TEST(answer.hasCode("ABORTED"), answer.result);
    BOOST_TEST(answer.state == "E");
    BOOST_TEST(writer.ask("READ kept").hasCode("MALFORMED"));
    BOOST_TEST(writer.ask("ROLLBACK").state == "I");
    BOOST_TEST(!rig.call([&] { return rig.getGroup().getItems().contains("kept"); }));
}

BOOST_AUTO_TEST_CASE(a_disconnected_callers_transaction_is_rolled_back_and_its_connection_released)
{
    GatewayRig rig;
    rig.startHosts();
    for (int i = 0; i < 60; ++i) {
        LineCaller caller(rig.getCallerAddress(i % 3), "db0-primary");
        caller.ask("BEGIN");
        BOOST_TEST(caller.ask("WRITE x 1").isOk(), "caller " << i);
    }
    BOOST_TEST(!rig.call([&] { return rig.getGroup().getItems().contains("x"); }));
}

BOOST_AUTO_TEST_CASE(a_transaction_that_is_idle_for_too_long_is_aborted)
{
    GatewayRig rig;
    rig.startHosts();
    LineCaller caller(rig.getCallerAddress(0), "db0-primary");
    caller.ask("BEGIN");
    BOOST_TEST(caller.ask("WRITE rested 1").isOk());
    std::this_thread::sleep_for(milliseconds(3300));
    BOOST_TEST(caller.ask("COMMIT").hasCode("ABORTED"));
    BOOST_TEST(!rig.call([&] { return rig.getGroup().getItems().contains("rested"); }));
}

BOOST_AUTO_TEST_CASE(the_connection_limit_of_a_member_holds_over_all_hosts)
{
    RigOptions options;
    options.connections = 10;
    GatewayRig rig(options);
    rig.startHosts();
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (int i = 0; i < 45; ++i)
        callers.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(i % 3), i % 2 == 0 ? "db0-primary" : "db0-bounded"));
    for (int round = 0; round < 5; ++round) {
        for (auto& it : callers)
            it->send("READ x");
        for (auto& it : callers)
            BOOST_TEST(it->receive().isOk());
    }
    for (auto& id : rig.getGroup().getIds())
        BOOST_TEST(rig.call([&] { return rig.getGroup().getPeakConnections(id); }) <= 10u);
}

BOOST_AUTO_TEST_SUITE_END()
