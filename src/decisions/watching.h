// How hosts follow changes in the platform's store. A few hosts of each data centre, the watchers, poll often; the others keep one
// long watch and learn of changes from pings. So the load on the store grows with data centres and changes, not with hosts.
#pragma once
#include "decisions/freshness.h"
#include <string>
#include <vector>

namespace alderward::decisions {

// More than one, as a watcher may be frozen or cut off from the store.
inline constexpr size_t kWatchersPerDataCentre = 2;

// A reachable host that may be a watcher.
struct WatcherHost {
    std::string name {};
    bool hasStore { true }; // receives changes from the store, as it reports itself
    friend bool operator==(const WatcherHost&, const WatcherHost&) = default;
};

// Whether `self` is a watcher. `ranked`: the reachable hosts of its data centre, in an order that all hosts agree on. Hosts that have
// lost the store are chosen only if there are too few others.
bool isWatcher(const std::string& self, const std::vector<WatcherHost>& ranked);
std::vector<std::string> chooseWatchers(const std::vector<WatcherHost>& ranked);

// The pause between the answer of a watch and the next one. It doubles while `hadPendingChanges`, that is while changes were already
// waiting when the watch was sent, so that bursts are read in batches.
milliseconds getWatchPause(milliseconds previous, bool hadPendingChanges);
inline constexpr milliseconds kMinWatchPause { 250 };
inline constexpr milliseconds kMaxWatchPause { 1000 };

// The pause after `failures` consecutive failed calls: exponential backoff with jitter from `random` in [0, 1).
milliseconds getRetryPause(unsigned failures, double random);

// The newest change reported by other hosts that this host has not received.
struct ReportedChange {
    uint64_t revision { 0 }; // 0: none
    TimePoint at {}; // when a missing change was first reported
    friend bool operator==(const ReportedChange&, const ReportedChange&) = default;
};

// A change that other hosts have reported for this long should have arrived: the watch has failed. Must exceed kMaxWatchPause.
inline constexpr milliseconds kSilentWatchThreshold { 1500 };

// Another host knows `revision`; `knownRevision` is the newest that this host knows.
ReportedChange applyReportedChange(const ReportedChange& reported, uint64_t revision, uint64_t knownRevision, TimePoint now);
bool isWatchSilent(const ReportedChange& reported, uint64_t knownRevision, TimePoint now);

}
