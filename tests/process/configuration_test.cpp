// Records: lost responses, concurrent changes, interrupted and compacted watches, rejected records.
#include "harness/harness.h"
#include "links/json_fields.h"
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <thread>

using namespace harness;
using alderward::links::getNumber;

namespace {

uint64_t getVersion(Cluster& cluster, size_t host)
{
    auto status = cluster.getStatus(host);
    auto* groups = status.if_contains("groups");
    auto* group = groups ? groups->get_object().if_contains("orders") : nullptr;
    return group ? getNumber(group->get_object(), "version") : 0;
}

bool isInForceEverywhere(Cluster& cluster, uint64_t version)
{
    for (size_t i = 0; i < cluster.getOptions().hosts; ++i) {
        if (getVersion(cluster, i) < version)
            return false;
    }
    return true;
}

std::string writeRecordWithSlots(Cluster& cluster, int slots)
{
    return cluster.writeRecord(cluster.getOptions().groups.front(), [&](json::object& record) { record["slots"] = slots; });
}

uint64_t getStoredVersion(Cluster& cluster)
{
    auto answer = Client(cluster.getPlatformAddress()).post("/kv/get", { { "key", "alderward/groups/orders" } });
    return getNumber(answer.body, "revision");
}

}

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(change_is_in_force_on_every_host_and_the_tool_waits_for_it)
{
    auto options = makeSmallOptions();
    options.hosts = 7;
    Cluster cluster(options);
    cluster.startAll();
    auto run = cluster.runTool({ "--wait", "config", "apply", writeRecordWithSlots(cluster, 3) });
    BOOST_TEST(run.code == 0, run.output);
    BOOST_TEST(run.output.find("in force on 7 hosts") != std::string::npos, run.output);
    BOOST_TEST(isInForceEverywhere(cluster, getStoredVersion(cluster)));
}

BOOST_AUTO_TEST_CASE(change_with_lost_response_takes_effect_once)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    auto before = getStoredVersion(cluster);
    cluster.setPlatform({ { "loseAnswers", 1 } });
    auto run = cluster.runTool({ "config", "apply", writeRecordWithSlots(cluster, 3) });
    BOOST_TEST(run.code == 0, run.output);
    // One more revision: the change took effect once.
    BOOST_TEST(getStoredVersion(cluster) == before + 1);
    auto history = cluster.runTool({ "config", "history-of", "orders" });
    BOOST_TEST(std::count(history.output.begin(), history.output.end(), '\n') == 2, history.output);
}

BOOST_AUTO_TEST_CASE(one_of_two_concurrent_changes_is_refused_and_shown_the_other)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    // The platform stand-in holds the first swap until the second one arrives, so both expect the same revision.
    cluster.setPlatform({ { "gatherSwaps", 2 } });
    auto first = writeRecordWithSlots(cluster, 3);
    auto copy = cluster.getFolder() + "/other/orders.json";
    std::system(("mkdir -p " + cluster.getFolder() + "/other").c_str());
    {
        std::ifstream from(first);
        std::string text((std::istreambuf_iterator<char>(from)), {});
        auto at = text.find("\"slots\":3");
        std::ofstream(copy) << text.replace(at, 9, "\"slots\":4");
    }
    Cluster::ToolResult firstRun;
    std::thread other([&] { firstRun = cluster.runTool({ "--by", "asha", "config", "apply", first }); });
    auto secondRun = cluster.runTool({ "--by", "bat", "config", "apply", copy });
    other.join();
    auto& refused = firstRun.code == 3 ? firstRun : secondRun;
    auto& written = firstRun.code == 3 ? secondRun : firstRun;
    BOOST_TEST(written.code == 0, written.output);
    BOOST_TEST(refused.code == 3, refused.output);
    BOOST_TEST(refused.output.find(&written == &firstRun ? "by asha" : "by bat") != std::string::npos, refused.output);
    BOOST_TEST(refused.output.find("slots") != std::string::npos, refused.output);
}

BOOST_AUTO_TEST_CASE(invalid_record_is_refused_by_the_tool_and_by_every_host)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    auto path = cluster.writeRecord(cluster.getOptions().groups.front(), [](json::object& record) { record["slots"] = 0; });
    auto run = cluster.runTool({ "config", "check", path });
    BOOST_TEST(run.code == 4);
    BOOST_TEST(run.output.find("field slots") != std::string::npos, run.output);
    BOOST_TEST(cluster.runTool({ "config", "apply", path }).code == 4);
    // Another program writes a record with an unsupported schema: the last valid version stays in force.
    auto version = getVersion(cluster, 0);
    Client platform(cluster.getPlatformAddress());
    json::object change { { "id", "x" }, { "by", "x" }, { "atMs", 1 }, { "summary", "" } };
    json::object envelope { { "record", R"({"schema":3})" }, { "changes", json::array { change } } };
    platform.post("/kv/cas", { { "key", "alderward/groups/orders" }, { "expectRevision", getStoredVersion(cluster) }, { "value", json::serialize(envelope) } });
    for (size_t i = 0; i < 3; ++i) {
        BOOST_TEST(waitUntil(milliseconds(6000), [&] { return cluster.getStatus(i)["refusedRecords"].get_object().contains("orders"); }));
        BOOST_TEST(cluster.hasEvent(i, "record-refused", "orders"));
        BOOST_TEST(getVersion(cluster, i) == version);
    }
    BOOST_TEST(Caller(cluster.getCallerAddress(0)).write("orders", "SET a 1", "k").status == 200u);
}

BOOST_AUTO_TEST_CASE(records_of_schema_1_and_2_are_served_side_by_side)
{
    auto options = makeSmallOptions();
    options.groups.push_back({ "old", { "old-a", "old-b", "old-c" } });
    Cluster cluster(options);
    cluster.startAll();
    json::array members;
    size_t i = 0;
    for (auto& it : { "old-a", "old-b", "old-c" })
        members.emplace_back(std::string(it) + "=" + cluster.getMemberAddress(it) + "@" + options.dataCentres[i++]);
    std::ofstream(cluster.getFolder() + "/old.json") << json::serialize(json::object { { "schema", 1 }, { "members", members }, { "staleMs", 500 } });
    auto run = cluster.runTool({ "--wait", "config", "apply", cluster.getFolder() + "/old.json" });
    BOOST_TEST(run.code == 0, run.output);
    Caller caller(cluster.getCallerAddress(0));
    BOOST_TEST(caller.write("old", "SET a 1", "k1").status == 200u);
    BOOST_TEST(caller.write("orders", "SET a 2", "k1").status == 200u);
    BOOST_TEST(getResult(caller.read("old", "GET a")) == "1");
}

BOOST_AUTO_TEST_CASE(restarted_host_learns_the_records_from_peers_while_the_platform_is_down)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    auto run = cluster.runTool({ "--wait", "config", "apply", writeRecordWithSlots(cluster, 3) });
    BOOST_REQUIRE_EQUAL(run.code, 0);
    auto version = getStoredVersion(cluster);
    cluster.setPlatform({ { "down", true } });
    cluster.getHost(2).kill();
    cluster.startHost(2);
    BOOST_TEST(waitUntil(milliseconds(10000), [&] { return getVersion(cluster, 2) == version; }));
    BOOST_TEST(waitUntil(milliseconds(5000), [&] { return Caller(cluster.getCallerAddress(2)).write("orders", "SET a 1", "k").status == 200; }));
}

BOOST_AUTO_TEST_CASE(compacted_or_interrupted_watch_misses_no_change)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    cluster.setPlatform({ { "cut", json::array { "h1", "h2", "h3" } } });
    cluster.runTool({ "config", "apply", writeRecordWithSlots(cluster, 3) });
    Client(cluster.getPlatformAddress()).post("/admin/compact", {});
    auto version = getStoredVersion(cluster);
    BOOST_TEST(!isInForceEverywhere(cluster, version));
    cluster.setPlatform({ { "cut", json::array() } });
    BOOST_TEST(waitUntil(milliseconds(20000), [&] { return isInForceEverywhere(cluster, version); }));
}

BOOST_AUTO_TEST_CASE(change_reaches_a_data_centre_that_is_cut_off_from_the_platform)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    cluster.setPlatform({ { "cut", json::array { "h3" } } });
    auto run = cluster.runTool({ "--wait", "config", "apply", writeRecordWithSlots(cluster, 3) });
    BOOST_TEST(run.code == 0, run.output);
    BOOST_TEST(cluster.sumMetric("invariant_violations") == 0u);
}

BOOST_AUTO_TEST_CASE(tool_shows_status_and_merged_timeline)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    cluster.getMember("orders-a").kill();
    BOOST_TEST(Caller(cluster.getCallerAddress(0)).write("orders", "SET a 1", "k").status == 200u);
    auto timeline = cluster.runTool({ "timeline", "--group", "orders" });
    BOOST_TEST(timeline.code == 0, timeline.output);
    auto began = timeline.output.find("promotion-began");
    auto promoted = timeline.output.find("promoted");
    BOOST_TEST(began != std::string::npos, timeline.output);
    BOOST_TEST(began < promoted);
    BOOST_TEST(timeline.output.find("refuses connections") != std::string::npos, timeline.output);
    auto status = cluster.runTool({ "status" });
    BOOST_TEST(status.code == 0, status.output);
    BOOST_TEST(status.output.find("term 2 primary orders-") != std::string::npos, status.output);
    // With --host the tool does not need the platform's list.
    cluster.setPlatform({ { "down", true } });
    BOOST_TEST(cluster.runTool({ "--host", cluster.getOperatorAddress(1), "status" }).code == 0);
}

BOOST_AUTO_TEST_SUITE_END()
