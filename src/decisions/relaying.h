// How often hosts exchange what they know, and through whom. A few hosts of each data centre, the relays, exchange with every host that carries to
// a member; the others hear of it from the relays of their own data centre. So the exchange of one host does not grow with hosts and members, and what
// crosses between data centres grows with data centres and members, not with hosts.
#pragma once
#include "decisions/freshness.h"
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace alderward::decisions {

// With fewer hosts in a data centre than this, each exchanges with carriers itself: two relays that ask twice as often would send as much.
inline constexpr size_t kMinRelayedHosts = 7;

struct ExchangeIntervals {
    milliseconds forwarders { kMinPingInterval }; // of a host that asks carriers
    milliseconds relays { kMinPingInterval }; // of one that asks its relays
    friend bool operator==(const ExchangeIntervals&, const ExchangeIntervals&) = default;
};

inline bool usesRelays(size_t hostsOfDataCentre) { return hostsOfDataCentre >= kMinRelayedHosts; }

// `quiet`: how often a host that asks carriers itself does so. A floor that passes over a relay waits twice, so both waits together are no longer.
ExchangeIntervals getExchangeIntervals(milliseconds quiet, bool isRelayed);

// The hosts that count as out of reach by hearsay: a host that one relay does not reach may be reached through another way, so all relays that answer have
// to say it, and nobody is where none answers.
std::set<std::string> findUnreachableHosts(const std::vector<std::set<std::string>>& reportsOfRelays);

// Whether an exchange with a host is due where operations are under way. One that is answered at once needs none; the longest way there and back is 40 ms.
inline constexpr milliseconds kOverdueReplyThreshold { 60 };

// Hosts that raise an alarm for one group at one moment, all of them: the few that are to act hear it from each.
inline constexpr milliseconds kMinAlarmInterval { 100 };
inline constexpr milliseconds kMaxAlarmInterval { 2000 };
// The pause between two alarms of one host for one group, so that those who act hear at most 300 a second of one group, whatever the number of hosts.
milliseconds getAlarmInterval(size_t hosts);

}
