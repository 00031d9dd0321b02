// Which hosts are homes of a group, and how a member's connections and slots are shared among them.
// Every host computes this from what it knows; while two hosts differ, a member's own limit decides (its refusal is "not run").
#pragma once
#include "decisions/records.h"
#include <string>
#include <vector>

namespace alderward::decisions {

inline constexpr unsigned kMinConnectionsPerHome = 4; // connections that make a home's pool to one member worth having
inline constexpr unsigned kMinHomes = 2; // whatever the pool: one of them can die
inline constexpr unsigned kDefaultMaxHomes = 3; // default of homesMost

// A live host as placement sees it.
struct PlacedHost {
    std::string name {};
    std::string dataCentre {};
    friend bool operator==(const PlacedHost&, const PlacedHost&) = default;
};

// A home's part of each member's limits.
struct HomeShare {
    unsigned connections { 1 }; // to one member, from one home
    unsigned slots { 1 }; // statements in flight at one member from one home, at most
    friend bool operator==(const HomeShare&, const HomeShare&) = default;
};

// How many homes a group gets: connectionLimit / kLeastPool, at least kLeastHomes, at most `homesMost` or one for each data centre with a member.
// `homesMost` above the number of hosts makes every host a home; that is for measurements.
unsigned getHomeCount(const GroupRecord& record, unsigned maxHomes = kDefaultMaxHomes);

// The homes, best first: a data centre that has a member gets one before any gets a second; within a data centre,
// rendezvous hashing decides. `live` holds the live hosts, sorted by name (as getLiveHosts() gives them).
std::vector<std::string> chooseHomes(const GroupRecord& record, const std::vector<PlacedHost>& live, unsigned maxHomes = kDefaultMaxHomes);

// The hosts that may front the group by its record. `live` is sorted by name, so that a record that names its hosts costs
// its own length, not the fleet's.
std::vector<PlacedHost> selectServingHosts(const GroupRecord& record, const std::vector<PlacedHost>& live);

HomeShare getShare(const GroupRecord& record, size_t homes);

// A host's rendezvous weight for a key; the highest is first, between equal ones the higher name.
uint64_t getHostWeight(const std::string& key, const std::string& host);
// Hosts in order of rendezvous rank for a key, best first.
std::vector<std::string> rankHosts(const std::string& key, const std::vector<std::string>& hosts);

}
