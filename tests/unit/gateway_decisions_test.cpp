// Decisions of the gateway (read floors, choice of members, promotions, connections), the line protocol, and documentation checks.
#include "base/families.h"
#include "base/settings.h"
#include "decisions/choice.h"
#include "decisions/promotion.h"
#include "gateway/cluster_view.h"
#include "links/channel.h"
#include "platform/wire.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace alderward;
using namespace alderward::decisions;

namespace {

TimePoint at(int ms) { return TimePoint(milliseconds(100000 + ms)); }

std::string readPage(const std::string& name)
{
    std::ifstream file(std::string(ALDERWARD_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

DatabaseRoute makeRoute(Consistency consistency, int ageMs)
{
    DatabaseRoute route;
    route.consistency = consistency;
    route.maximumAge = milliseconds(ageMs);
    return route;
}

}

BOOST_AUTO_TEST_SUITE(freshness)

BOOST_AUTO_TEST_CASE(the_oldest_floor_within_the_maximum_age_is_used)
{
    FloorHistory history;
    for (int i = 0; i <= 20; ++i)
        history = addFloor(std::move(history), { { 1, static_cast<uint64_t>(100 + i) }, at(i * 100) });
    BOOST_TEST((getFloor(history, milliseconds(1000), at(2000)) == Mark { 1, 110 }));
    BOOST_TEST((getFloor(history, milliseconds(1050), at(2000)) == Mark { 1, 110 }));
    BOOST_TEST(!getFloor(history, milliseconds(1000), at(3001)));
    BOOST_TEST((getFloor(history, milliseconds(0), at(2000)) == Mark { 1, 120 }));
}

BOOST_AUTO_TEST_CASE(late_or_closely_spaced_floors_never_lower_the_required_position)
{
    FloorHistory history;
    history = addFloor(std::move(history), { { 1, 100 }, at(0) });
    history = addFloor(std::move(history), { { 1, 200 }, at(1000) });
    history = addFloor(std::move(history), { { 1, 150 }, at(1200) }); // below an older one
    BOOST_TEST((getFloor(history, milliseconds(0), at(1000)) == Mark { 1, 200 }));
    BOOST_TEST(!getFloor(history, milliseconds(0), at(1100)));
    history = addFloor(std::move(history), { { 1, 160 }, at(500) }); // arrives late, between the others
    BOOST_TEST((getFloor(history, milliseconds(600), at(1000)) == Mark { 1, 160 }));
    for (int i = 0; i < 2000; ++i)
        history = addFloor(std::move(history), { { 1, static_cast<uint64_t>(300 + i) }, at(2000 + i) });
    BOOST_TEST(history.floors.size() < 60u);
    // The newest is always kept, however close the previous one.
    BOOST_TEST((history.floors.back() == Floor { { 1, 2299 }, at(3999) }));
}

BOOST_AUTO_TEST_CASE(read_your_writes_covers_the_sessions_commit_and_newer_terms_cover_older_ones)
{
    FloorHistory history;
    history = addFloor(std::move(history), { { 1, 100 }, at(0) });
    BOOST_TEST((getReadMark(makeRoute(Consistency::ReadYourWrites, 2500), history, { 1, 130 }, at(10)) == Mark { 1, 130 }));
    BOOST_TEST((getReadMark(makeRoute(Consistency::BoundedStaleness, 2500), history, { 1, 130 }, at(10)) == Mark { 1, 100 }));
    BOOST_TEST(!getReadMark(makeRoute(Consistency::ReadYourWrites, 2500), history, { 1, 130 }, at(2501)));
    history = addFloor(std::move(history), { { 2, 90 }, at(3000) });
    BOOST_TEST((getReadMark(makeRoute(Consistency::ReadYourWrites, 2500), history, { 1, 130 }, at(3001)) == Mark { 2, 90 }));
}

BOOST_AUTO_TEST_CASE(the_ping_interval_follows_the_lowest_maximum_age)
{
    BOOST_TEST(getPingInterval(milliseconds(1500)).count() == 750);
    BOOST_TEST(getPingInterval(milliseconds(100)).count() == 250);
    BOOST_TEST(getPingInterval(milliseconds(60000)).count() == 1000);
    BOOST_TEST(getPingInterval(milliseconds(0)).count() == 1000);
    BOOST_TEST(getPingInterval(milliseconds(-5)).count() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(choice)

BOOST_AUTO_TEST_CASE(newer_terms_and_the_members_own_proof_decide_who_is_primary)
{
    KnownPrimary known = applyPrimaryListing({}, "a");
    BOOST_TEST((known == KnownPrimary { "a", 0, false }));
    known = applyPrimaryProof(known, "a", 3);
    BOOST_TEST((applyPrimaryProof(known, "b", 2) == known));
    BOOST_TEST((applyPrimaryReport(known, "b", 3) == known));
    BOOST_TEST((applyPrimaryReport(known, "b", 4) == KnownPrimary { "b", 4, false }));
    BOOST_TEST((applyPrimaryListing(known, "b") == known));
    BOOST_TEST((applyPrimaryDenial(known, "b") == known));
    known = applyPrimaryDenial(known, "a");
    BOOST_TEST((known == KnownPrimary { "", 3, false }));
    BOOST_TEST((applyPrimaryReport(known, "b", 2) == known));
    BOOST_TEST((applyPrimaryReport(known, "b", 3) == KnownPrimary { "b", 3, false }));
}

// Guards against a promotion ordered on outdated evidence after a network partition heals: it would lose the commits of the newer term.
BOOST_AUTO_TEST_CASE(evidence_is_superseded_by_another_primary_or_a_newer_term)
{
    KnownPrimary none { "", 1, false };
    KnownPrimary old { "a", 1, true };
    BOOST_TEST(isSuperseded(none, { "b", 2, false }));
    BOOST_TEST(isSuperseded(none, { "b", 1, false }));
    BOOST_TEST(isSuperseded(old, { "a", 2, true }));
    BOOST_TEST(isSuperseded(old, { "", 2, false }));
    BOOST_TEST(!isSuperseded(old, old));
    BOOST_TEST(!isSuperseded(old, { "", 1, false })); // denied by the member itself
    BOOST_TEST(!isSuperseded(none, none));
}

BOOST_AUTO_TEST_CASE(reads_avoid_the_primary_and_busy_distant_or_lagging_members)
{
    std::vector<Candidate> candidates(3);
    candidates[0].isPrimary = true;
    BOOST_TEST((*chooseReadMember(candidates, {}) == 1u));
    candidates[1].roundTripMs = 16;
    BOOST_TEST((*chooseReadMember(candidates, {}) == 2u));
    candidates[2].queued = 4;
    BOOST_TEST((*chooseReadMember(candidates, {}) == 0u));
    candidates[0].wasTried = true;
    BOOST_TEST((*chooseReadMember(candidates, {}) == 1u));
    candidates[1].position = { 1, 10 };
    candidates[1].positionAge = milliseconds(20);
    BOOST_TEST((*chooseReadMember(candidates, { 1, 11 }) == 2u));
    BOOST_TEST((*chooseReadMember(candidates, { 1, 10 }) == 1u));
    candidates[1].positionAge = milliseconds(200); // it may have caught up
    BOOST_TEST((*chooseReadMember(candidates, { 1, 11 }) == 1u));
    candidates[1].isFarBehind = true; // its forwarder reports when it has caught up
    BOOST_TEST((*chooseReadMember(candidates, { 1, 11 }) == 2u));
    candidates[1] = {};
    candidates[1].positionAge = milliseconds(20); // position unknown, but it was behind
    candidates[1].wasBehind = true;
    BOOST_TEST((*chooseReadMember(candidates, { 1, 11 }) == 2u));
    candidates[1].wasBehind = false;
    BOOST_TEST((*chooseReadMember(candidates, { 1, 11 }) == 1u));
    for (auto& it : candidates)
        it.isUsable = false;
    BOOST_TEST(!chooseReadMember(candidates, {}));
}

BOOST_AUTO_TEST_CASE(forwarders_are_in_the_members_data_centre_and_do_not_depend_on_host_order)
{
    std::vector<ForwarderHost> hosts { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };
    auto ranked = rankForwarders("m", "a", hosts);
    BOOST_REQUIRE(ranked.size() == 3u);
    BOOST_TEST(ranked[0].starts_with("a"));
    BOOST_TEST(ranked[2] == "b1");
    std::ranges::reverse(hosts);
    BOOST_TEST((rankForwarders("m", "a", hosts) == ranked));
    // Removing a host keeps the order of the others.
    std::erase_if(hosts, [&](const ForwarderHost& it) { return it.name == ranked[0]; });
    BOOST_TEST(rankForwarders("m", "a", hosts)[0] == ranked[1]);
    BOOST_TEST(rankForwarders("m", "c", hosts).size() == 2u);
}

// Guards against cached rankings that do not follow changes of hosts and members.
BOOST_AUTO_TEST_CASE(cached_rankings_follow_hosts_and_members)
{
    gateway::ClusterView view;
    for (auto* name : { "a1", "a2", "b1" })
        updateHost(view, { name, "", std::string(name).substr(0, 1), 1 });
    links::RegisteredMember listed;
    listed.id = "m";
    listed.group = "g";
    listed.dataCentre = "a";
    applyMember(view, listed, 1, {}, {});
    auto& member = view.members.at("m");
    auto before = getForwarders(view, member);
    BOOST_REQUIRE(before.size() == 3u);
    BOOST_TEST(before[2] == "b1");
    removeHost(view, before[0]);
    BOOST_TEST(getForwarders(view, member)[0] == before[1]);
    updateHost(view, { before[0], "", "a", 2 });
    BOOST_TEST((getForwarders(view, member) == before));
    updateHost(view, { before[0], "", "a", 3 }); // restarted
    BOOST_TEST((getForwarders(view, member) == before));
    updateHost(view, { before[0], "", "c", 4 }); // moved to another data centre
    BOOST_TEST(getForwarders(view, member)[0] == before[1]);
    updateHost(view, { before[0], "", "a", 5 });
    // After any sequence of changes, cached rankings equal newly computed ones.
    for (int i = 0; i < 300; ++i) {
        auto name = "h" + std::to_string(i * 7 % 40);
        if (view.hosts.contains(name) && i % 3 == 0)
            removeHost(view, name);
        else
            updateHost(view, { name, "", i % 2 == 0 ? "a" : "b", static_cast<uint64_t>(i) });
        auto kept = getForwarders(view, member);
        auto keptForGroup = getRankedHosts(view, "g");
        view.rankings.clear();
        BOOST_REQUIRE((getForwarders(view, member) == kept));
        BOOST_REQUIRE((getRankedHosts(view, "g") == keptForGroup));
    }
    for (auto& [name, host] : std::map(view.hosts)) {
        if (name.starts_with("h"))
            removeHost(view, name);
    }
    listed.dataCentre = "b"; // another process may register under the same id
    applyMember(view, listed, 1, {}, {});
    BOOST_TEST(getForwarders(view, member)[0] == "b1");
    BOOST_TEST(getRankedHosts(view, "g").size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(promotion)

static std::vector<RankedCandidate> makeRanked()
{
    return { { { "h1", 1 }, "a" }, { { "h2", 2 }, "a" }, { { "h3", 3 }, "b" }, { { "h4", 4 }, "c" } };
}

BOOST_AUTO_TEST_CASE(standbys_are_in_other_data_centres_and_fencing_tokens_never_overlap)
{
    auto first = makeCoordinatorRecord({}, makeRanked());
    BOOST_REQUIRE(first.coordinators.size() == kCoordinatorCount);
    BOOST_TEST(first.coordinators[0].host == "h1");
    BOOST_TEST(first.coordinators[1].host == "h3");
    BOOST_TEST(first.coordinators[2].host == "h4");
    auto second = makeCoordinatorRecord(first, { { { "h2", 2 }, "a" } });
    std::set<uint64_t> tokens;
    for (auto* it : { &first, &second }) {
        for (size_t rank = 0; rank < kCoordinatorCount; ++rank) {
            for (uint64_t count : { uint64_t { 0 }, kTokensPerCoordinator - 1 })
                BOOST_TEST(tokens.insert(*getFencingToken(*it, rank, count)).second);
        }
    }
    BOOST_TEST(*getFencingToken(second, 0, 0) > *getFencingToken(first, kCoordinatorCount - 1, kTokensPerCoordinator - 1));
    BOOST_TEST(*getFencingToken(first, 1, 0) > *getFencingToken(first, 0, kTokensPerCoordinator - 1));
    BOOST_TEST(!getFencingToken(first, 0, kTokensPerCoordinator));
}

BOOST_AUTO_TEST_CASE(a_restarted_process_does_not_match_the_record)
{
    auto record = makeCoordinatorRecord({}, makeRanked());
    BOOST_TEST(*findRank(record, { "h1", 1 }) == 0u);
    BOOST_TEST(!findRank(record, { "h1", 9 }));
    BOOST_TEST(isCoordinatorRecordDue(record, { { { "h1", 9 } }, { { "h3", 3 } }, { { "h4", 4 } } }));
    BOOST_TEST(!isCoordinatorRecordDue(record, { { { "h1", 1 } }, { { "h3", 3 } }, { { "h4", 4 } } }));
    BOOST_TEST(isCoordinatorRecordDue(record, { { { "h1", 1 } }, { { "h3", 3 } }, { { "h2", 2 } } }));
    BOOST_TEST(isCoordinatorRecordDue({}, { { { "h1", 1 } } }));
}

BOOST_AUTO_TEST_CASE(a_record_is_renewed_if_only_hosts_outside_it_can_act)
{
    auto record = makeCoordinatorRecord({}, makeRanked());
    std::vector<LiveCandidate> live { { { "h1", 1 }, false }, { { "h2", 2 }, true }, { { "h3", 3 }, false }, { { "h4", 4 }, false } };
    BOOST_TEST(isCoordinatorRecordDue(record, live));
    live[3].canAct = true; // a standby in the record can act: the record stays
    BOOST_TEST(!isCoordinatorRecordDue(record, live));
    live[1].canAct = false;
    live[3].canAct = false; // no host has the store, so none could write the record
    BOOST_TEST(!isCoordinatorRecordDue(record, live));
}

// Guards against a first coordinator that answers but cannot act and blocks the standbys.
BOOST_AUTO_TEST_CASE(coordinators_that_can_act_come_first_then_by_rank)
{
    BOOST_TEST((rankUsableCoordinators({ { true, true }, { true, true }, { true, true } }) == std::vector<size_t> { 0, 1, 2 }));
    BOOST_TEST((rankUsableCoordinators({ { true, false }, { true, true }, { true, true } }) == std::vector<size_t> { 1, 2, 0 }));
    BOOST_TEST((rankUsableCoordinators({ { true, false }, { true, false }, { true, false } }) == std::vector<size_t> { 0, 1, 2 })); // none can act: all still try
    BOOST_TEST((rankUsableCoordinators({ { false, true }, { true, false }, { false, true } }) == std::vector<size_t> { 1 }));
    BOOST_TEST(rankUsableCoordinators({}).empty());
}

BOOST_AUTO_TEST_CASE(only_checking_a_primary_works_without_the_store)
{
    for (auto task : { PromotionTask::HandOver, PromotionTask::CheckPrimary, PromotionTask::FindPrimary }) {
        BOOST_TEST(canPerform({ true, true }, task));
        BOOST_TEST(!canPerform({ true, false }, task));
        BOOST_TEST(canPerform({ false, true }, task) == (task == PromotionTask::CheckPrimary)); // needs answers of members only
    }
}

BOOST_AUTO_TEST_CASE(coordinator_records_survive_formatting_and_malformed_ones_are_refused)
{
    auto record = makeCoordinatorRecord({}, makeRanked());
    BOOST_TEST((parseCoordinatorRecord(formatCoordinatorRecord(record)) == record));
    for (auto* text : { "", "[]", "{}", R"({"orderers":1,"firstToken":1})", R"({"orderers":[1],"firstToken":1})", R"({"orderers":[{"host":1,"incarnation":1}],"firstToken":1})" })
        BOOST_TEST(!parseCoordinatorRecord(text), text);
}

// Guards against an order that is forgotten when the record gets other coordinators, or that is kept after its sender has removed it.
BOOST_AUTO_TEST_CASE(recorded_orders_outlive_their_coordinators_until_they_are_removed)
{
    auto record = makeCoordinatorRecord({}, makeRanked());
    record.recorded = addOrder(record.recorded, { "b", { "h1", 1 } }, 4);
    record.recorded = addOrder(record.recorded, { "b", { "h3", 3 } }, 4);
    BOOST_TEST((addOrder(record.recorded, { "b", { "h1", 1 } }, 4) == record.recorded));
    BOOST_TEST((parseCoordinatorRecord(formatCoordinatorRecord(record)) == record));
    auto next = makeCoordinatorRecord(record, { { { "h2", 2 }, "a" } });
    BOOST_TEST((next.recorded == record.recorded));
    auto remaining = removeOrders(next.recorded, { "h1", 1 }, { "b", "c" });
    BOOST_TEST((remaining.orders == std::vector<RecordedOrder> { { "b", { "h3", 3 } } }));
    BOOST_TEST((removeOrders(remaining, { "h3", 9 }, { "b" }) == remaining)); // of another process of that host
    BOOST_TEST((removeOrders(remaining, { "h3", 3 }, { "b" }) == RecordedOrders {}));
    auto newer = addOrder(record.recorded, { "c", { "h3", 3 } }, 5); // a term has begun: the earlier ones are settled
    BOOST_TEST((newer.orders == std::vector<RecordedOrder> { { "c", { "h3", 3 } } }));
    for (auto* text : { R"({"orderers":[],"firstToken":1,"orders":1,"previousTerm":1})", R"({"orderers":[],"firstToken":1,"orders":[]})",
             R"({"orderers":[],"firstToken":1,"orders":[{"member":"b"}],"previousTerm":1})" })
        BOOST_TEST(!parseCoordinatorRecord(text), text);
}

BOOST_AUTO_TEST_CASE(the_member_with_the_newest_log_succeeds_and_synchronous_commits_are_kept)
{
    std::vector<MemberFinding> found { { "b", true, false, 1, { 1, 10 } }, { "c", true, false, 1, { 1, 12 } } };
    BOOST_TEST(*chooseSuccessor(found, 0, 3) == "c");
    found[1].isPromotable = false;
    BOOST_TEST(*chooseSuccessor(found, 0, 3) == "b");
    BOOST_TEST(!chooseSuccessor(found, 1, 3)); // c may hold a commit that b does not
    found[0].received = { 1, 12 };
    BOOST_TEST(*chooseSuccessor(found, 1, 3) == "b");
    found[1].wasReached = false;
    BOOST_TEST(*chooseSuccessor(found, 0, 1) == "b"); // the others are no longer listed
    BOOST_TEST(!chooseSuccessor(found, 1, 1));
    BOOST_TEST(!chooseSuccessor({}, 0, 0));
}

// Guards against a promotion on the minority side of a network partition, which would lose writes acknowledged by the new primary.
BOOST_AUTO_TEST_CASE(no_successor_is_chosen_without_a_majority)
{
    std::vector<MemberFinding> found { { "old", true, false, 1, { 1, 10 } }, { "new", false, false, 0, {} }, { "other", false, false, 0, {} } };
    BOOST_TEST(!chooseSuccessor(found, 0, 3));
    BOOST_TEST(!chooseSuccessor(found, 0, 2));
    found[2].wasReached = true;
    BOOST_TEST(!chooseSuccessor(found, 0, 3)); // it reported no status
    found[2].term = 1;
    BOOST_TEST(chooseSuccessor(found, 0, 3).has_value());
}

// Guards against counting a busy member, whose log is unknown, towards the majority: it may be the new primary of the other side
// of a partition.
BOOST_AUTO_TEST_CASE(members_without_a_status_do_not_count_towards_the_majority)
{
    MemberFinding old { "a", true, false, 1, { 1, 75 }, true };
    MemberFinding busy { "b", true, false, 0, {}, true };
    MemberFinding replica { "c", true, false, 1, { 1, 50 }, true };
    BOOST_TEST(!chooseSuccessor({ old, busy }, 0, 3));
    BOOST_TEST((chooseSuccessor({ old, busy, replica }, 0, 3) == std::optional<std::string>("a")));
    BOOST_TEST(!chooseSuccessor({ old, busy, replica }, 1, 3)); // it may hold a commit that no other has
}

BOOST_AUTO_TEST_CASE(a_newer_term_reported_by_members_reveals_an_unknown_primary)
{
    MemberFinding old { "a", true, false, 1, { 1, 90 }, true };
    MemberFinding replica { "b", true, false, 2, { 1, 50 }, true };
    MemberFinding unreached { "c", false, false, 9, {}, true };
    BOOST_TEST((findNewerTerm({ old, replica, unreached }, 1) == std::optional<uint64_t>(2)));
    BOOST_TEST((findNewerTerm({ old, { "b", true, false, 0, { 2, 60 }, true } }, 1) == std::optional<uint64_t>(2)));
    BOOST_TEST(!findNewerTerm({ old, replica, unreached }, 2)); // the term is already known
    BOOST_TEST(!findNewerTerm({ old, unreached }, 1));
    BOOST_TEST(!findNewerTerm({}, 0));
}

// Guards against a few isolated hosts that replace a primary which most hosts still reach.
BOOST_AUTO_TEST_CASE(a_host_that_has_lost_most_others_declares_no_primary_dead)
{
    BOOST_TEST(!canJudgePrimary({ .answering = 1, .lost = 7 }));
    BOOST_TEST(!canJudgePrimary({ .answering = 0, .lost = 2 }));
    BOOST_TEST(canJudgePrimary({ .answering = 0, .lost = 0 })); // the only host
    BOOST_TEST(!canJudgePrimary({ .answering = 0, .lost = 1 })); // one of two hosts: the other may reach the primary
    BOOST_TEST(!canJudgePrimary({ .answering = 3, .lost = 4 })); // four of eight hosts, this one included
    BOOST_TEST(canJudgePrimary({ .answering = 4, .lost = 4 }));
    BOOST_TEST(canJudgePrimary({ .answering = 6, .lost = 2 }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_CASE(a_connection_is_reset_only_to_remove_values_that_the_session_lacks)
{
    ConnectionState connection { { { "zone", "a" } }, {} };
    BOOST_TEST(planConnection(connection, { { "zone", "a" } }, {}).getCost() == 0u);
    auto plan = planConnection(connection, { { "zone", "b" }, { "lang", "mn" } }, PreparedShape { "q", false });
    BOOST_TEST(!plan.mustReset);
    BOOST_TEST(plan.variables.size() == 2u);
    BOOST_TEST(!plan.preparedName.empty());
    connection = applyPlan(connection, plan, PreparedShape { "q", false });
    BOOST_TEST(planConnection(connection, { { "zone", "b" }, { "lang", "mn" } }, PreparedShape { "q", false }).getCost() == 0u);
    plan = planConnection(connection, { { "lang", "mn" } }, PreparedShape { "q", false });
    BOOST_TEST(plan.mustReset);
    BOOST_TEST(!plan.preparedName.empty()); // a reset drops prepared statements
    connection = applyPlan(connection, plan, PreparedShape { "q", false });
    BOOST_TEST((connection.variables == SessionVariables { { "lang", "mn" } }));
}

// Names at a target are words of a few bytes, one for each shape and mode, whatever the callers' shapes contain.
BOOST_AUTO_TEST_CASE(names_of_prepared_statements_are_distinct_words_and_never_used_again)
{
    ConnectionState connection;
    std::set<std::string> names;
    auto prepare = [&](const PreparedShape& shape, const SessionVariables& session) {
        auto plan = planConnection(connection, session, shape);
        connection = applyPlan(connection, plan, shape);
        auto name = findPreparedName(connection, shape);
        BOOST_TEST(name == plan.preparedName);
        BOOST_TEST(name.size() < 10u);
        BOOST_TEST(name.find_first_of(" \r\n") == std::string::npos);
        BOOST_TEST(names.insert(name).second);
    };
    for (std::string shape : { "q", "q with options", "q  with options", "q ", " q", "p1", "1" }) {
        prepare({ shape, false }, {});
        prepare({ shape, true }, {});
    }
    prepare({ "r", true }, { { "zone", "a" } });
    prepare({ "r", true }, {}); // after a reset
    connection = applyRefusedPlan(connection, planConnection(connection, {}, PreparedShape { "s", true }));
    BOOST_TEST(planConnection(connection, {}, {}).mustReset);
    prepare({ "t", true }, {});
    BOOST_TEST(!planConnection(connection, {}, {}).mustReset);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(line_protocol)

BOOST_AUTO_TEST_CASE(messages_of_callers_are_parsed_into_statements)
{
    auto codec = platform::makeLineCodec();
    auto parse = [&](const std::string& text) { return std::get<Statement>(codec->parseCallerMessage(text)); };
    BOOST_TEST((parse("QUERY a BEGIN").kind == StatementKind::Begin));
    BOOST_TEST((parse("QUERY a BEGIN READ").kind == StatementKind::BeginReadOnly));
    BOOST_TEST((parse("QUERY a READ x").kind == StatementKind::Read));
    BOOST_TEST(parse("QUERY a WRITE x y z").isWrite);
    auto set = parse("QUERY a SET zone a b");
    BOOST_TEST(set.name == "zone");
    BOOST_TEST(set.argument == "a b");
    auto prepare = parse("QUERY a PREPARE s WRITE q 1");
    BOOST_TEST((prepare.kind == StatementKind::Prepare));
    BOOST_TEST(prepare.isWrite);
    BOOST_TEST(prepare.argument == "q 1");
    for (auto* text : { "QUERY a BEGIN NOW", "QUERY a READ", "QUERY a PREPARE s", "QUERY a PREPARE s MAYBE q", "QUERY a SET", "QUERY a begin" })
        BOOST_TEST((parse(text).kind == StatementKind::Unknown), text);
    for (auto* text : { "", "QUERY", "QUERY a", "QUERY - READ x", "READ x", "CONNECT", "connect db" })
        BOOST_TEST(std::holds_alternative<links::MalformedMessage>(codec->parseCallerMessage(text)), text);
    BOOST_TEST(std::get<links::OpenSession>(codec->parseCallerMessage("CONNECT db who")).database == "db");
}

BOOST_AUTO_TEST_CASE(statements_are_forwarded_unchanged_except_for_mark_and_prepared_name)
{
    auto codec = platform::makeLineCodec();
    auto statement = std::get<Statement>(codec->parseCallerMessage("QUERY 5c READ  odd  blanks "));
    BOOST_TEST(codec->formatStatement(statement, {}, "") == "QUERY 5c READ  odd  blanks \r\n");
    BOOST_TEST(codec->formatStatement(statement, { 3, 7 }, "") == "QUERY 5c AFTER 3.7 READ  odd  blanks \r\n");
    statement = std::get<Statement>(codec->parseCallerMessage("QUERY 5c EXECUTE s1 1a4 data with blanks"));
    BOOST_TEST(codec->formatStatement(statement, {}, "w_q2c") == "QUERY 5c EXECUTE w_q2c 1a4 data with blanks\r\n");
}

BOOST_AUTO_TEST_CASE(answers_of_targets_are_parsed_and_retryable_errors_keep_their_codes)
{
    auto codec = platform::makeLineCodec();
    auto ready = std::get<links::ReadyMessage>(codec->parseTargetMessage("READY T 3.1207"));
    BOOST_TEST((ready.state == SessionState::InTransaction));
    BOOST_TEST((ready.position == Mark { 3, 1207 }));
    BOOST_TEST((std::get<links::ReadyMessage>(codec->parseTargetMessage("READY I -")).position == Mark {}));
    BOOST_TEST((std::get<links::FailureMessage>(codec->parseTargetMessage("ERROR LAGGING i-1")).error.kind == ErrorKind::TooStale));
    BOOST_TEST((std::get<links::FailureMessage>(codec->parseTargetMessage("ERROR NEWWORD i-1")).error.kind == ErrorKind::Internal));
    BOOST_TEST(std::holds_alternative<links::MalformedMessage>(codec->parseTargetMessage("HELLO")));
    auto status = codec->parseStatus("replica 3 3.1209 0 12 2 17");
    BOOST_TEST((status == links::TargetStatus { false, 3, { 3, 1209 }, milliseconds(12) }));
    BOOST_TEST(!codec->parseStatus("leader 3"));
    // A code that promises that the statement did not run may be sent only for errors that guarantee it.
    for (auto& row : getErrorTable()) {
        auto text = codec->formatError({ row.kind, "x" });
        bool promises = text.starts_with("ERROR BUSY") || text.starts_with("ERROR ABORTED") || text.starts_with("ERROR LAGGING") || text.starts_with("ERROR READONLY") || text.starts_with("ERROR WRONGNODE") || text.starts_with("ERROR OVERLOAD");
        BOOST_TEST((!promises || row.ran == Ran::No), row.name << " is sent as " << text);
    }
}

BOOST_AUTO_TEST_CASE(messages_are_split_and_malformed_ones_detected)
{
    BOOST_TEST(links::splitLine("READ", 0).size == 0u);
    auto line = links::splitLine("READ x\r\nmore", 0);
    BOOST_TEST(line.size == 8u);
    BOOST_TEST(line.length == 6u);
    BOOST_TEST(links::splitLine("READ x\nmore", 0).isMalformed);
    BOOST_TEST(links::splitLine(std::string(links::kMaxMessageSize + 1, 'x'), 0).isMalformed);
    auto frame = links::encodeFrame("hello");
    BOOST_TEST(links::splitFrame(frame, 0).length == 5u);
    BOOST_TEST(links::splitFrame(std::string_view(frame).substr(0, 6), 0).size == 0u);
    BOOST_TEST(links::splitFrame("\xff\xff\xff\xff", 0).isMalformed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(pages)

BOOST_AUTO_TEST_CASE(every_metric_is_documented_and_follows_naming_conventions)
{
    auto page = readPage("docs/METRICS.md");
    for (auto& it : base::getMetricFamilies()) {
        BOOST_TEST(page.find(fmt::format("| `{}` |", it.name)) != std::string::npos, it.name << " is not in docs/METRICS.md");
        BOOST_TEST(std::regex_match(std::string(it.name), std::regex("[a-z][a-z0-9_]*")));
        BOOST_TEST((it.type != base::MetricType::Counter || it.name.ends_with("_total")), it.name);
    }
    base::incrementCounter(base::MetricFamily::StoreCalls, { { "call", "get" }, { "result", "a\"b\\" } });
    base::observeHistogram(base::MetricFamily::StoreSeconds, { { "call", "get" } }, 0.02);
    auto text = base::formatMetricFamilies();
    BOOST_TEST(text.find("alderward_store_calls_total{call=\"get\",result=\"a\\\"b\\\\\"} 1") != std::string::npos);
    BOOST_TEST(text.find("alderward_store_seconds_bucket{call=\"get\",le=\"0.01\"} 0") != std::string::npos);
    BOOST_TEST(text.find("alderward_store_seconds_bucket{call=\"get\",le=\"+Inf\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(log_events_in_code_and_documentation_match)
{
    std::set<std::string> inCode;
    for (auto* folder : { "src", "platform" }) {
        for (auto& it : std::filesystem::recursive_directory_iterator(std::string(ALDERWARD_SOURCE_DIR) + "/" + folder)) {
            if (it.path().extension() != ".cpp")
                continue;
            std::ifstream file(it.path());
            std::ostringstream stream;
            stream << file.rdbuf();
            auto text = stream.str();
            std::regex pattern(R"re((?:LogClass::\w+|logClass),\s*(?:\w+ \? "([a-z-]+)" : )?"([a-z-]+)")re");
            for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
                if ((*match)[1].matched)
                    inCode.insert((*match)[1]);
                inCode.insert((*match)[2]);
            }
            if (text.find("\"lines-left-out\"") != std::string::npos)
                inCode.insert("lines-left-out");
        }
    }
    auto page = readPage("docs/LOGS.md");
    std::set<std::string> onPage;
    std::regex row(R"re(\n\| `([a-z-]+)` \|)re");
    for (std::sregex_iterator match(page.begin(), page.end(), row), end; match != end; ++match)
        onPage.insert((*match)[1]);
    for (auto& it : inCode)
        BOOST_TEST(onPage.contains(it), it << " is not in docs/LOGS.md");
    for (auto& it : onPage)
        BOOST_TEST(inCode.contains(it), it << " is in docs/LOGS.md, but no code writes it");
    BOOST_TEST(inCode.size() > 20u);
}

BOOST_AUTO_TEST_CASE(gateway_settings_are_validated_and_documented)
{
    auto page = readPage("docs/OPERATIONS.md");
    for (auto& it : base::getGatewaySettingTable())
        BOOST_TEST(page.find(fmt::format("| `[{}] {}` |", it.section, it.key)) != std::string::npos, it.key << " is not in docs/OPERATIONS.md");
    std::string good = "[gateway]\nname = a\ndata_centre = b\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\nready_address = 127.0.0.1:3\n[platform]\nstore_address = 127.0.0.1:4\norders_address = 127.0.0.1:5\n";
    BOOST_TEST(base::hasGatewaySection(good));
    BOOST_TEST(base::parseGatewaySettings(good, "f").has_value());
    BOOST_TEST(base::parseGatewaySettings(good + "call_limit_ms = 5\n", "f").error() == "f:10: [platform] call_limit_ms must be a whole number from 100 to 60000 (ms)");
    BOOST_TEST(base::parseGatewaySettings("[gateway]\nname = a\n", "f").error() == "f:1: [gateway] data_centre is missing");
    BOOST_TEST(base::parseGatewaySettings(good + "[log]\ncolour = red\n", "f").error() == "f:11: [log] colour is not a setting");
}

BOOST_AUTO_TEST_SUITE_END()
