#include "gateway/partners.h"
#include "decisions/placement.h"
#include "decisions/relaying.h"
#include "decisions/watching.h"
#include <algorithm>

namespace alderward::gateway {

static constexpr size_t kStandbyDepth = 3; // the first hosts of a ranking exchange with those before them, to be ready to take over
// How many hosts are considered in the search for relays with the store. While no host has it, the first ones relay anyway. The bound keeps all
// hosts of a data centre from becoming relays one after the other, as each relay queries all forwarders.
static constexpr size_t kMaxRelayCandidates = 4;
static constexpr size_t kMinPartners = 8; // filled up with neighbours: a host that has lost most of them is isolated itself
static constexpr size_t kMinCoordinatorPartners = 20; // coordinators need a larger sample to tell whether they are isolated: where a third of all hosts are cut off, most of 20 are lost once in 60 times

std::vector<std::string> getRelays(ClusterView& view, const Peers& peers, const LocalHost& self)
{
    std::vector<decisions::WatcherHost> usable;
    size_t hostsWithStore = 0;
    for (auto& name : getRelayOrder(view, self.dataCentre)) {
        bool hasEnough = hostsWithStore == decisions::kWatchersPerDataCentre || usable.size() == kMaxRelayCandidates;
        if (view.hosts.at(name).dataCentre != self.dataCentre || hasEnough)
            break;
        bool isSelf = name == self.name;
        if (isSelf ? self.isDraining : !peers.isUsable(name))
            continue;
        usable.push_back({ name, isSelf ? self.hasStore : peers.getCapabilities(name).hasStore });
        hostsWithStore += usable.back().hasStore ? 1 : 0;
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
    it->second.reportsLoads = it->second.reportsLoads || partner.reportsLoads;
}

// The member's forwarder as this host sees it, and the hosts ranked before that one; nothing from this host on.
static void addForwarders(Partners& partners, const std::vector<std::string>& ranked, const Peers& peers, const std::string& self, milliseconds interval)
{
    for (auto& name : ranked) {
        if (name == self)
            return;
        addPartner(partners, name, { interval });
        if (peers.isUsable(name))
            return;
    }
}

// The hosts ranked before this one, if it is among the first kStandbyDepth: it takes over from them.
static void addPredecessors(Partners& partners, const std::vector<std::string>& ranked, const std::string& self, milliseconds interval)
{
    auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(kStandbyDepth, ranked.size()));
    auto own = std::find(ranked.begin(), end, self);
    if (own == end)
        return;
    for (auto it = ranked.begin(); it != own; ++it)
        addPartner(partners, *it, { interval });
}

// Each host receives loads from one of its relays only, which spreads the largest part of the traffic among relays.
static void addRelays(Partners& partners, const std::vector<std::string>& relays, const std::string& self, milliseconds interval)
{
    std::vector<std::string> others;
    std::ranges::copy_if(relays, std::back_inserter(others), [&](const std::string& it) { return it != self; });
    auto ranked = decisions::rankHosts(self, others);
    for (auto& name : ranked)
        addPartner(partners, name, { interval, true, name == ranked.front() });
}

Partners choosePartners(ClusterView& view, const Peers& peers, const LocalHost& self, const CoordinatorRole& role, milliseconds quietInterval)
{
    Partners partners;
    auto hosts = std::ranges::count_if(view.hosts, [&](auto& it) { return it.second.dataCentre == self.dataCentre; });
    bool isRelayed = decisions::usesRelays(static_cast<size_t>(hosts));
    auto intervals = decisions::getExchangeIntervals(quietInterval, isRelayed);
    auto relays = getRelays(view, peers, self);
    bool queriesForwarders = !isRelayed || self.isAskedToRelay || std::ranges::find(relays, self.name) != relays.end();
    if (isRelayed)
        addRelays(partners, relays, self.name, intervals.relays);
    for (auto& name : role.coordinators)
        addPartner(partners, name, { quietInterval });
    for (auto& [id, member] : view.members) {
        auto& ranked = getForwarders(view, member);
        if (queriesForwarders)
            addForwarders(partners, ranked, peers, self.name, intervals.forwarders);
        else if (role.groups.contains(member.registration.group))
            addForwarders(partners, ranked, peers, self.name, quietInterval);
        else
            addPredecessors(partners, ranked, self.name, quietInterval);
    }
    if (isRelayed) {
        addPredecessors(partners, getRelayOrder(view, self.dataCentre), self.name, quietInterval);
        for (auto& [name, group] : view.groups)
            addPredecessors(partners, getRankedHosts(view, name), self.name, quietInterval);
    }
    partners.erase(self.name);
    auto minPartners = role.groups.empty() ? kMinPartners : kMinCoordinatorPartners;
    for (auto& name : getNeighbours(view, self.name)) {
        if (!isRelayed || partners.size() >= minPartners)
            break;
        if (name != self.name)
            addPartner(partners, name, { decisions::kMaxPingInterval });
    }
    return partners;
}

bool isForwarder(ClusterView& view, const Peers& peers, const LocalHost& self, const MemberView& member)
{
    auto& ranked = getForwarders(view, member);
    auto first = std::ranges::find_if(ranked, [&](const std::string& name) { return name == self.name ? !self.isDraining : peers.isUsable(name); });
    return first != ranked.end() && *first == self.name;
}

}
