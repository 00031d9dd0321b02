#include "gateway/partners.h"
#include "decisions/watching.h"
#include <algorithm>

namespace alderward::gateway {

std::set<std::string> choosePartners(ClusterView& view, const Peers& peers, const HostPlace& self, std::set<std::string> orderers)
{
    auto partners = std::move(orderers);
    for (auto& [id, member] : view.members) {
        for (auto& name : getCarriers(view, member)) {
            if (name == self.name)
                break;
            partners.insert(name);
            if (peers.isUsable(name))
                break;
        }
    }
    partners.erase(self.name);
    return partners;
}

bool isCarrier(ClusterView& view, const Peers& peers, const HostPlace& self, const MemberBelief& member)
{
    auto& ranked = getCarriers(view, member);
    auto first = std::ranges::find_if(ranked, [&](const std::string& name) { return name == self.name ? !self.isDraining : peers.isUsable(name); });
    return first != ranked.end() && *first == self.name;
}

bool isStoreWatcher(ClusterView& view, const Peers& peers, const HostPlace& self, bool hasStore)
{
    std::vector<decisions::WatcherHost> usable;
    for (auto& name : getRankedHosts(view, "watchers of " + self.dataCentre)) {
        bool isOfDataCentre = view.hosts.at(name).dataCentre == self.dataCentre;
        if (isOfDataCentre && name == self.name)
            usable.push_back({ name, hasStore });
        else if (isOfDataCentre && peers.isUsable(name))
            usable.push_back({ name, peers.getAbility(name).hasStore });
    }
    return decisions::isWatcher(self.name, usable);
}

}
