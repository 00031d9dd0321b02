// What a home knows of a group's members, from probes and from ordinary answers alike.
#pragma once
#include "decisions/records.h"
#include "decisions/session.h"
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace alderward::decisions {

using TimePoint = std::chrono::steady_clock::time_point;

enum class Role { Replica,
    Primary };

// A member's answer to a status question.
struct MemberStatus {
    std::string member {};
    uint64_t term { 0 }; // the term it works in
    uint64_t fencedTerm { 0 }; // it takes nothing from a term below this one
    Role role { Role::Replica };
    LogState log {};
    std::string primary {}; // whom it follows
    milliseconds primaryContactAge { 0 }; // time since its primary last answered it; 0 for a primary
    bool canFence { true };
    friend bool operator==(const MemberStatus&, const MemberStatus&) = default;

    // It neither left `other` nor promised to a later term.
    bool isActiveInTerm(uint64_t other) const { return term == other && fencedTerm <= other; }
};

// What an ordinary answer shows of a member: that of a statement, or of a confirmation.
struct PiggybackedStatus {
    uint64_t term { 0 }; // the term it works in; 0: the answer did not say
    uint64_t fencedTerm { 0 };
    Mark log {}; // last entry of its log
    friend bool operator==(const PiggybackedStatus&, const PiggybackedStatus&) = default;
};

// A probe that a replica's age can be counted from: when it was sent, and how far the primary had come.
struct FreshnessCheckpoint {
    TimePoint askedAt {}; // send time of the probe to the primary
    uint64_t position { 0 }; // primary's position in that answer
    bool isConfirmed { false }; // a majority stood in the term, asked at or after askedAt
    friend bool operator==(const FreshnessCheckpoint&, const FreshnessCheckpoint&) = default;
};

struct MemberHealth {
    bool isKnown { false }; // has answered at least once
    MemberStatus status {}; // newest answer
    TimePoint askedAt {}; // when the question of the newest answer of any kind was sent
    TimePoint probedAt {}; // when the newest answered status question was sent: primaryContactAge is as of then
    unsigned failures { 0 }; // probes failed in a row
    unsigned refusals { 0 }; // of these, in a row: nothing listened
    TimePoint failingSince {}; // send time of the first probe that failed
    friend bool operator==(const MemberHealth&, const MemberHealth&) = default;

    bool isReachable() const { return isKnown && failures == 0; }
};

struct GroupHealth {
    std::vector<MemberHealth> members {}; // as in the record, same order
    uint64_t term { 0 }; // of the primary we route to; 0: none known
    std::optional<size_t> primary {}; // index of that primary
    TimePoint withoutPrimarySince {}; // when `primary` was last lost; meaningless while there is one
    std::vector<FreshnessCheckpoint> freshnessCheckpoints {}; // ascending by askedAt, of the present term only, at most kMaxFreshnessCheckpoints
    friend bool operator==(const GroupHealth&, const GroupHealth&) = default;
};

inline constexpr size_t kMaxFreshnessCheckpoints = 128;
inline constexpr milliseconds kFreshnessCheckpointInterval { 50 }; // marks are no nearer to each other
inline constexpr milliseconds kPiggybackedStatusInterval { 20 }; // answers that follow each other faster need not be taken in

struct ProbeTimings {
    milliseconds interval { 100 }; // ms; a member that gave no answer of any kind for so long is asked
    milliseconds fullStatusInterval { 1000 }; // ms; a status is asked this often, whatever ordinary answers say
    milliseconds unreachableInterval { 40 }; // ms; a member that does not answer is asked sooner
    milliseconds idleInterval { 1000 }; // ms; in place of `interval` while `isIdle`, but for the primary at the first home
    bool isIdle { false }; // this home got no statements of the group of late
    bool isFirstHome { false }; // this home acts first when the primary fails
};

GroupHealth makeHealth(const GroupRecord& record, TimePoint now);
// Keeps what is known of members that stay in the record.
GroupHealth updateForRecord(const GroupHealth& health, const GroupRecord& before, const GroupRecord& after, TimePoint now);
// Takes in a member's answer to a question sent at `askedAt`. An older answer than the newest is dropped.
GroupHealth applyStatus(GroupHealth health, size_t index, const MemberStatus& status, TimePoint askedAt, TimePoint now);
// Whether an ordinary answer shows the member as the last status did, its log being longer at most. If not, only a status
// can tell what happened.
bool matchesLastStatus(const MemberHealth& member, const PiggybackedStatus& piggybacked);
// Takes in an ordinary answer in place of a status. One that is not in agreement, or comes from a member that fails its
// probes, changes nothing.
GroupHealth applyPiggybackedStatus(GroupHealth health, size_t index, const PiggybackedStatus& piggybacked, TimePoint askedAt, TimePoint now);
// Takes in that a question sent at `askedAt` got no answer (`wasRefused`: nothing listens there).
GroupHealth applyProbeFailure(GroupHealth health, size_t index, bool wasRefused, TimePoint askedAt);
// Whether all is well: every member answers, works in the term of a known primary and is promised to no other.
bool isGroupHealthy(const GroupHealth& health);
// When the next status question to a member is due. `sentAt` is the send time of the last one, answered or not.
TimePoint getNextProbeTime(const GroupHealth& health, size_t index, TimePoint sentAt, const ProbeTimings& timings);
// The largest term that any member has shown, fenced or worked in.
uint64_t getHighestTerm(const GroupHealth& health);

// How old a member's data can be at most, for a member of the present term whose log has reached `position`.
// Empty: no bound is known. Grows while probes fail, so a cut-off or superseded group looks old, never fresh.
std::optional<milliseconds> getStalenessBound(const GroupHealth& health, uint64_t term, uint64_t position, TimePoint now);

}
