// How a host follows the platform's store at a price that grows with data centres and changes, not with hosts: a few hosts of each data
// centre look often, the others hold one long watch and hear from the rest, with pings that are sent anyway, that something changed.
#pragma once
#include "decisions/freshness.h"
#include <string>
#include <vector>

namespace alderward::decisions {

// Hosts of a data centre that look often: one may be frozen or cut off from the store while another finds a watch that has fallen silent.
inline constexpr size_t kWatchersPerDataCentre = 2;

// A usable host as another sees it.
struct WatcherHost {
    std::string name {};
    bool hasStore { true }; // as it says itself
    friend bool operator==(const WatcherHost&, const WatcherHost&) = default;
};

// Whether `self` is one of the watchers. `ranked`: the usable hosts of its data centre, in an order that all agree on. One that has lost the store
// answers the others and hears of nothing: it is passed over while there are others.
bool isWatcher(const std::string& self, const std::vector<WatcherHost>& ranked);
std::vector<std::string> chooseWatchers(const std::vector<WatcherHost>& ranked);

// The pause after a watch that answered, before the next. Changes that come in a row, as when all hosts start, are taken together: `wasAtOnce`,
// they stood ready when the watch was sent. Members that register within five seconds of a start cost each host five calls in place of twenty.
milliseconds getWatchPause(milliseconds previous, bool hadPendingChanges);
inline constexpr milliseconds kMinWatchPause { 250 };
inline constexpr milliseconds kMaxWatchPause { 1000 };

// The pause after `failures` failed calls in a row, spread by `random` in [0, 1) so that hosts do not come together. A store that turns calls
// away at once would else be asked four times a second by each host, for nothing.
milliseconds getRetryPause(unsigned failures, double random);

// What others have said of changes in the store that this host has not seen.
struct ReportedChange {
    uint64_t revision { 0 }; // revision; 0: none
    TimePoint at {}; // when it was first heard of
    friend bool operator==(const ReportedChange&, const ReportedChange&) = default;
};

// A watch brings changes within tens of ms and the longest pause: one that others know for longer shows that ours has fallen silent.
inline constexpr milliseconds kSilentWatchThreshold { 1500 };

// Another host knows of `change`; `seen` is the newest that this host knows.
ReportedChange applyReportedChange(const ReportedChange& reported, uint64_t revision, uint64_t knownRevision, TimePoint now);
bool isWatchSilent(const ReportedChange& reported, uint64_t knownRevision, TimePoint now);

}
