// Which hosts are alive, learned by exchange with a fixed number of partners a second; no store, no leader.
// A host that does not answer is probed through others before it is suspected; a suspect is dead after a time unless it
// refutes with a higher incarnation. Leaving is said by the host itself. The platform's list is a hint that comes late.
#pragma once
#include "decisions/health.h"
#include "decisions/placement.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace alderward::decisions {

enum class HostState { Alive,
    Suspect,
    Leaving,
    Dead };

std::string_view getHostStateName(HostState state);

// What hosts tell each other about one host. The order of freshness: incarnation first, then state.
struct HostInfo {
    std::string name {};
    uint64_t incarnation { 0 }; // start time of the host in ms, raised by one for each refutation
    HostState state { HostState::Alive };
    std::string dataCentre {};
    std::string peerAddress {};
    std::string callerAddress {};
    std::string operatorAddress {};
    friend bool operator==(const HostInfo&, const HostInfo&) = default;
};

struct KnownHost {
    HostInfo info {};
    TimePoint changedAt {};
    unsigned remainingTransmissions { 0 }; // how many more exchanges carry this news
    friend bool operator==(const KnownHost&, const KnownHost&) = default;
};

struct MembershipTimings {
    milliseconds suspicionTimeout { 3000 }; // ms; a suspect that does not refute is dead after this
    milliseconds deadHostRetention { 60000 }; // ms; a dead or left host is dropped after this
    size_t maxUpdatesPerExchange { 16 }; // host entries in one exchange at most
};

struct Membership {
    std::string self {};
    std::map<std::string, KnownHost> hosts {}; // self included
    std::set<std::string> platformListed {}; // names in the platform's list, which is late
    uint64_t digest { 0 }; // of the hosts that are not dead, kept up with every change: see getDigest()
    friend bool operator==(const Membership&, const Membership&) = default;
};

Membership makeMembership(const HostInfo& self, TimePoint now);

// Changes what this host says of itself, e.g. that it is leaving.
void setSelfInfo(Membership& membership, const HostInfo& info, TimePoint now);

// Takes in news from a peer. Returns the names whose state changed. News that we are suspect or dead is refuted.
std::vector<std::string> applyHostUpdates(Membership& membership, const std::vector<HostInfo>& updates, TimePoint now);

// Takes in the platform's list: unknown hosts are added as alive with incarnation 0, so that any word of their own wins.
// Dead and left hosts are remembered as long as the list, which is late, still names them: it must not bring them back.
void applyPlatformList(Membership& membership, const std::vector<PlatformHost>& hosts, TimePoint now);

// Neither we nor `witnesses` others could reach the host. With at least one other witness (or nobody else to ask) it
// becomes suspect. Returns whether it did.
bool suspectHost(Membership& membership, const std::string& name, size_t witnesses, size_t asked, TimePoint now);

// Suspects whose time is up become dead; old dead ones are forgotten. Returns the names that changed.
std::vector<std::string> expireHosts(Membership& membership, const MembershipTimings& timings, TimePoint now);

// The news to put in the next exchange: what changed lately, least told first. Counts it as told.
std::vector<HostInfo> takeUpdatesToSend(Membership& membership, const MembershipTimings& timings);

// One number that is equal for equal views (name, incarnation, state) of the hosts that are not dead. Hosts forget dead
// ones at different times.
uint64_t getDigest(const Membership& membership);
// The same by parts of the names.
BucketDigests getBucketDigests(const Membership& membership);

// Hosts that may be homes: alive or only suspect. Leaving and dead ones are not.
std::vector<PlacedHost> getLiveHosts(const Membership& membership);

// Partners to exchange with, alive or suspect, never self; in an order that differs from round to round by `seed`.
std::vector<std::string> choosePartners(const Membership& membership, size_t count, uint64_t seed);

// A dead host to try again, so that two sides of a cut find each other after it heals.
std::optional<std::string> chooseDeadHost(const Membership& membership, uint64_t seed);

const HostInfo* findHost(const Membership& membership, const std::string& name);

}
