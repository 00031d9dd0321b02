// Which commits a read must see, as a position in its group's log (a floor): a position reported by a confirmed
// primary covers every commit acknowledged before the primary was asked.
#pragma once
#include "decisions/statement.h"
#include <chrono>
#include <deque>

namespace alderward::decisions {

using TimePoint = std::chrono::steady_clock::time_point;

// The lowest log position at which a read sees all commits up to a moment.
struct Floor {
    Mark mark {};
    TimePoint coveredUntil {}; // covers all commits acknowledged before this; on this host's monotonic clock
    friend bool operator==(const Floor&, const Floor&) = default;
};

// Floors of one group, oldest first. Older ones are kept because replicas are more likely to have reached them.
struct FloorHistory {
    std::deque<Floor> floors {};
    friend bool operator==(const FloorHistory&, const FloorHistory&) = default;

    bool isEmpty() const { return floors.empty(); }
};

inline constexpr milliseconds kMinFloorSpacing { 50 }; // closer floors are merged, which bounds the history's length
inline constexpr milliseconds kFloorRetention { 5000 }; // must exceed every configured maximum age of reads

// Hosts with nothing else to exchange ping each other no more often than floors have to be renewed: where regions are 20 ms apart, pings are most of
// the bytes between them.
inline constexpr milliseconds kMinPingInterval { 250 };
inline constexpr milliseconds kMaxPingInterval { 1000 }; // bounds the time to detect a silent host
// `minAge`: the lowest maximum age of all routes that allow stale reads; 0: there is none.
milliseconds getPingInterval(milliseconds minAge);

FloorHistory addFloor(FloorHistory history, const Floor& floor);

// The lowest mark that covers everything acknowledged before `sentAt` less `maximumAge`. Empty: no floor is recent enough.
// A floor of an older term may name commits lost in a promotion. That is safe: members of the new term have
// reached every surviving position of older terms.
std::optional<Mark> getFloor(const FloorHistory& history, milliseconds maximumAge, TimePoint sentAt);

// Whether a primary that reports `received` lacks log entries that it was known to hold (`known`) when it was asked.
// Positions of different terms cannot be compared: a new term may have discarded commits.
bool hasLostLog(const Mark& known, const Mark& received);

// What a read outside the primary must see: a floor, and for ReadYourWrites the session's last commit as well.
std::optional<Mark> getReadMark(const DatabaseRoute& route, const FloorHistory& history, const Mark& sessionCommit, TimePoint sentAt);

}
