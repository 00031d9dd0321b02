// Which other hosts this one keeps in touch with, and which tasks it has among the hosts, by rankings that all hosts compute alike.
#pragma once
#include "gateway/peers.h"

namespace alderward::gateway {

// One host's place among the others.
struct HostPlace {
    const std::string& name;
    const std::string& dataCentre;
    const bool& isDraining; // a host that stops gives its tasks up
    bool hasStore { true }; // it reaches the platform's store
    bool isAskedToRelay { false }; // others ask it what it hears, be it the one that it would choose or not
};

// The hosts that this one may have to act with when a primary is to be replaced.
struct OrdererPlace {
    std::set<std::string> orderers {}; // others that may order for the same groups
    std::set<std::string> groups {}; // that this one may order for
};

// The hosts of this host's data centre that look at the platform's store often and, where there are many hosts, relay. One that does not answer,
// stops or, while one of the next few has it, has lost the store is passed over.
std::vector<std::string> getRelays(ClusterView& view, const Peers& peers, const HostPlace& self);

// The hosts that this one needs all the time, and how often it exchanges with each: its relays; the hosts that it would stand in for; for a relay the
// carriers of all members, for an orderer those of its groups; and a few neighbours, from which a host that is cut off tells that it is. Bounded but for relays, whose carriers
// grow with members. `quiet`: how often a host that has no relay asks carriers.
Partners choosePartners(ClusterView& view, const Peers& peers, const HostPlace& self, const OrdererPlace& orders, milliseconds quiet);
// Whether this host carries statements to the member.
bool isCarrier(ClusterView& view, const Peers& peers, const HostPlace& self, const MemberView& member);

}
