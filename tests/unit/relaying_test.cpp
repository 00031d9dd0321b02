// Which hosts exchange state with each other, and what passes through relays.
#include "decisions/relaying.h"
#include "decisions/watching.h"
#include "gateway/partners.h"
#include "gateway/status_exchange.h"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <random>

using namespace alderward;
using namespace alderward::gateway;

namespace {

constexpr milliseconds kQuietInterval { 750 };
constexpr size_t kDataCentres = 6;

// Hosts spread over data centres and groups of three members, as seen by one host.
struct Fleet {
    boost::asio::io_context context {};
    ClusterView view {};
    std::vector<links::RegisteredHost> hosts {};

    Fleet(size_t hostCount, size_t groups)
    {
        for (size_t i = 0; i < hostCount; ++i) {
            hosts.push_back({ fmt::format("h{}", i), "127.0.0.1:1", fmt::format("dc{}", i % kDataCentres), 1 });
            updateHost(view, hosts.back());
        }
        for (size_t i = 0; i < groups * 3; ++i) {
            links::RegisteredMember member;
            member.id = fmt::format("m{}", i);
            member.group = fmt::format("g{}", i / 3);
            member.dataCentre = fmt::format("dc{}", i % kDataCentres);
            applyMember(view, member, 1, {}, {});
        }
    }

    Partners choose(size_t self, const CoordinatorRole& coordinatorRole = {}, bool isAskedToRelay = false)
    {
        Peers peers(context, hosts[self].name, {});
        peers.setHosts(hosts);
        bool isDraining = false;
        return choosePartners(view, peers, { hosts[self].name, hosts[self].dataCentre, isDraining, true, isAskedToRelay }, coordinatorRole, kQuietInterval);
    }

    std::vector<std::string> findRelays(size_t self)
    {
        Peers peers(context, hosts[self].name, {});
        peers.setHosts(hosts);
        bool isDraining = false;
        return getRelays(view, peers, { hosts[self].name, hosts[self].dataCentre, isDraining });
    }

    bool isRelay(size_t self)
    {
        auto relays = findRelays(self);
        return std::ranges::find(relays, hosts[self].name) != relays.end();
    }
};

}

BOOST_AUTO_TEST_SUITE(relaying)

// Guards against ping traffic per host that grows with the size of the system.
BOOST_AUTO_TEST_CASE(the_number_of_partners_of_a_host_does_not_grow_with_hosts_or_members)
{
    for (size_t groups : { size_t { 20 }, size_t { 200 } }) {
        for (size_t count : { size_t { 60 }, size_t { 100 }, size_t { 300 }, size_t { 1000 } }) {
            Fleet fleet(count, groups);
            size_t sum = 0;
            size_t checkedHosts = 0;
            for (size_t i = 0; i < count; i += count / 50) {
                auto partners = fleet.choose(i);
                if (fleet.isRelay(i)) {
                    BOOST_TEST(partners.size() <= 3 * groups + 3 * groups * 3 * 3 / count + 10);
                    continue;
                }
                ++checkedHosts;
                sum += partners.size();
            }
            // Forwarder and coordinator roles are spread over all hosts.
            auto mean = static_cast<double>(sum) / static_cast<double>(checkedHosts);
            BOOST_TEST(mean <= 12 + 12.0 * static_cast<double>(groups) / static_cast<double>(count), "groups " << groups << " hosts " << count << " mean " << mean);
        }
    }
}

BOOST_AUTO_TEST_CASE(every_host_learns_of_every_member_through_its_relays)
{
    Fleet fleet(295, 20);
    std::map<std::string, Partners> chosen;
    for (size_t i = 0; i < fleet.hosts.size(); ++i)
        chosen[fleet.hosts[i].name] = fleet.choose(i);
    for (size_t i = 0; i < fleet.hosts.size(); ++i) {
        auto relays = fleet.findRelays(i);
        BOOST_REQUIRE(relays.size() == decisions::kWatchersPerDataCentre);
        auto& own = chosen.at(fleet.hosts[i].name);
        size_t loadReporters = 0;
        for (auto& relay : relays) {
            if (relay == fleet.hosts[i].name)
                continue;
            BOOST_REQUIRE(own.contains(relay));
            BOOST_TEST(own.at(relay).isRelay);
            loadReporters += own.at(relay).reportsLoads ? 1 : 0;
            for (auto& [id, member] : fleet.view.members) {
                auto& forwarder = getForwarders(fleet.view, member).front();
                BOOST_REQUIRE((forwarder == relay || chosen.at(relay).contains(forwarder)));
            }
        }
        BOOST_TEST(loadReporters == 1u); // loads are requested from one relay only
    }
}

BOOST_AUTO_TEST_CASE(hosts_of_small_data_centres_exchange_with_forwarders_directly)
{
    Fleet fleet(9, 3);
    for (size_t i = 0; i < 9; ++i) {
        for (auto& [name, partner] : fleet.choose(i)) {
            BOOST_TEST(!partner.isRelay);
            BOOST_TEST((partner.interval == kQuietInterval));
        }
    }
    Fleet one(1, 1);
    BOOST_TEST(one.choose(0).empty());
    BOOST_TEST(one.isRelay(0));
}

// Hosts may disagree on which of them are relays, so any host that is asked must relay.
BOOST_AUTO_TEST_CASE(a_host_that_is_asked_to_relay_exchanges_with_all_forwarders)
{
    Fleet fleet(295, 20);
    size_t self = 0;
    while (fleet.isRelay(self))
        ++self;
    auto asked = fleet.choose(self, {}, true);
    for (auto& [id, member] : fleet.view.members) {
        auto& forwarder = getForwarders(fleet.view, member).front();
        BOOST_TEST((forwarder == fleet.hosts[self].name || asked.contains(forwarder)));
    }
}

// A coordinator needs first-hand evidence on its groups, and enough other partners to detect that it is isolated.
BOOST_AUTO_TEST_CASE(a_coordinator_exchanges_with_the_forwarders_of_its_groups_and_some_other_hosts)
{
    Fleet fleet(295, 20);
    size_t self = 0;
    while (fleet.isRelay(self))
        ++self;
    auto partners = fleet.choose(self, { { "h7", "h8" }, { "g3" } });
    BOOST_TEST(partners.contains("h7"));
    for (auto& id : fleet.view.groups.at("g3").members) {
        auto& forwarder = getForwarders(fleet.view, fleet.view.members.at(id)).front();
        BOOST_TEST((forwarder == fleet.hosts[self].name || partners.contains(forwarder)));
    }
    BOOST_TEST(partners.size() >= 20u);
    BOOST_TEST(partners.size() <= 30u);
}

BOOST_AUTO_TEST_CASE(a_floor_that_passes_through_a_relay_waits_no_longer)
{
    auto direct = decisions::getExchangeIntervals(milliseconds(1000), false);
    auto relayed = decisions::getExchangeIntervals(milliseconds(1000), true);
    BOOST_TEST((relayed.forwarders + relayed.relays <= direct.forwarders));
    BOOST_TEST((decisions::getExchangeIntervals(milliseconds(250), true).relays == decisions::kMinPingInterval));
}

// Guards against reports of lost relays that remain in effect.
BOOST_AUTO_TEST_CASE(a_host_counts_as_unreachable_only_while_all_answering_relays_report_it)
{
    using Names = std::set<std::string>;
    BOOST_TEST((decisions::findUnreachableHosts({ { "x", "y" }, { "y", "z" } }) == Names { "y" }));
    BOOST_TEST((decisions::findUnreachableHosts({ { "x" } }) == Names { "x" }));
    BOOST_TEST(decisions::findUnreachableHosts({ { "x" }, {} }).empty());
    BOOST_TEST(decisions::findUnreachableHosts({}).empty());
}

BOOST_AUTO_TEST_CASE(coordinators_receive_a_bounded_rate_of_alarms)
{
    for (size_t hosts : { size_t { 1 }, size_t { 9 }, size_t { 59 }, size_t { 295 }, size_t { 600 } }) {
        auto interval = std::chrono::duration<double>(decisions::getAlarmInterval(hosts)).count();
        BOOST_TEST(static_cast<double>(hosts) / interval <= 310.0);
    }
    BOOST_TEST((decisions::getAlarmInterval(9) == decisions::kMinAlarmInterval));
    BOOST_TEST((decisions::getAlarmInterval(100000) == decisions::kMaxAlarmInterval));
}

// Guards against stale reads: whatever the clock offsets and delays, a relayed floor must not cover a time later than the query
// of its primary.
BOOST_AUTO_TEST_CASE(a_relayed_floor_never_covers_a_later_time)
{
    std::mt19937 random(17);
    auto drawUpTo = [&](int maxMs) { return milliseconds(static_cast<int>(random() % static_cast<unsigned>(maxMs + 1))); };
    for (int round = 0; round < 2000; ++round) {
        milliseconds now { 1'000'000 }; // true time
        auto askedAt = now; // when the primary was asked; the floor covers writes acknowledged before
        now += drawUpTo(50);
        milliseconds offset = drawUpTo(100'000);
        ClusterView view;
        auto& group = view.groups["g"];
        group.primary = { "m", 3, true };
        group.floors = decisions::addFloor({}, { { 3, 70 }, TimePoint(askedAt + offset) });
        group.lastProofAt = TimePoint(now + offset);
        bool isFirst = true;
        for (int hop = 0; hop < 3; ++hop) {
            now += drawUpTo(900);
            auto sentAt = now; // when the ping was sent
            now += drawUpTo(300); // network delay or a frozen relay
            peer::Pong pong;
            writeGroupStatus(pong, view, !isFirst, TimePoint(now + offset));
            isFirst = false;
            now += drawUpTo(400);
            if (pong.floors().empty())
                break; // too old to be passed on
            offset = drawUpTo(100'000);
            auto provenAt = TimePoint(sentAt + offset) - std::chrono::microseconds(pong.floors(0).age_us());
            BOOST_REQUIRE((provenAt <= TimePoint(askedAt + offset)));
            BOOST_REQUIRE(pong.leads_size() == 1);
            ClusterView next;
            next.groups["g"].primary = decisions::applyPrimaryReport({}, pong.leads(0).member(), pong.leads(0).term());
            next.groups["g"].floors = decisions::addFloor({}, { { pong.floors(0).mark().term(), pong.floors(0).mark().position() }, provenAt });
            view = next;
        }
    }
}

// A relay passes on a primary only with the floor that proves it.
BOOST_AUTO_TEST_CASE(a_primary_without_a_floor_of_its_term_is_not_passed_on)
{
    ClusterView view;
    auto now = TimePoint(milliseconds(1'000'000));
    auto& group = view.groups["g"];
    group.floors = decisions::addFloor({}, { { 3, 70 }, now - milliseconds(100) });
    group.primary = { "n", 4, false };
    peer::Pong pong;
    writeGroupStatus(pong, view, true, now);
    BOOST_TEST(pong.floors_size() == 1);
    BOOST_TEST(pong.leads_size() == 0);
    peer::Pong own;
    writeGroupStatus(own, view, false, now);
    BOOST_TEST(own.floors_size() == 0); // this host did not obtain it from the member itself
}

BOOST_AUTO_TEST_SUITE_END()
