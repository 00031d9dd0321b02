// Which hosts are homes of a group (keep connection pools to its members), and how a member's connections are divided among
// them. Hosts compute this independently; while their views differ, members enforce their own limits.
#pragma once
#include "decisions/records.h"
#include <string>
#include <vector>

namespace alderward::decisions {

inline constexpr unsigned kMinConnectionsPerHome = 4; // fewer connections to a member are not worth another home
inline constexpr unsigned kMinHomes = 2; // so that one of them can fail
inline constexpr unsigned kDefaultMaxHomes = 3; // default of the setting for `maxHomes`

// A live host that may become a home.
struct PlacedHost {
    std::string name {};
    std::string dataCentre {};
    friend bool operator==(const PlacedHost&, const PlacedHost&) = default;
};

// What one home may use of each member. Connections are divided among the homes; slots are not.
struct HomeShare {
    unsigned connections { 1 }; // maximum from one home to one member
    unsigned slots { 1 }; // maximum statements in flight from one home at one member
    friend bool operator==(const HomeShare&, const HomeShare&) = default;
};

// How many homes a group gets: connectionLimit / kMinConnectionsPerHome, at least kMinHomes, at most `maxHomes` or one for each
// data centre with a member. If `maxHomes` exceeds the connection limit, it alone decides (for benchmarks).
unsigned getHomeCount(const GroupRecord& record, unsigned maxHomes = kDefaultMaxHomes);

// The homes, best first: each data centre with a member gets one before any gets a second; rendezvous hashing decides
// within a data centre. `live` must be sorted by name, as from getLiveHosts().
std::vector<std::string> chooseHomes(const GroupRecord& record, const std::vector<PlacedHost>& live, unsigned maxHomes = kDefaultMaxHomes);

// The live hosts that the record allows to serve the group. `live` must be sorted by name.
std::vector<PlacedHost> selectServingHosts(const GroupRecord& record, const std::vector<PlacedHost>& live);

HomeShare getHomeShare(const GroupRecord& record, size_t homes);

// A host's rendezvous weight for a key: the highest ranks first, ties go to the higher name.
uint64_t getHostWeight(const std::string& key, const std::string& host);
// Hosts by rendezvous rank for a key, best first.
std::vector<std::string> rankHosts(const std::string& key, const std::vector<std::string>& hosts);

}
