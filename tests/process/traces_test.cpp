// Replaying the trace of a live run must give the same decisions on every home. ALDERWARD_SAVE_TRACES=FOLDER saves the first
// home's traces; unit/trace_test.cpp replays those in tests/traces.
#include "decisions/trace.h"
#include "harness/harness.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

using namespace harness;
namespace decisions = alderward::decisions;

namespace {

ClusterOptions makeTracedOptions()
{
    auto options = makeSmallOptions();
    options.extraSettings = "trace_events = 20000\n"; // in section [debug]
    return options;
}

void write(Cluster& cluster, const std::string& key)
{
    BOOST_TEST(waitUntil(milliseconds(10000), [&] { return Caller(cluster.getCallerAddress(0)).write("orders", "SET a " + key, key, 1000).status == 200; }));
}

void save(const std::string& name, const std::string& text)
{
    if (auto* folder = std::getenv("ALDERWARD_SAVE_TRACES"))
        std::ofstream(std::string(folder) + "/" + name + ".jsonl") << text;
}

// Replays the trace of every home; returns how many of them ordered a promotion.
size_t replayAll(Cluster& cluster, const std::string& name)
{
    size_t promotions = 0;
    bool wasSaved = false;
    for (auto home : cluster.getHomes("orders")) {
        auto text = Client(cluster.getOperatorAddress(home)).getText("/debug/trace?group=orders");
        auto trace = decisions::parseTrace(text);
        BOOST_REQUIRE_MESSAGE(trace.has_value(), (trace ? std::string() : trace.error()));
        BOOST_TEST(!trace->empty());
        auto replay = decisions::replayTrace(*trace);
        BOOST_TEST(replay.firstDifference == "");
        auto ordered = std::ranges::count_if(replay.actions, [](const std::string& it) { return it.starts_with("promote "); });
        promotions += static_cast<size_t>(ordered);
        if (!wasSaved && (ordered > 0 || name == "slow"))
            save(name, text);
        wasSaved = wasSaved || ordered > 0 || name == "slow";
    }
    return promotions;
}

}

BOOST_AUTO_TEST_SUITE(traces)

BOOST_AUTO_TEST_CASE(killed_primary_trace_replays_identically)
{
    Cluster cluster(makeTracedOptions());
    cluster.startAll();
    write(cluster, "before");
    cluster.getMember("orders-a").kill();
    write(cluster, "after");
    BOOST_TEST(replayAll(cluster, "killed") >= 1u);
}

BOOST_AUTO_TEST_CASE(frozen_and_resumed_primary_trace_replays_identically)
{
    Cluster cluster(makeTracedOptions());
    cluster.startAll();
    write(cluster, "before");
    cluster.getMember("orders-a").signal(SIGSTOP);
    write(cluster, "after");
    cluster.getMember("orders-a").signal(SIGCONT);
    // One home is enough: after its follow request, the others see a member that already follows.
    auto homes = cluster.getHomes("orders");
    BOOST_TEST(waitUntil(milliseconds(10000), [&] {
        return std::ranges::any_of(homes, [&](size_t it) { return cluster.hasEvent(it, "follow-sent", "orders"); });
    }));
    BOOST_TEST(replayAll(cluster, "frozen") >= 1u);
}

BOOST_AUTO_TEST_CASE(leaving_primary_trace_replays_identically)
{
    Cluster cluster(makeTracedOptions());
    cluster.startAll();
    write(cluster, "before");
    cluster.applyRecord(cluster.getOptions().groups.front(), [](json::object& record) { record["members"].get_array()[0].get_object()["leaving"] = true; });
    auto home = cluster.getHomes("orders").front();
    BOOST_TEST(waitUntil(milliseconds(10000), [&] {
        auto primary = cluster.getPrimary("orders", home);
        return !primary.empty() && primary != "orders-a";
    }));
    write(cluster, "after");
    BOOST_TEST(replayAll(cluster, "leaving") >= 1u);
}

BOOST_AUTO_TEST_CASE(slow_and_lagging_members_trace_replays_identically)
{
    Cluster cluster(makeTracedOptions());
    cluster.startAll();
    cluster.setMember("orders-a", { { "serviceMs", 40 } });
    cluster.setMember("orders-b", { { "lagMs", 300 } });
    cluster.setMember("orders-c", { { "lagMs", 200 } });
    for (int i = 0; i < 4; ++i)
        write(cluster, "k" + std::to_string(i));
    replayAll(cluster, "slow");
}

BOOST_AUTO_TEST_SUITE_END()
