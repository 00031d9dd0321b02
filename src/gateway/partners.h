// Chooses the hosts that this host exchanges status with, and its own roles (relay, forwarder). All hosts compute the same rankings.
#pragma once
#include "gateway/peers.h"

namespace alderward::gateway {

// What the choice needs to know about this host.
struct LocalHost {
    const std::string& name;
    const std::string& dataCentre;
    const bool& isDraining; // a stopping host gives up its roles
    bool hasStore { true }; // receives changes from the platform's store
    bool isAskedToRelay { false }; // other hosts use it as a relay, whether or not its own ranking makes it one
};

// The groups that this host is a coordinator of, and the coordinators of these groups.
struct CoordinatorRole {
    std::set<std::string> coordinators {}; // of the groups below, by name
    std::set<std::string> groups {}; // that this host may order promotions for
};

// The watchers of this host's data centre, which also act as relays if it has many hosts. Skips hosts that are unreachable or stopping,
// and hosts without the store as long as one of the next few has it.
std::vector<std::string> getRelays(ClusterView& view, const Peers& peers, const LocalHost& self);

// The exchange partners of this host, with their intervals. `quietInterval`: between exchanges with forwarders if there are no relays.
// The number of partners is bounded, except that a relay's grows with the number of members.
Partners choosePartners(ClusterView& view, const Peers& peers, const LocalHost& self, const CoordinatorRole& role, milliseconds quietInterval);
// Whether this host is the member's forwarder: the first usable host in the member's ranking.
bool isForwarder(ClusterView& view, const Peers& peers, const LocalHost& self, const MemberView& member);

}
