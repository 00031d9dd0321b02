// Through whom hosts hear of each other, and at what price.
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

constexpr milliseconds kQuiet { 750 };
constexpr size_t kDataCentres = 6;

// A fleet as one of its hosts sees it: hosts spread over data centres, groups of three members.
struct Fleet {
    boost::asio::io_context context {};
    ClusterView view {};
    std::vector<links::RegisteredHost> hosts {};

    Fleet(size_t hostCount, size_t groups)
    {
        for (size_t i = 0; i < hostCount; ++i) {
            hosts.push_back({ fmt::format("h{}", i), "127.0.0.1:1", fmt::format("dc{}", i % kDataCentres), 1 });
            takeHost(view, hosts.back());
        }
        for (size_t i = 0; i < groups * 3; ++i) {
            links::RegisteredMember member;
            member.id = fmt::format("m{}", i);
            member.group = fmt::format("g{}", i / 3);
            member.dataCentre = fmt::format("dc{}", i % kDataCentres);
            takeMember(view, member, 1, {}, {});
        }
    }

    Partners choose(size_t self, const OrdererPlace& orders = {}, bool isAsked = false)
    {
        Peers peers(context, hosts[self].name, {});
        peers.setHosts(hosts);
        bool isDraining = false;
        return choosePartners(view, peers, { hosts[self].name, hosts[self].dataCentre, isDraining, true, isAsked }, orders, kQuiet);
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

// With 20 groups a host had 52 partners at 295 hosts, each pinged every 750 ms at most; 12 now in the middle, and 62 of a relay.
BOOST_AUTO_TEST_CASE(what_a_host_exchanges_does_not_grow_with_hosts_nor_with_members)
{
    for (size_t groups : { size_t { 20 }, size_t { 200 } }) {
        for (size_t count : { size_t { 60 }, size_t { 100 }, size_t { 300 }, size_t { 1000 } }) {
            Fleet fleet(count, groups);
            size_t sum = 0;
            size_t looked = 0;
            for (size_t i = 0; i < count; i += count / 50) {
                auto partners = fleet.choose(i);
                if (fleet.isRelay(i)) {
                    BOOST_TEST(partners.size() <= 3 * groups + 3 * groups * 3 * 3 / count + 10);
                    continue;
                }
                ++looked;
                sum += partners.size();
            }
            // Members and groups that a host stands in for are shared among all hosts.
            auto mean = static_cast<double>(sum) / static_cast<double>(looked);
            BOOST_TEST(mean <= 12 + 12.0 * static_cast<double>(groups) / static_cast<double>(count), "groups " << groups << " hosts " << count << " mean " << mean);
        }
    }
}

BOOST_AUTO_TEST_CASE(every_host_hears_of_every_member_through_its_relays)
{
    Fleet fleet(295, 20);
    std::map<std::string, Partners> chosen;
    for (size_t i = 0; i < fleet.hosts.size(); ++i)
        chosen[fleet.hosts[i].name] = fleet.choose(i);
    for (size_t i = 0; i < fleet.hosts.size(); ++i) {
        auto relays = fleet.findRelays(i);
        BOOST_REQUIRE(relays.size() == decisions::kWatchersOfDataCentre);
        auto& own = chosen.at(fleet.hosts[i].name);
        size_t tellLoads = 0;
        for (auto& relay : relays) {
            if (relay == fleet.hosts[i].name)
                continue;
            BOOST_REQUIRE(own.contains(relay));
            BOOST_TEST(own.at(relay).isRelay);
            tellLoads += own.at(relay).tellsLoads ? 1 : 0;
            for (auto& [id, member] : fleet.view.members) {
                auto& carrier = getCarriers(fleet.view, member).front();
                BOOST_REQUIRE((carrier == relay || chosen.at(relay).contains(carrier)));
            }
        }
        BOOST_TEST(tellLoads == 1u); // the larger part is asked of one of them
    }
}

BOOST_AUTO_TEST_CASE(few_hosts_ask_carriers_themselves)
{
    Fleet fleet(9, 3);
    for (size_t i = 0; i < 9; ++i) {
        for (auto& [name, partner] : fleet.choose(i)) {
            BOOST_TEST(!partner.isRelay);
            BOOST_TEST((partner.interval == kQuiet));
        }
    }
    Fleet one(1, 1);
    BOOST_TEST(one.choose(0).empty());
    BOOST_TEST(one.isRelay(0));
}

// Hosts may disagree on who relays; who is asked does it.
BOOST_AUTO_TEST_CASE(a_host_that_is_asked_to_relay_does)
{
    Fleet fleet(295, 20);
    size_t self = 0;
    while (fleet.isRelay(self))
        ++self;
    auto asked = fleet.choose(self, {}, true);
    for (auto& [id, member] : fleet.view.members) {
        auto& carrier = getCarriers(fleet.view, member).front();
        BOOST_TEST((carrier == fleet.hosts[self].name || asked.contains(carrier)));
    }
}

// An orderer asks the carriers of its groups itself, and knows enough other hosts to tell that it is cut off.
BOOST_AUTO_TEST_CASE(an_orderer_knows_the_carriers_of_its_groups_and_enough_others)
{
    Fleet fleet(295, 20);
    size_t self = 0;
    while (fleet.isRelay(self))
        ++self;
    auto partners = fleet.choose(self, { { "h7", "h8" }, { "g3" } });
    BOOST_TEST(partners.contains("h7"));
    for (auto& id : fleet.view.groups.at("g3").members) {
        auto& carrier = getCarriers(fleet.view, fleet.view.members.at(id)).front();
        BOOST_TEST((carrier == fleet.hosts[self].name || partners.contains(carrier)));
    }
    BOOST_TEST(partners.size() >= 20u);
    BOOST_TEST(partners.size() <= 30u);
}

BOOST_AUTO_TEST_CASE(a_floor_that_passes_over_a_relay_is_no_older)
{
    auto direct = decisions::getExchangeIntervals(milliseconds(1000), false);
    auto relayed = decisions::getExchangeIntervals(milliseconds(1000), true);
    BOOST_TEST((relayed.carriers + relayed.relays <= direct.carriers));
    BOOST_TEST((decisions::getExchangeIntervals(milliseconds(250), true).relays == decisions::kPingIntervalLeast));
}

// What relays that are gone had said stayed in force until others said something else.
BOOST_AUTO_TEST_CASE(a_host_is_out_of_reach_by_hearsay_while_all_relays_that_answer_say_so)
{
    using Names = std::set<std::string>;
    BOOST_TEST((decisions::findUnusable({ { "x", "y" }, { "y", "z" } }) == Names { "y" }));
    BOOST_TEST((decisions::findUnusable({ { "x" } }) == Names { "x" }));
    BOOST_TEST(decisions::findUnusable({ { "x" }, {} }).empty());
    BOOST_TEST(decisions::findUnusable({}).empty());
}

BOOST_AUTO_TEST_CASE(those_who_act_hear_a_bounded_number_of_alarms)
{
    for (size_t hosts : { size_t { 1 }, size_t { 9 }, size_t { 59 }, size_t { 295 }, size_t { 600 } }) {
        auto interval = std::chrono::duration<double>(decisions::getAlarmInterval(hosts)).count();
        BOOST_TEST(static_cast<double>(hosts) / interval <= 310.0);
    }
    BOOST_TEST((decisions::getAlarmInterval(9) == decisions::kAlarmIntervalLeast));
    BOOST_TEST((decisions::getAlarmInterval(100000) == decisions::kAlarmIntervalMost));
}

// A floor says that it covers what was acknowledged before a moment. Whatever relays it passes over, with clocks that show other times, frozen or late
// at any point, the moment that a receiver takes it for is never later than the true one.
BOOST_AUTO_TEST_CASE(a_floor_never_becomes_younger_on_its_way)
{
    std::mt19937 random(17);
    auto any = [&](int most) { return milliseconds(static_cast<int>(random() % static_cast<unsigned>(most + 1))); };
    for (int round = 0; round < 2000; ++round) {
        milliseconds now { 1'000'000 }; // true time
        auto askedAt = now; // the member was asked then: what was acknowledged before is covered
        now += any(50);
        milliseconds offset = any(100'000);
        ClusterView view;
        auto& group = view.groups["g"];
        group.lead = { "m", 3, true };
        group.floors = decisions::takeFloor({}, { { 3, 70 }, TimePoint(askedAt + offset) });
        group.provenAt = TimePoint(now + offset);
        bool isFirst = true;
        for (int hop = 0; hop < 3; ++hop) {
            now += any(900);
            auto sentAt = now; // of the question
            now += any(300); // on its way, or the relay is frozen
            peer::Pong pong;
            writeGroups(pong, view, !isFirst, TimePoint(now + offset));
            isFirst = false;
            now += any(400);
            if (pong.floors().empty())
                break; // too old to be told
            offset = any(100'000);
            auto provenAt = TimePoint(sentAt + offset) - std::chrono::microseconds(pong.floors(0).age_us());
            BOOST_REQUIRE((provenAt <= TimePoint(askedAt + offset)));
            BOOST_REQUIRE(pong.leads_size() == 1);
            ClusterView next;
            next.groups["g"].lead = decisions::takeReport({}, pong.leads(0).member(), pong.leads(0).term());
            next.groups["g"].floors = decisions::takeFloor({}, { { pong.floors(0).mark().term(), pong.floors(0).mark().position() }, provenAt });
            view = next;
        }
    }
}

// A lead is passed on with the floor that proves it, not one that was only heard of.
BOOST_AUTO_TEST_CASE(a_lead_that_no_floor_proves_is_not_passed_on)
{
    ClusterView view;
    auto now = TimePoint(milliseconds(1'000'000));
    auto& group = view.groups["g"];
    group.floors = decisions::takeFloor({}, { { 3, 70 }, now - milliseconds(100) });
    group.lead = { "n", 4, false };
    peer::Pong pong;
    writeGroups(pong, view, true, now);
    BOOST_TEST(pong.floors_size() == 1);
    BOOST_TEST(pong.leads_size() == 0);
    peer::Pong own;
    writeGroups(own, view, false, now);
    BOOST_TEST(own.floors_size() == 0); // it has not seen it itself
}

BOOST_AUTO_TEST_SUITE_END()
