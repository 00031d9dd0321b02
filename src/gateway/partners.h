// Which other hosts this one works with, and which tasks it has among the hosts, by rankings that all hosts compute alike.
#pragma once
#include "gateway/peers.h"

namespace alderward::gateway {

// One host's place among the others.
struct HostPlace {
    const std::string& name;
    const std::string& dataCentre;
    const bool& isDraining; // a host that stops gives its tasks up
};

// The hosts that this one needs all the time: those that carry to each member, and the next in turn should one of them be down;
// `orderers`, which come before it where it may have to order a promotion. Bounded by members and orderers, whatever the number of hosts.
std::set<std::string> choosePartners(ClusterView& view, const Peers& peers, const HostPlace& self, std::set<std::string> orderers);
// Whether this host carries statements to the member.
bool isCarrier(ClusterView& view, const Peers& peers, const HostPlace& self, const MemberBelief& member);
// Whether this host is one of the few of its data centre that look at the platform's store often. `hasStore`: it reaches the store.
bool isStoreWatcher(ClusterView& view, const Peers& peers, const HostPlace& self, bool hasStore);

}
