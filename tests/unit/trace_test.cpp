// Replays recorded traces and checks the outcome of each fault.
#include "decisions/trace.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>

using namespace alderward::decisions;

namespace {

std::vector<TraceEntry> readTrace(const std::string& name)
{
    std::ifstream file(std::string(ALDERWARD_SOURCE_DIR) + "/tests/traces/" + name + ".jsonl");
    std::string text(std::istreambuf_iterator<char>(file), {});
    auto trace = parseTrace(text);
    BOOST_REQUIRE_MESSAGE(trace.has_value(), (trace ? std::string() : trace.error()));
    BOOST_REQUIRE(!trace->empty());
    return *trace;
}

size_t countActions(const ReplayResult& replay, const std::string& beginning)
{
    return static_cast<size_t>(std::ranges::count_if(replay.actions, [&](const std::string& it) { return it.starts_with(beginning); }));
}

std::string getPrimary(const ReplayResult& replay)
{
    auto& health = replay.state.health;
    return health.primary ? replay.state.record.members[*health.primary].name : std::string();
}

// Checks for a single promotion, in term 2 after fencing, for the given cause.
void checkPromotion(const ReplayResult& replay, const std::string& cause)
{
    BOOST_TEST(replay.firstDifference == "");
    BOOST_TEST(countActions(replay, "promote ") == 1u);
    BOOST_TEST(countActions(replay, "note promotion-began: term 2: " + cause) == 1u);
    BOOST_TEST(countActions(replay, "fence ") == 3u);
    BOOST_TEST(countActions(replay, "announce ") == 1u);
    BOOST_TEST(getPrimary(replay) != "orders-a");
    BOOST_TEST(getPrimary(replay) != "");
    BOOST_TEST(replay.state.health.term == 2u);
    BOOST_TEST((replay.state.failover.phase == FailoverPhase::Idle));
}

}

BOOST_AUTO_TEST_SUITE(trace)

BOOST_AUTO_TEST_CASE(killed_primary_is_replaced_once)
{
    auto replay = replayTrace(readTrace("killed"));
    checkPromotion(replay, "primary orders-a refuses connections");
    BOOST_TEST(replay.state.failover.recentPromotions.size() == 1u);
}

BOOST_AUTO_TEST_CASE(frozen_primary_is_replaced_once_and_follows_after_it_resumes)
{
    auto replay = replayTrace(readTrace("frozen"));
    checkPromotion(replay, "primary orders-a does not answer");
    BOOST_TEST(countActions(replay, "note primary-seen: orders-a in term 1") == 1u);
}

// The leaving primary is fenced first, the others only after one of them has caught up.
BOOST_AUTO_TEST_CASE(leaving_primary_is_handed_over_and_does_not_count_against_promotion_limits)
{
    auto replay = replayTrace(readTrace("leaving"));
    checkPromotion(replay, "primary orders-a is leaving");
    auto first = std::ranges::find_if(replay.actions, [](const std::string& it) { return it.starts_with("fence "); });
    BOOST_TEST(*first == "fence orders-a in term 2");
    BOOST_TEST(replay.state.failover.recentPromotions.empty());
}

BOOST_AUTO_TEST_CASE(slow_and_lagging_members_cause_no_actions)
{
    auto replay = replayTrace(readTrace("slow"));
    BOOST_TEST(replay.firstDifference == "");
    BOOST_TEST(replay.actions == std::vector<std::string> { "note primary-seen: orders-a in term 1" }, boost::test_tools::per_element());
}

// With changed answers, the replay reports the first entry whose actions differ.
BOOST_AUTO_TEST_CASE(replay_reports_where_a_changed_trace_differs)
{
    auto trace = readTrace("killed");
    auto fence = std::ranges::find_if(trace, [](const TraceEntry& it) {
        auto* event = std::get_if<FailoverEvent>(&it.event);
        return event && std::holds_alternative<FenceAnswered>(*event);
    });
    BOOST_REQUIRE((fence != trace.end()));
    auto changed = trace;
    for (auto& it : changed) {
        if (auto* event = std::get_if<FailoverEvent>(&it.event); event && std::holds_alternative<FenceAnswered>(*event))
            std::get<FenceAnswered>(*event).answer.reset();
    }
    BOOST_TEST(replayTrace(changed).firstDifference.starts_with("entry "));
}

BOOST_AUTO_TEST_CASE(formatted_entries_parse_to_the_same_entries)
{
    for (auto* name : { "killed", "frozen", "leaving", "slow" }) {
        auto trace = readTrace(name);
        std::string text;
        for (auto& it : trace)
            text += formatTraceEntry(it, trace.front().now) + "\n";
        auto again = parseTrace(text);
        BOOST_REQUIRE(again.has_value());
        BOOST_TEST((*again == trace));
    }
}

BOOST_AUTO_TEST_CASE(parse_error_gives_the_line)
{
    BOOST_TEST(parseTrace("{\"atUs\":1,\"event\":\"tick\"}\n{\"atUs\":2,\"event\":\"wish\"}\n").error() == "line 2: unknown event: wish");
    BOOST_TEST(parseTrace("{\"atUs\":1,\"event\":\"tick\"}\n\nnonsense\n").error().starts_with("line 3: "));
}

BOOST_AUTO_TEST_SUITE_END()
