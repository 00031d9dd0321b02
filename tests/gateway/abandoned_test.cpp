// Statements whose caller has disconnected: what waits is not sent, what was sent is neither repeated nor cancelled, and transactions are rolled back.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;

using CallerPtr = std::unique_ptr<LineCaller>;

static constexpr milliseconds kUsualStatement { 60 }; // a statement is stalled after eight times the learned time, and no longer blocks others
static constexpr int kUsualStatements = 50; // the learned time follows slowly
static constexpr milliseconds kSlowStatement { 800 };
static constexpr int kBlockers = 16; // more than a forwarder has connections, so that stalled ones do not let others pass

namespace {

struct SlowMember {
    explicit SlowMember(bool hasProxies = false)
        : rig(makeOptions(hasProxies))
    {
        rig.startHosts();
        rig.configure(2, 6000);
        for (unsigned i = 0; i < 3; ++i)
            BOOST_REQUIRE(rig.waitUntilConfigured(i, 2));
        // Callers at each host have been served before, so that connections to the member are open.
        for (unsigned i = 0; i < 3; ++i)
            BOOST_REQUIRE(LineCaller(rig.getCallerAddress(i), "db0-primary").ask("WRITE warm 1").isOk());
        learnStatementTime();
    }

    static RigOptions makeOptions(bool hasProxies)
    {
        RigOptions options;
        options.slots = 1;
        options.connections = 24;
        options.hasProxies = hasProxies;
        return options;
    }

    void setStatementTime(milliseconds time)
    {
        rig.call([&] { rig.getGroup().getFaults(rig.getGroup().getPrimary()).statementTime = time; });
    }

    // Lets the forwarder learn how long a statement usually takes.
    void learnStatementTime()
    {
        setStatementTime(kUsualStatement);
        auto caller = open(0);
        for (int i = 0; i < kUsualStatements; ++i)
            BOOST_REQUIRE(caller->ask("WRITE usual 1").isOk());
    }

    // Occupies the member's one slot. Statements that arrive during the next 300 ms wait at the forwarder.
    void block()
    {
        setStatementTime(kSlowStatement);
        for (int i = 0; i < kBlockers; ++i) {
            blockers.push_back(open(0));
            blockers.back()->send(fmt::format("WRITE blocker{} 1", i));
        }
        std::this_thread::sleep_for(milliseconds(50));
    }

    // Waits until the member has executed all that was sent to it.
    void unblock()
    {
        setStatementTime(milliseconds(1));
        for (auto& it : blockers)
            BOOST_TEST(it->receive(milliseconds(6000)).isOk());
        blockers.clear();
        BOOST_TEST(open(0)->ask("WRITE last 1", milliseconds(6000)).isOk());
    }

    CallerPtr open(unsigned host) { return std::make_unique<LineCaller>(rig.getCallerAddress(host), "db0-primary"); }

    long countExecuted(const std::string& id)
    {
        return rig.call([&] { return std::ranges::count_if(rig.getGroup().getExecutedStatements(), [&](const auto& it) { return it.id == id; }); });
    }

    bool hasItem(const std::string& item)
    {
        return rig.call([&] { return rig.getGroup().getItems().contains(item); });
    }

    size_t countWritingTransactions()
    {
        return rig.call([&] { return rig.getGroup().countWritingTransactions(rig.getGroup().getPrimary()); });
    }

    bool hasAbandoned(unsigned host, const std::string& stage, int n = 1)
    {
        return waitUntil(milliseconds(2000), [&] { return rig.getMetrics(host).find(fmt::format("alderward_abandoned_total{{stage=\"{}\"}} {}", stage, n)) != std::string::npos; });
    }

    GatewayRig rig;
    std::vector<CallerPtr> blockers;
};

}

BOOST_AUTO_TEST_SUITE(abandoned_statements)

// Guards against spending a member's time on statements whose callers closed their connections while they waited. Host 0 is the forwarder of the
// primary; statements of the others wait at host 0 as well.
BOOST_AUTO_TEST_CASE(a_waiting_statement_of_a_disconnected_caller_does_not_reach_the_member)
{
    SlowMember member;
    std::vector<std::string> ids;
    std::vector<CallerPtr> leaving, staying;
    member.block();
    for (unsigned host = 0; host < 3; ++host) {
        for (int i = 0; i < 2; ++i) {
            leaving.push_back(member.open(host));
            leaving.back()->send("WRITE left 1");
            ids.push_back(leaving.back()->getLastId());
        }
        staying.push_back(member.open(host));
        staying.back()->send(fmt::format("WRITE stayed{} 1", host));
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (size_t i = 0; i < leaving.size(); ++i) {
        if (i % 2 == 0)
            leaving[i]->close();
        else
            leaving[i]->reset();
    }
    for (unsigned host = 0; host < 3; ++host)
        BOOST_TEST(member.hasAbandoned(host, "queue", 2), "host " << host);
    member.unblock();
    for (auto& it : staying)
        BOOST_TEST(it->receive(milliseconds(6000)).isOk());
    for (auto& id : ids)
        BOOST_TEST(member.countExecuted(id) == 0, id);
    BOOST_TEST(!member.hasItem("left"));
    BOOST_TEST(member.rig.countEvents("caller-gone") == ids.size());
}

// Guards against overlooking the end of a connection behind messages that were not read yet, and against running these.
BOOST_AUTO_TEST_CASE(a_disconnection_is_noticed_behind_unread_messages)
{
    SlowMember member;
    member.block();
    std::vector<CallerPtr> callers;
    std::vector<std::string> ids;
    for (unsigned host = 0; host < 3; ++host) {
        callers.push_back(member.open(host));
        for (int i = 0; i < 2; ++i) {
            callers.back()->send("WRITE left 1");
            ids.push_back(callers.back()->getLastId());
        }
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (auto& it : callers) {
        it->sendRaw("TERMINATE\r\n");
        it->close();
    }
    for (unsigned host = 0; host < 3; ++host)
        BOOST_TEST(member.hasAbandoned(host, "queue"), "host " << host);
    member.unblock();
    for (auto& id : ids)
        BOOST_TEST(member.countExecuted(id) == 0, id);
}

// Guards against sending statements after a change of primary to callers that left during it.
BOOST_AUTO_TEST_CASE(a_statement_that_waits_for_a_primary_is_not_retried_after_its_caller_has_left)
{
    SlowMember member;
    auto& rig = member.rig;
    auto forEachMember = [&](auto f) {
        rig.call([&] {
            for (auto& id : rig.getGroup().getIds())
                f(id);
        });
    };
    forEachMember([&](const std::string& id) { rig.getGroup().kill(id); });
    std::vector<std::string> ids;
    std::vector<CallerPtr> leaving, staying;
    for (unsigned host = 0; host < 3; ++host) {
        leaving.push_back(member.open(host));
        leaving.back()->send("WRITE left 1");
        ids.push_back(leaving.back()->getLastId());
        staying.push_back(member.open(host));
        staying.back()->send(fmt::format("WRITE stayed{} 1", host));
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (auto& it : leaving)
        it->close();
    // One that is being tried at that moment counts as queued.
    BOOST_TEST(waitUntil(milliseconds(1000), [&] { return rig.countEvents("caller-gone") == ids.size(); }));
    forEachMember([&](const std::string& id) { rig.getGroup().start(id); });
    for (auto& it : staying)
        BOOST_TEST(it->receive(milliseconds(6000)).isOk());
    for (auto& id : ids)
        BOOST_TEST(member.countExecuted(id) == 0, id);
    BOOST_TEST(!member.hasItem("left"));
}

// Guards against cancelling or repeating a write that a member has received.
BOOST_AUTO_TEST_CASE(a_write_that_was_sent_runs_once_although_its_caller_has_left)
{
    SlowMember member;
    member.setStatementTime(kSlowStatement);
    for (unsigned host = 0; host < 3; ++host) {
        auto caller = member.open(host);
        auto item = fmt::format("sent{}", host);
        caller->send("WRITE " + item + " 1");
        std::this_thread::sleep_for(milliseconds(100));
        caller->close();
        BOOST_TEST(member.hasAbandoned(host, "running"), "host " << host);
        BOOST_TEST(member.hasItem(item));
        std::this_thread::sleep_for(2 * kSlowStatement);
        BOOST_TEST(member.countExecuted(caller->getLastId()) == 1);
    }
}

// Guards against transactions that keep a connection and their locks until they have been idle for too long.
BOOST_AUTO_TEST_CASE(the_transaction_of_a_disconnected_caller_is_rolled_back_at_once)
{
    SlowMember member;
    for (unsigned host = 0; host < 3; ++host) {
        auto isRolledBack = [&] { return waitUntil(milliseconds(500), [&] { return member.countWritingTransactions() == 0; }); };
        // Idle in its transaction.
        auto caller = member.open(host);
        caller->ask("BEGIN");
        BOOST_TEST(caller->ask("WRITE idle 1").isOk());
        BOOST_TEST(member.countWritingTransactions() == 1u);
        caller->close();
        BOOST_TEST(isRolledBack(), "idle, host " << host);
        // While a statement runs, the first one or a later one: rolled back when it is answered.
        for (bool isFirst : { true, false }) {
            member.setStatementTime(milliseconds(1));
            caller = member.open(host);
            caller->ask("BEGIN");
            if (!isFirst)
                BOOST_TEST(caller->ask("WRITE running 1").isOk());
            member.setStatementTime(kSlowStatement);
            caller->send("WRITE running 2");
            std::this_thread::sleep_for(milliseconds(100));
            caller->close();
            BOOST_TEST(waitUntil(2 * kSlowStatement, [&] { return member.countExecuted(caller->getLastId()) == 1; }));
            BOOST_TEST(isRolledBack(), "running, host " << host);
        }
        member.setStatementTime(milliseconds(1));
    }
    BOOST_TEST(!member.hasItem("idle"));
    BOOST_TEST(!member.hasItem("running"));
}

// Guards against a transaction that stays open because its waiting statement or COMMIT was removed and its end was forgotten.
BOOST_AUTO_TEST_CASE(a_transaction_whose_next_statement_waits_is_rolled_back_at_once)
{
    SlowMember member;
    std::vector<CallerPtr> callers;
    std::vector<std::string> ids;
    for (unsigned host = 0; host < 3; ++host) {
        for (int i = 0; i < 2; ++i) {
            callers.push_back(member.open(host));
            callers.back()->ask("BEGIN");
            BOOST_TEST(callers.back()->ask("WRITE kept 1").isOk());
        }
    }
    BOOST_TEST(member.countWritingTransactions() == callers.size());
    member.block();
    for (size_t i = 0; i < callers.size(); ++i) {
        callers[i]->send(i % 2 == 0 ? "WRITE kept 2" : "COMMIT");
        ids.push_back(callers[i]->getLastId());
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (auto& it : callers)
        it->close();
    BOOST_TEST(waitUntil(milliseconds(400), [&] { return member.countWritingTransactions() == 0; }));
    member.unblock();
    for (auto& id : ids)
        BOOST_TEST(member.countExecuted(id) == 0, id);
    BOOST_TEST(!member.hasItem("kept"));
}

// Guards against taking a caller that has only ended its sending direction for one that has left.
BOOST_AUTO_TEST_CASE(a_caller_that_only_ends_its_sending_direction_gets_its_answer)
{
    SlowMember member;
    member.block();
    std::vector<CallerPtr> callers;
    for (unsigned host = 0; host < 3; ++host) {
        callers.push_back(member.open(host));
        callers.back()->send(fmt::format("WRITE half{} 1", host));
        callers.back()->endSending();
    }
    std::this_thread::sleep_for(milliseconds(150)); // in which a caller that has left would be noticed
    BOOST_TEST(member.rig.countEvents("caller-gone") == 0u);
    member.unblock();
    for (unsigned host = 0; host < 3; ++host) {
        BOOST_TEST(callers[host]->receive(milliseconds(6000)).isOk(), "host " << host);
        BOOST_TEST(member.hasItem(fmt::format("half{}", host)));
        BOOST_TEST(callers[host]->isClosed(milliseconds(1000)));
    }
    // One that does so while its statement has waited for a while cannot be told from one that has left. It is told that the statement did not run.
    member.learnStatementTime();
    member.block();
    auto late = member.open(1);
    late->send("WRITE late 1");
    std::this_thread::sleep_for(milliseconds(100));
    late->endSending();
    auto answer = late->receive(milliseconds(500));
    BOOST_TEST(answer.result.starts_with("ERROR "), answer.result);
    BOOST_TEST(!answer.hasCode("INDOUBT"));
    member.unblock();
    BOOST_TEST(member.countExecuted(late->getLastId()) == 0);
}

// Guards against running statements for callers of a host that has died.
BOOST_AUTO_TEST_CASE(a_forwarder_removes_the_waiting_statements_of_a_host_that_died)
{
    SlowMember member;
    member.block();
    std::vector<CallerPtr> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(member.open(1));
        callers.back()->send("WRITE orphaned 1");
    }
    std::this_thread::sleep_for(milliseconds(100));
    member.rig.getHost(1).kill();
    BOOST_TEST(member.hasAbandoned(0, "queue", 3));
    member.unblock();
    for (auto& it : callers)
        BOOST_TEST(member.countExecuted(it->getLastId()) == 0);
}

// Guards against sending statements whose answers can only arrive too late. The link to the forwarder takes 200 ms each way, so the statement must be
// sent within 500 ms of its arrival there. Its turn comes later, when the statements before it have reached their deadlines.
BOOST_AUTO_TEST_CASE(a_statement_whose_answer_would_be_late_is_not_sent)
{
    SlowMember member(true);
    auto& rig = member.rig;
    rig.call([&] { rig.getProxies()[2]->faults.delay = milliseconds(200); }); // to the peer address of host 0
    std::this_thread::sleep_for(milliseconds(5000)); // while host 1 measures the round trip
    rig.configure(3, 900);
    for (unsigned host = 0; host < 2; ++host)
        BOOST_REQUIRE(rig.waitUntilConfigured(host, 3));
    auto remote = member.open(1);
    member.block();
    remote->send("WRITE late 1");
    auto answer = remote->receive(milliseconds(4000));
    BOOST_TEST(!answer.isOk());
    BOOST_TEST(!answer.hasCode("INDOUBT"), answer.result);
    std::this_thread::sleep_for(kSlowStatement);
    member.setStatementTime(milliseconds(1));
    std::this_thread::sleep_for(kSlowStatement);
    BOOST_TEST(member.countExecuted(remote->getLastId()) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
