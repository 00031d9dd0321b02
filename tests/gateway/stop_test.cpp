// A planned stop of a host. Guards against statements that are cut while members run them, and against commits whose callers are told that they were
// aborted.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace harness;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kGraceMs = 4000;
constexpr milliseconds kHalf { kGraceMs / 2 };
constexpr milliseconds kStatementTime { 150 };
constexpr milliseconds kExitLimit { kGraceMs };

RigOptions makeOptions(unsigned hosts)
{
    RigOptions options;
    options.hosts = hosts;
    options.graceMs = kGraceMs;
    options.slots = 8;
    return options;
}

// Counts of answers to statements that were sent after the signal to stop.
struct StopAnswers {
    std::atomic<int> served { 0 };
    std::atomic<int> aborted { 0 };
    std::atomic<int> missing { 0 }; // the connection ended without an answer
};

class StoppingHost {
public:
    explicit StoppingHost(RigOptions options = makeOptions(1))
        : rig(options)
    {
        rig.startHosts();
    }

    void setStatementTime(milliseconds time)
    {
        rig.call([&] {
            for (auto& id : rig.getGroup().getIds())
                rig.getGroup().getFaults(id).statementTime = time;
        });
    }

    void stop(unsigned host = 0)
    {
        stoppedAt = Clock::now();
        rig.getHost(host).signal(SIGTERM);
    }

    void sleepUntil(milliseconds afterStop) { std::this_thread::sleep_until(stoppedAt + afterStop); }

    bool hasExited(unsigned host = 0)
    {
        auto limit = std::chrono::duration_cast<milliseconds>(stoppedAt + kExitLimit - Clock::now());
        return rig.getHost(host).wait(std::max(limit, milliseconds(1))) == std::optional(0);
    }

    // Runs statements of one transaction, each as soon as the one before is answered, until an answer is not a success.
    void runWithoutPauses(const std::string& begin, const std::string& statement, StopAnswers& answers, unsigned host = 0)
    {
        LineCaller caller(rig.getCallerAddress(host), begin == "BEGIN" ? "db0-primary" : "db0-bounded");
        if (!caller.ask(begin).isOk())
            return;
        for (;;) {
            auto answer = caller.ask(statement);
            if (answer.isOk()) {
                answers.served += 1;
                continue;
            }
            answers.aborted += answer.hasCode("ABORTED") ? 1 : 0;
            answers.missing += answer.result.empty() || answer.state.empty() ? 1 : 0;
            return;
        }
    }

    // The host that has connections to the primary for statements of all hosts.
    unsigned findForwarder()
    {
        auto primary = rig.call([&] { return rig.getGroup().getPrimary(); });
        for (unsigned i = 0; i < 3; ++i) {
            auto running = fmt::format("alderward_pool_running{{member=\"{}\"}} 3", primary);
            if (waitUntil(milliseconds(300), [&] { return rig.getMetrics(i).find(running) != std::string::npos; }))
                return i;
        }
        BOOST_ERROR("no host is the forwarder of the primary");
        return 0;
    }

    GatewayRig rig;
    Clock::time_point stoppedAt {};
};

}

BOOST_AUTO_TEST_SUITE(planned_stop)

// Their callers are never found between two statements by looking from time to time. Statements were passed on until the connections were closed.
BOOST_AUTO_TEST_CASE(transactions_without_pauses_are_ended_by_an_answer)
{
    StoppingHost host;
    host.setStatementTime(kStatementTime);
    StopAnswers answers;
    {
        std::vector<std::jthread> callers;
        for (int i = 0; i < 4; ++i) {
            callers.emplace_back([&] { host.runWithoutPauses("BEGIN READ", "READ x", answers); });
            callers.emplace_back([&] { host.runWithoutPauses("BEGIN", "WRITE x 1", answers); });
        }
        std::this_thread::sleep_for(milliseconds(500));
        host.stop();
    }
    auto took = Clock::now() - host.stoppedAt;
    BOOST_TEST(answers.served > 20);
    BOOST_TEST(answers.aborted == 8);
    BOOST_TEST(answers.missing == 0);
    BOOST_TEST((took >= kHalf && took < kHalf + 4 * kStatementTime), "ended " << std::chrono::duration_cast<milliseconds>(took).count() << " ms after the signal");
    BOOST_TEST(host.hasExited());
    BOOST_TEST(host.rig.call([&] { return host.rig.getGroup().getItems().empty(); }));
}

// Also a COMMIT: nothing is kept, and its caller is told so. A statement that runs at half of the grace period is answered however late.
BOOST_AUTO_TEST_CASE(statements_after_half_of_the_grace_period_are_answered_as_aborted)
{
    StoppingHost host;
    LineCaller commits(host.rig.getCallerAddress(0), "db0-primary");
    LineCaller rollsBack(host.rig.getCallerAddress(0), "db0-primary");
    LineCaller sets(host.rig.getCallerAddress(0), "db0-primary");
    LineCaller runs(host.rig.getCallerAddress(0), "db0-primary");
    for (auto* it : { &commits, &rollsBack, &sets, &runs }) {
        BOOST_TEST(it->ask("BEGIN").isOk());
        BOOST_TEST(it->ask("WRITE x 1").isOk());
    }
    host.setStatementTime(milliseconds(1000));
    host.stop();
    host.sleepUntil(kHalf - milliseconds(200));
    runs.send("WRITE y 2");
    host.sleepUntil(kHalf + milliseconds(100));
    BOOST_TEST(commits.ask("COMMIT").hasCode("ABORTED"));
    BOOST_TEST(rollsBack.ask("ROLLBACK").isOk());
    BOOST_TEST(sets.ask("SET zone a").hasCode("ABORTED"));
    BOOST_TEST(runs.receive().isOk());
    BOOST_TEST(runs.ask("COMMIT").hasCode("ABORTED"));
    for (auto* it : { &commits, &rollsBack, &sets, &runs })
        BOOST_TEST(it->isClosed(milliseconds(500)));
    BOOST_TEST(host.hasExited());
    BOOST_TEST(host.rig.call([&] { return host.rig.getGroup().getItems().empty(); }));
}

// The connections ended without an answer, also those of statements that were still queued.
BOOST_AUTO_TEST_CASE(statements_that_members_do_not_answer_in_time_are_answered_before_the_process_ends)
{
    auto options = makeOptions(1);
    options.slots = 1;
    StoppingHost host(options);
    host.rig.configure(2, 10000);
    BOOST_REQUIRE(host.rig.waitUntilConfigured(0, 2));
    host.setStatementTime(milliseconds(8000));
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<LineCaller>(host.rig.getCallerAddress(0), "db0-primary"));
        callers.back()->send(fmt::format("WRITE x{} 1", i));
    }
    std::this_thread::sleep_for(milliseconds(200));
    host.stop();
    for (auto& it : callers) {
        auto answer = it->receive();
        BOOST_TEST(!answer.result.empty());
        BOOST_TEST(!answer.isOk());
    }
    BOOST_TEST(host.hasExited());
}

// Its callers are at other hosts, and it holds the connections of their transactions.
BOOST_AUTO_TEST_CASE(a_forwarder_that_stops_serves_transactions_of_other_hosts_until_half_of_the_grace_period)
{
    StoppingHost host(makeOptions(3));
    host.setStatementTime(kStatementTime);
    StopAnswers answers;
    {
        std::vector<std::jthread> callers;
        for (unsigned i = 0; i < 3; ++i)
            callers.emplace_back([&, i] { host.runWithoutPauses("BEGIN", "WRITE x 1", answers, i); });
        std::this_thread::sleep_for(milliseconds(500));
        auto forwarder = host.findForwarder();
        host.stop(forwarder);
        host.sleepUntil(kHalf - milliseconds(100));
        BOOST_TEST(answers.aborted == 0);
        BOOST_TEST(answers.missing == 0);
        BOOST_TEST(host.rig.getHost(forwarder).isRunning());
        BOOST_TEST(host.hasExited(forwarder));
        for (unsigned i = 0; i < 3; ++i) {
            if (i != forwarder)
                host.stop(i);
        }
    }
    BOOST_TEST(answers.aborted == 3);
    BOOST_TEST(answers.missing == 0);
}

// Signals in a series, the shortest grace period, and a store that does not answer.
BOOST_AUTO_TEST_CASE(a_stop_answers_what_runs_with_a_short_grace_period_and_without_the_store)
{
    auto options = makeOptions(1);
    options.graceMs = 500;
    StoppingHost host(options);
    LineCaller running(host.rig.getCallerAddress(0), "db0-primary");
    LineCaller resting(host.rig.getCallerAddress(0), "db0-primary");
    BOOST_TEST(resting.ask("BEGIN").isOk());
    BOOST_TEST(resting.ask("WRITE x 1").isOk());
    host.setStatementTime(milliseconds(150));
    host.rig.call([&] { host.rig.getStore().faults.isSilent = true; });
    running.send("WRITE y 2");
    std::this_thread::sleep_for(milliseconds(50));
    host.stop();
    host.rig.getHost(0).signal(SIGTERM);
    BOOST_TEST(running.receive().isOk());
    host.sleepUntil(milliseconds(280));
    host.rig.getHost(0).signal(SIGTERM);
    BOOST_TEST(resting.ask("COMMIT").hasCode("ABORTED"));
    BOOST_TEST(host.hasExited());
}

BOOST_AUTO_TEST_SUITE_END()
