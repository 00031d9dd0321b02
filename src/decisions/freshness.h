// Which commits a read must see, as a position in its group's log. A position taken from a primary that was proven to lead
// when it answered covers every commit that was acknowledged before the question was sent: it is a floor for reads.
#pragma once
#include "decisions/statement.h"
#include <chrono>
#include <deque>

namespace alderward::decisions {

using TimePoint = std::chrono::steady_clock::time_point;

struct Floor {
    Mark mark {};
    TimePoint coveredUntil {}; // covers all commits acknowledged before this; on this host's monotonic clock
    friend bool operator==(const Floor&, const Floor&) = default;
};

// Floors of one group, oldest first. Older ones are kept because a replica is the likelier to have a floor the older it is.
struct FloorHistory {
    std::deque<Floor> floors {};
    friend bool operator==(const FloorHistory&, const FloorHistory&) = default;

    bool isEmpty() const { return floors.empty(); }
};

inline constexpr milliseconds kMinFloorSpacing { 50 }; // floors closer than this are one; bounds the history's length
inline constexpr milliseconds kFloorRetention { 5000 }; // above any age that operators allow a read

// A host that has nothing to ask of another pings it no more often than its floors must be renewed for the read of the least stated age: where
// regions are 20 ms apart, pings are most of the bytes between them.
inline constexpr milliseconds kMinPingInterval { 250 };
inline constexpr milliseconds kMaxPingInterval { 1000 }; // how late a silent host is noticed
// `leastAge`: of all routes that let reads miss anything; 0: there is none.
milliseconds getPingInterval(milliseconds minAge);

FloorHistory addFloor(FloorHistory history, const Floor& floor);

// The lowest mark that covers everything acknowledged before `sent` less `maximumAge`. Empty: no floor is young enough.
// A floor of an older term than the newest may name commits that a change of primary took back; one is returned only as long as
// nothing newer is known, and members of the new term hold every position of older ones that survived.
std::optional<Mark> getFloor(const FloorHistory& history, milliseconds maximumAge, TimePoint sentAt);

// Whether the log of a member that is to lead, which answers that it stands at `received`, lacks what was known to be in it when it was asked.
// Positions of different terms say nothing: a new one may have taken commits back.
bool hasLostLog(const Mark& known, const Mark& received);

// What a read outside the primary must see: a floor, and for ReadYourWrites the session's last commit as well.
std::optional<Mark> getReadMark(const DatabaseRoute& route, const FloorHistory& history, const Mark& sessionCommit, TimePoint sentAt);

}
