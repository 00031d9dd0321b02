// How often hosts exchange state, and with whom. In a large data centre a few hosts, the relays, exchange with the forwarders of all
// members, and the other hosts exchange with their relays. So traffic between data centres does not grow with the number of hosts.
#pragma once
#include "decisions/freshness.h"
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace alderward::decisions {

// In a smaller data centre each host exchanges with forwarders itself: relays would save nothing.
inline constexpr size_t kMinRelayedHosts = 7;

struct ExchangeIntervals {
    milliseconds forwarders { kMinPingInterval }; // between a host and forwarders
    milliseconds relays { kMinPingInterval }; // between a host and its relays
    friend bool operator==(const ExchangeIntervals&, const ExchangeIntervals&) = default;
};

inline bool usesRelays(size_t hostsOfDataCentre) { return hostsOfDataCentre >= kMinRelayedHosts; }

// `quietInterval`: the interval of a host that exchanges with forwarders itself. It is halved with relays, as a floor waits once at each hop.
ExchangeIntervals getExchangeIntervals(milliseconds quietInterval, bool isRelayed);

// The hosts that every relay reports as unreachable; none without reports. A host that one relay cannot reach may be reachable from here.
std::set<std::string> findUnreachableHosts(const std::vector<std::set<std::string>>& reportsOfRelays);

// A host with a call unanswered for longer than this is pinged. Must exceed the round trip between data centres, 40 ms at most.
inline constexpr milliseconds kOverdueReplyThreshold { 60 };

// All hosts may raise an alarm for a group at once, and its coordinators receive one from each.
inline constexpr milliseconds kMinAlarmInterval { 100 };
inline constexpr milliseconds kMaxAlarmInterval { 2000 };
// The pause between two alarms of one host for one group, which bounds the rate of alarms from `hosts` hosts together.
milliseconds getAlarmInterval(size_t hosts);

}
