// Health of a group's members as one of its homes sees it, from status probes and from ordinary replies.
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

// A member's answer to a status probe.
struct MemberStatus {
    std::string member {};
    uint64_t term { 0 }; // current term
    uint64_t fencedTerm { 0 }; // the member rejects requests of lower terms
    Role role { Role::Replica };
    LogState log {};
    std::string primary {}; // name of the primary that it follows
    milliseconds primaryContactAge { 0 }; // time since its primary last answered it; 0 for a primary
    bool canFence { true };
    friend bool operator==(const MemberStatus&, const MemberStatus&) = default;

    // Whether the member is in term `other` and has granted no later term.
    bool isActiveInTerm(uint64_t other) const { return term == other && fencedTerm <= other; }
};

// Term and log position of a member as reported in its reply to a statement or a confirmation.
struct PiggybackedStatus {
    uint64_t term { 0 }; // 0: not reported
    uint64_t fencedTerm { 0 };
    Mark log {}; // last entry of its log
    friend bool operator==(const PiggybackedStatus&, const PiggybackedStatus&) = default;
};

// A probe of the primary. A replica that has reached `position` is no staler than the time since `askedAt`.
struct FreshnessCheckpoint {
    TimePoint askedAt {}; // send time of the probe
    uint64_t position { 0 }; // log position of the primary in its answer
    bool isConfirmed { false }; // a majority was active in the term, in answers to probes sent at or after askedAt
    friend bool operator==(const FreshnessCheckpoint&, const FreshnessCheckpoint&) = default;
};

struct MemberHealth {
    bool isKnown { false }; // has answered at least once
    MemberStatus status {}; // last answer
    TimePoint askedAt {}; // send time of the latest answered request, of any kind
    TimePoint probedAt {}; // send time of the last answered status probe; primaryContactAge counts from then
    unsigned failures { 0 }; // consecutive failed probes
    unsigned refusals { 0 }; // refused connections among the last failures, consecutive
    TimePoint failingSince {}; // send time of the first of the failed probes
    friend bool operator==(const MemberHealth&, const MemberHealth&) = default;

    bool isReachable() const { return isKnown && failures == 0; }
};

struct GroupHealth {
    std::vector<MemberHealth> members {}; // in the order of the record
    uint64_t term { 0 }; // of the last known primary; 0: none known
    std::optional<size_t> primary {}; // index of the primary
    TimePoint withoutPrimarySince {}; // when the primary was last lost; only valid while there is none
    std::vector<FreshnessCheckpoint> freshnessCheckpoints {}; // ascending by askedAt; only of `term`
    friend bool operator==(const GroupHealth&, const GroupHealth&) = default;
};

inline constexpr size_t kMaxFreshnessCheckpoints = 128;
inline constexpr milliseconds kFreshnessCheckpointInterval { 50 }; // minimum
inline constexpr milliseconds kPiggybackedStatusInterval { 20 }; // minimum; more frequent ones may be ignored

struct ProbeTimings {
    milliseconds interval { 100 }; // ms; between probes of a member that sends no other replies
    milliseconds fullStatusInterval { 1000 }; // ms; maximum between status probes, whatever other replies arrive
    milliseconds unreachableInterval { 40 }; // ms; between probes of a member that does not answer
    milliseconds idleInterval { 1000 }; // ms; replaces `interval` while `isIdle`, except for the primary at the first home
    bool isIdle { false }; // this home has had no recent statements for the group
    bool isFirstHome { false }; // this home is the first to start a failover
};

GroupHealth makeHealth(const GroupRecord& record, TimePoint now);
// Keeps the health of members whose name and address stay in the record.
GroupHealth updateForRecord(const GroupHealth& health, const GroupRecord& before, const GroupRecord& after, TimePoint now);
// Applies a member's answer to a probe sent at `askedAt`. Ignores it if the reply to a later request has been applied.
GroupHealth applyStatus(GroupHealth health, size_t index, const MemberStatus& status, TimePoint askedAt, TimePoint now);
// Whether a reply reports the same terms as the last status probe. If not, the member needs a new status probe.
bool matchesLastStatus(const MemberHealth& member, const PiggybackedStatus& piggybacked);
// Applies a reply in place of a status probe. Ignored if its terms differ from the last status, or the member fails its
// probes.
GroupHealth applyPiggybackedStatus(GroupHealth health, size_t index, const PiggybackedStatus& piggybacked, TimePoint askedAt, TimePoint now);
// Records that a probe sent at `askedAt` failed (`wasRefused`: the connection was refused).
GroupHealth applyProbeFailure(GroupHealth health, size_t index, bool wasRefused, TimePoint askedAt);
// Whether a primary is known and every member answers, is in its term and has granted no later term.
bool isGroupHealthy(const GroupHealth& health);
// Returns when the next status probe of a member is due. `sentAt` is the send time of the last one, answered or not.
TimePoint getNextProbeTime(const GroupHealth& health, size_t index, TimePoint sentAt, const ProbeTimings& timings);
// Returns the highest term that any member is in or has granted.
uint64_t getHighestTerm(const GroupHealth& health);

// Returns an upper bound of the staleness of a member in `term` whose log has reached `position`; empty if none is known.
// It grows while probes fail, so an unreachable or superseded group is never taken for fresh.
std::optional<milliseconds> getStalenessBound(const GroupHealth& health, uint64_t term, uint64_t position, TimePoint now);

}
