// Transactions that were begun at a member before its connection pool was replaced, because the member restarted or was unlisted. Guards against a
// statement, a rollback or a disconnection that takes effect in the transaction of another caller: each pool numbers its transactions from 1.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>

using namespace harness;

namespace {

constexpr milliseconds kNoticeTime { 3000 }; // until all hosts know of a restart
constexpr milliseconds kOpeningTime { 240 }; // of a connection over a slow link; below the timeout of status queries
constexpr const char* kDatabase = "db0-bounded"; // its reads run on replicas

long readMetric(const std::string& metrics, const std::string& name)
{
    auto at = metrics.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stol(metrics.substr(at + name.size() + 2));
}

struct OpenTransaction {
    std::unique_ptr<LineCaller> caller;
    std::string firstId; // of its first statement
    std::string member;
};

class RestartedMember {
public:
    explicit RestartedMember(unsigned hosts)
        : rig(RigOptions { .hosts = hosts })
        , m_hosts(hosts)
    {
        rig.startHosts();
        // Host 0 then prefers a replica for its reads.
        rig.call([&] {
            rig.getGroup().promote("g0-b");
            rig.getStore().registerMembers();
        });
        for (unsigned i = 0; i < hosts; ++i)
            BOOST_REQUIRE(waitUntil(kNoticeTime, [&] { return LineCaller(rig.getCallerAddress(i), "db0-primary").ask("WRITE x 1").isOk(); }));
    }

    OpenTransaction begin(unsigned host)
    {
        OpenTransaction transaction { std::make_unique<LineCaller>(rig.getCallerAddress(host), kDatabase), {}, {} };
        BOOST_REQUIRE(transaction.caller->ask("BEGIN READ").isOk());
        BOOST_REQUIRE(transaction.caller->ask("READ x").isOk());
        transaction.firstId = transaction.caller->getLastId();
        transaction.member = findExecuted(transaction.firstId).member;
        return transaction;
    }

    // Begins transactions until one runs on the member. It is the first there since the pool was made: a restarted member is not used before it has
    // reported its position.
    OpenTransaction beginOn(unsigned host, const std::string& member)
    {
        OpenTransaction transaction;
        BOOST_REQUIRE(waitUntil(kNoticeTime, [&] {
            transaction = begin(host);
            return transaction.member == member;
        }));
        return transaction;
    }

    void restart(const std::string& member)
    {
        auto before = rig.countEvents("member-restarted");
        rig.call([&] {
            rig.getGroup().restartEmpty(member);
            rig.getStore().registerMembers();
        });
        BOOST_REQUIRE(waitUntil(kNoticeTime, [&] { return rig.countEvents("member-restarted") >= before + m_hosts; }));
    }

    // The transaction is still open, and all of its statements ran in it.
    void checkUntouched(OpenTransaction& transaction)
    {
        auto answer = transaction.caller->ask("READ y");
        BOOST_TEST(answer.isOk(), answer.result);
        BOOST_TEST(findExecuted(transaction.caller->getLastId()).transaction == transaction.firstId);
        BOOST_TEST(transaction.caller->ask("COMMIT").isOk());
    }

    void checkNotExecuted(const std::string& id)
    {
        auto statement = findExecuted(id);
        BOOST_TEST(statement.id.empty(), statement.text << " ran in the transaction of " << statement.transaction);
    }

    standins::ExecutedStatement findExecuted(const std::string& id)
    {
        auto statements = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
        auto it = std::ranges::find(statements, id, &standins::ExecutedStatement::id);
        return it == statements.end() ? standins::ExecutedStatement {} : *it;
    }

    GatewayRig rig;

private:
    unsigned m_hosts;
};

}

BOOST_AUTO_TEST_SUITE(restarted_members)

// A COMMIT would commit the other caller's transaction, and be acknowledged though its own writes are lost.
BOOST_AUTO_TEST_CASE(statements_of_an_earlier_transaction_do_not_run_in_that_of_another_caller)
{
    for (std::string text : { "READ z", "COMMIT" }) {
        RestartedMember member(1);
        auto earlier = member.begin(0);
        member.restart(earlier.member);
        auto later = member.beginOn(0, earlier.member);
        auto answer = earlier.caller->ask(text);
        BOOST_TEST(answer.hasCode("ABORTED"), text << ": " << answer.result);
        member.checkNotExecuted(earlier.caller->getLastId());
        member.checkUntouched(later);
    }
}

BOOST_AUTO_TEST_CASE(the_end_of_an_earlier_transaction_does_not_roll_back_that_of_another_caller)
{
    for (bool isDisconnected : { false, true }) {
        RestartedMember member(1);
        auto earlier = member.begin(0);
        member.restart(earlier.member);
        auto later = member.beginOn(0, earlier.member);
        if (isDisconnected)
            earlier.caller->close();
        else
            BOOST_TEST(earlier.caller->ask("ROLLBACK").isOk());
        std::this_thread::sleep_for(milliseconds(200));
        member.checkUntouched(later);
    }
}

// The idle limit of transactions is 3 s.
BOOST_AUTO_TEST_CASE(the_idle_limit_of_an_earlier_transaction_does_not_roll_back_that_of_another_caller)
{
    RestartedMember member(1);
    auto earlier = member.begin(0);
    member.restart(earlier.member);
    std::this_thread::sleep_for(milliseconds(1500));
    auto later = member.beginOn(0, earlier.member);
    BOOST_TEST(waitUntil(milliseconds(3000), [&] { return member.rig.countEvents("transaction-ended") == 1; }));
    member.checkUntouched(later);
}

// The member keeps running; its pool is shut down as its entry is missing for too long, and made anew when it is listed again.
BOOST_AUTO_TEST_CASE(a_transaction_begun_before_the_member_was_unlisted_is_aborted)
{
    RestartedMember member(1);
    auto earlier = member.begin(0);
    for (int i = 0; i < 3; ++i) { // within the idle limit
        std::this_thread::sleep_for(milliseconds(200));
        BOOST_TEST(earlier.caller->ask("READ w").isOk());
    }
    member.rig.call([&] { member.rig.getStore().remove("servers/" + earlier.member); });
    BOOST_REQUIRE(waitUntil(milliseconds(3000), [&] { return member.rig.countEvents("member-unlisted") == 1; }));
    std::this_thread::sleep_for(milliseconds(2300));
    BOOST_TEST(earlier.caller->ask("READ w").isOk()); // it still has its connection
    std::this_thread::sleep_for(milliseconds(2400));
    member.rig.call([&] { member.rig.getStore().registerMembers(); });
    std::this_thread::sleep_for(milliseconds(300));
    auto later = member.beginOn(0, earlier.member);
    auto answer = earlier.caller->ask("COMMIT");
    BOOST_TEST(answer.hasCode("ABORTED"), answer.result);
    member.checkNotExecuted(earlier.caller->getLastId());
    member.checkUntouched(later);
}

// The forwarder resolves the number of another host by the pool in which the transaction was begun.
BOOST_AUTO_TEST_CASE(transactions_begun_through_a_forwarder_before_a_restart_are_aborted)
{
    RestartedMember member(3);
    std::vector<OpenTransaction> earlier, later;
    for (unsigned host = 0; host < 3; ++host)
        earlier.push_back(member.begin(host));
    for (auto* id : { "g0-a", "g0-c" })
        member.restart(id);
    for (unsigned host = 0; host < 3; ++host)
        later.push_back(member.begin(host));
    for (auto& it : earlier) {
        BOOST_REQUIRE(it.member != "g0-b"); // the primary has not restarted
        auto answer = it.caller->ask("READ z");
        BOOST_TEST(answer.hasCode("ABORTED"), answer.result);
        member.checkNotExecuted(it.caller->getLastId());
    }
    for (auto& it : later)
        member.checkUntouched(it);
}

// Numbers of a host start anew when it restarts. What its forwarder keeps belongs to the connection of the previous process.
BOOST_AUTO_TEST_CASE(transactions_of_a_restarted_host_are_not_mistaken_for_those_of_its_previous_process)
{
    RestartedMember member(3);
    std::vector<OpenTransaction> before;
    for (unsigned i = 0; i < 4; ++i)
        before.push_back(member.begin(1));
    auto other = member.begin(2);
    member.rig.getHost(1).kill();
    member.rig.startHost(1);
    BOOST_REQUIRE(member.rig.waitReady(1));
    std::vector<OpenTransaction> after;
    for (unsigned i = 0; i < 4; ++i)
        after.push_back(member.begin(1));
    for (auto& it : after)
        member.checkUntouched(it);
    member.checkUntouched(other);
}

// A connection that an earlier pool still opens would stay open for good, and count against the limit of the member.
BOOST_AUTO_TEST_CASE(a_connection_that_is_being_opened_at_a_restart_is_closed)
{
    GatewayRig rig(RigOptions { .hosts = 1, .hasProxies = true });
    rig.startHosts();
    BOOST_REQUIRE(LineCaller(rig.getCallerAddress(0), "db0-primary").ask("WRITE x 1").isOk());
    auto& proxies = rig.getProxies();
    auto& primary = *proxies[proxies.size() - 3]; // the proxies of the members are the last ones
    rig.call([&] {
        rig.getGroup().kill("g0-a"); // restarts with its log
        rig.getGroup().start("g0-a");
        primary.faults.delay = kOpeningTime / 2;
    });
    BOOST_REQUIRE(waitUntil(kNoticeTime, [&] { return rig.call([&] { return rig.getGroup().getConnectionCount("g0-a"); }) > 0; })); // for the next proof of the primary
    rig.call([&] { rig.getStore().registerMembers(); });
    BOOST_REQUIRE(waitUntil(kNoticeTime, [&] { return rig.countEvents("member-restarted") == 1; }));
    std::this_thread::sleep_for(4 * kOpeningTime);
    auto open = [&] { return static_cast<long>(rig.call([&] { return rig.getGroup().getConnectionCount("g0-a"); })); };
    BOOST_TEST(waitUntil(kNoticeTime, [&] { return open() == readMetric(rig.getMetrics(0), R"(alderward_pool_connections{member="g0-a"})"); }), open() << " connections are open at the member");
    auto metrics = rig.getMetrics(0);
    auto opened = readMetric(metrics, R"(alderward_connections_opened_total{member="g0-a",result="opened"})");
    auto closed = readMetric(metrics, R"(alderward_connections_closed_total{member="g0-a"})");
    BOOST_TEST(opened - closed == readMetric(metrics, R"(alderward_pool_connections{member="g0-a"})"));
}

BOOST_AUTO_TEST_SUITE_END()
