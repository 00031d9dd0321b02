// Gossip membership of hosts (after SWIM), without store or leader. A host that does not answer is probed through others
// before it is suspected. A suspect is declared dead after a timeout unless it refutes with a higher incarnation. A host
// announces itself that it is leaving. The platform's list lags and only adds unknown hosts.
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

// State of one host as exchanged between hosts. A higher incarnation supersedes a lower one, then a later state.
struct HostInfo {
    std::string name {};
    uint64_t incarnation { 0 }; // start time of the host in ms, incremented for each refutation
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
    unsigned remainingTransmissions { 0 }; // how many more exchanges carry this info
    friend bool operator==(const KnownHost&, const KnownHost&) = default;
};

struct MembershipTimings {
    milliseconds suspicionTimeout { 3000 }; // ms; a suspect that does not refute is declared dead after this
    milliseconds deadHostRetention { 60000 }; // ms; a dead or leaving host is forgotten after this
    size_t maxUpdatesPerExchange { 16 }; // hosts
};

struct Membership {
    std::string self {};
    std::map<std::string, KnownHost> hosts {}; // including self
    std::set<std::string> platformListed {}; // names in the platform's list
    uint64_t digest { 0 }; // of the hosts that are not dead, updated with every change; see getDigest()
    friend bool operator==(const Membership&, const Membership&) = default;
};

Membership makeMembership(const HostInfo& self, TimePoint now);

// Replaces this host's own info, for example when it starts leaving.
void setSelfInfo(Membership& membership, const HostInfo& info, TimePoint now);

// Applies updates from a peer and returns the names of the hosts that changed. Refutes updates that call this host suspect
// or dead.
std::vector<std::string> applyHostUpdates(Membership& membership, const std::vector<HostInfo>& updates, TimePoint now);

// Applies the platform's list: adds unknown hosts as alive with incarnation 0, so that any update of their own supersedes
// it. Dead and leaving hosts are kept while the list names them, so that it cannot revive them.
void applyPlatformList(Membership& membership, const std::vector<PlatformHost>& hosts, TimePoint now);

// Records that this host and `witnesses` of the `asked` others could not reach a host. It becomes suspect if at least one
// other confirms, or none was asked. Returns whether it did.
bool suspectHost(Membership& membership, const std::string& name, size_t witnesses, size_t asked, TimePoint now);

// Declares suspects dead after the suspicion timeout and forgets old dead and leaving hosts. Returns the names of the hosts
// that were declared dead.
std::vector<std::string> expireHosts(Membership& membership, const MembershipTimings& timings, TimePoint now);

// Returns the updates for the next exchange, least transmitted first, and counts them as transmitted.
std::vector<HostInfo> takeUpdatesToSend(Membership& membership, const MembershipTimings& timings);

// Returns a digest of the names, incarnations and states of the hosts that are not dead. Dead ones are left out because
// hosts forget them at different times.
uint64_t getDigest(const Membership& membership);
// Returns the digests by bucket of the names.
BucketDigests getBucketDigests(const Membership& membership);

// Returns the hosts that may be homes: those alive or suspect.
std::vector<PlacedHost> getLiveHosts(const Membership& membership);

// Chooses hosts to exchange with, alive or suspect and other than self, pseudo-randomly by `seed`.
std::vector<std::string> choosePartners(const Membership& membership, size_t count, uint64_t seed);

// Chooses a dead host to contact again, so that both sides of a network partition find each other after it heals.
std::optional<std::string> chooseDeadHost(const Membership& membership, uint64_t seed);

const HostInfo* findHost(const Membership& membership, const std::string& name);

}
