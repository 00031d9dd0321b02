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
    milliseconds heardPrimaryAgo { 0 }; // time since its primary last answered it; 0 for a primary
    bool canFence { true };
    friend bool operator==(const MemberStatus&, const MemberStatus&) = default;

    // It neither left `other` nor promised to a later term.
    bool standsIn(uint64_t other) const { return term == other && fencedTerm <= other; }
};

// A probe that a replica's age can be counted from: when it was sent, and how far the primary had come.
struct AgeMark {
    TimePoint askedAt {}; // send time of the probe to the primary
    uint64_t position { 0 }; // primary's position in that answer
    bool isConfirmed { false }; // a majority stood in the term, asked at or after askedAt
    friend bool operator==(const AgeMark&, const AgeMark&) = default;
};

struct MemberHealth {
    bool isKnown { false }; // has answered at least once
    MemberStatus status {}; // newest answer
    TimePoint askedAt {}; // when the question of the newest answer was sent
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
    std::vector<AgeMark> ageMarks {}; // ascending by askedAt, of the present term only, at most kAgeMarkLimit
    friend bool operator==(const GroupHealth&, const GroupHealth&) = default;
};

inline constexpr size_t kAgeMarkLimit = 64;

GroupHealth makeHealth(const GroupRecord& record, TimePoint now);
// Keeps what is known of members that stay in the record.
GroupHealth changeRecord(const GroupHealth& health, const GroupRecord& before, const GroupRecord& after, TimePoint now);
// Takes in a member's answer to a question sent at `askedAt`. An older answer than the newest is dropped.
GroupHealth takeStatus(GroupHealth health, size_t index, const MemberStatus& status, TimePoint askedAt, TimePoint now);
// Takes in that a question sent at `askedAt` got no answer (`wasRefused`: nothing listens there).
GroupHealth takeFailure(GroupHealth health, size_t index, bool wasRefused, TimePoint askedAt);
// The largest term that any member has shown, fenced or worked in.
uint64_t getHighestTerm(const GroupHealth& health);

// How old a member's data can be at most, for a member of the present term whose log has reached `position`.
// Empty: no bound is known. Grows while probes fail, so a cut-off or superseded group looks old, never fresh.
std::optional<milliseconds> getAgeBound(const GroupHealth& health, uint64_t term, uint64_t position, TimePoint now);

}
