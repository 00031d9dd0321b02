#include "gateway/partners.h"
#include "decisions/placement.h"
#include "decisions/relaying.h"
#include "decisions/watching.h"
#include <algorithm>

namespace alderward::gateway {

static constexpr size_t kStandIns = 3; // hosts of a ranking that watch those before them, so that the first is replaced by one that knows
// Hosts that are asked in turn for one that has the store. Once it is gone for all, the first two relay all the same: without a bound, all hosts of a data centre
// would be made relays one after the other, and each asks all carriers.
static constexpr size_t kRelayCandidates = 4;
static constexpr size_t kPartnersLeast = 8; // with neighbours: a host that has lost most of so many is cut off itself
static constexpr size_t kPartnersOfOrderer = 20; // of those that judge whether a primary is dead: where a third of all hosts are cut off, most of 20 are lost once in 60 times

std::vector<std::string> getRelays(ClusterView& view, const Peers& peers, const HostPlace& self)
{
    std::vector<decisions::WatcherHost> usable;
    size_t able = 0;
    for (auto& name : getRelayOrder(view, self.dataCentre)) {
        bool isEnough = able == decisions::kWatchersPerDataCentre || usable.size() == kRelayCandidates;
        if (view.hosts.at(name).dataCentre != self.dataCentre || isEnough)
            break;
        bool isSelf = name == self.name;
        if (isSelf ? self.isDraining : !peers.isUsable(name))
            continue;
        usable.push_back({ name, isSelf ? self.hasStore : peers.getAbility(name).hasStore });
        able += usable.back().hasStore ? 1 : 0;
    }
    return decisions::chooseWatchers(usable);
}

static void addPartner(Partners& partners, const std::string& name, const Partner& partner)
{
    auto [it, isNew] = partners.try_emplace(name, partner);
    if (isNew)
        return;
    it->second.interval = std::min(it->second.interval, partner.interval);
    it->second.isRelay = it->second.isRelay || partner.isRelay;
    it->second.tellsLoads = it->second.tellsLoads || partner.tellsLoads;
}

// Those that carry to the member as far as this host sees, and would before it.
static void addCarriers(Partners& partners, const std::vector<std::string>& ranked, const Peers& peers, const std::string& self, milliseconds interval)
{
    for (auto& name : ranked) {
        if (name == self)
            return;
        addPartner(partners, name, { interval });
        if (peers.isUsable(name))
            return;
    }
}

// The hosts just before this one: it takes over from them.
static void addPredecessors(Partners& partners, const std::vector<std::string>& ranked, const std::string& self, milliseconds interval)
{
    auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(kStandIns, ranked.size()));
    auto own = std::find(ranked.begin(), end, self);
    if (own == end)
        return;
    for (auto it = ranked.begin(); it != own; ++it)
        addPartner(partners, *it, { interval });
}

// Each host asks one of its relays how busy connections are, so that the larger part of what relays tell is shared among them.
static void addRelays(Partners& partners, const std::vector<std::string>& relays, const std::string& self, milliseconds interval)
{
    std::vector<std::string> others;
    std::ranges::copy_if(relays, std::back_inserter(others), [&](const std::string& it) { return it != self; });
    auto ranked = decisions::rankHosts(self, others);
    for (auto& name : ranked)
        addPartner(partners, name, { interval, true, name == ranked.front() });
}

Partners choosePartners(ClusterView& view, const Peers& peers, const HostPlace& self, const OrdererPlace& orders, milliseconds quiet)
{
    Partners partners;
    auto hosts = std::ranges::count_if(view.hosts, [&](auto& it) { return it.second.dataCentre == self.dataCentre; });
    bool isRelayed = decisions::usesRelays(static_cast<size_t>(hosts));
    auto intervals = decisions::getExchangeIntervals(quiet, isRelayed);
    auto relays = getRelays(view, peers, self);
    bool asksCarriers = !isRelayed || self.isAskedToRelay || std::ranges::find(relays, self.name) != relays.end();
    if (isRelayed)
        addRelays(partners, relays, self.name, intervals.relays);
    for (auto& name : orders.orderers)
        addPartner(partners, name, { quiet });
    for (auto& [id, member] : view.members) {
        auto& ranked = getForwarders(view, member);
        if (asksCarriers)
            addCarriers(partners, ranked, peers, self.name, intervals.forwarders);
        else if (orders.groups.contains(member.registration.group))
            addCarriers(partners, ranked, peers, self.name, quiet);
        else
            addPredecessors(partners, ranked, self.name, quiet);
    }
    if (isRelayed) {
        addPredecessors(partners, getRelayOrder(view, self.dataCentre), self.name, quiet);
        for (auto& [name, group] : view.groups)
            addPredecessors(partners, getRankedHosts(view, name), self.name, quiet);
    }
    partners.erase(self.name);
    auto wanted = orders.groups.empty() ? kPartnersLeast : kPartnersOfOrderer;
    for (auto& name : getNeighbours(view, self.name)) {
        if (!isRelayed || partners.size() >= wanted)
            break;
        if (name != self.name)
            addPartner(partners, name, { decisions::kMaxPingInterval });
    }
    return partners;
}

bool isCarrier(ClusterView& view, const Peers& peers, const HostPlace& self, const MemberView& member)
{
    auto& ranked = getForwarders(view, member);
    auto first = std::ranges::find_if(ranked, [&](const std::string& name) { return name == self.name ? !self.isDraining : peers.isUsable(name); });
    return first != ranked.end() && *first == self.name;
}

}
