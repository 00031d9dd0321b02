// State machine for failover and planned handover of a group's primary:
//     idle -> waiting -> claiming -> draining -> fencing -> promoting -> idle
// A host promotes a member in a term only after a majority of the members granted its fence request for that term; members
// that do not support fencing rely on a claim in the platform's store instead (docs/design/0002-failover.md).
// This code does no I/O: stepFailover() returns actions, and their results arrive as events.
#pragma once
#include "decisions/health.h"
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace alderward::decisions {

struct FailoverTimings {
    milliseconds refusalTimeout { 100 }; // ms; a primary that refuses connections this long is considered down
    milliseconds silenceTimeout { 500 }; // ms; a primary that does not answer this long is considered down
    milliseconds primaryContactTimeout { 250 }; // ms; a replica whose last contact with its primary is younger is connected to it
    milliseconds rankDelay { 250 }; // ms; additional start delay for each rank
    milliseconds claimTimeout { 100 }; // ms; for an answer of the platform's store
    milliseconds fenceGracePeriod { 30 }; // ms; wait for further grants after a majority granted
    milliseconds fenceTimeout { 400 }; // ms
    milliseconds promoteTimeout { 400 }; // ms
    milliseconds catchUpTimeout { 3000 }; // ms; in a planned handover, for a replica to catch up
    milliseconds maxHandoverLag { 1000 }; // ms; a planned handover requires a replica that lags no more
    milliseconds retryDelay { 300 }; // ms; between the end of an attempt and the next
    milliseconds maxTickGap { 400 }; // ms; a longer gap between ticks means that the process was paused and its health data is stale
    milliseconds maxStatusAge { 600 }; // ms; older statuses say nothing about a replica's contact with its primary
};

enum class FailoverPhase { Idle,
    Waiting, // the primary is considered down; waiting for the delay of this host's rank
    Claiming, // writing the claim for the term to the platform's store
    Draining, // planned handover: the old primary is fenced, a replica catches up
    Fencing, // sending fence requests for the new term to the members
    Promoting, // a majority granted the term; the most advanced member is being promoted
};

// A member's answer to a fence request.
struct FenceAnswer {
    bool isGranted { false };
    uint64_t fencedTerm { 0 }; // highest term that the member has granted
    LogState log {};
    friend bool operator==(const FenceAnswer&, const FenceAnswer&) = default;
};

struct FailoverState {
    FailoverPhase phase { FailoverPhase::Idle };
    bool isPlanned { false }; // a handover from a leaving primary, not the replacement of a failed one
    uint64_t term { 0 }; // term of the current or last attempt
    TimePoint phaseStartedAt {};
    TimePoint startedAt {}; // when the current attempt became due
    TimePoint earliestStart {}; // no attempt starts earlier
    TimePoint lastTickAt {};
    std::map<size_t, FenceAnswer> grants {}; // by member index
    std::set<size_t> refusals {}; // indices of members that refused or did not answer
    TimePoint majorityGrantedAt {}; // when the number of grants reached a majority
    std::optional<size_t> chosenMember {}; // index of the member that is being promoted
    uint64_t promotedTerm { 0 }; // of the last promotion by this host
    uint64_t highestTerm { 0 }; // highest term in any answer to a claim or fence request
    std::deque<TimePoint> recentPromotions {}; // promotions within the last hour, oldest first; without this host's planned handovers
    std::string holdBackReason {}; // why a promotion that is due is not started; empty: none is withheld
    std::string cause {}; // of the current attempt
    friend bool operator==(const FailoverState&, const FailoverState&) = default;
};

// ---- events ----

// Sent by the timer and after each change of the health data.
struct Tick {
    friend bool operator==(const Tick&, const Tick&) = default;
};

enum class ClaimOutcome { Taken, // the store holds this host's claim
    Lost, // the store holds another host's claim for this term, or one for a later term
    Unavailable }; // the store did not answer in time

struct ClaimAnswered {
    uint64_t term { 0 };
    ClaimOutcome outcome { ClaimOutcome::Unavailable };
    uint64_t storedTerm { 0 };
    friend bool operator==(const ClaimAnswered&, const ClaimAnswered&) = default;
};

struct FenceAnswered {
    uint64_t term { 0 };
    size_t member { 0 };
    std::optional<FenceAnswer> answer {}; // empty: no answer
    friend bool operator==(const FenceAnswered&, const FenceAnswered&) = default;
};

struct PromoteAnswered {
    uint64_t term { 0 };
    bool isDone { false };
    friend bool operator==(const PromoteAnswered&, const PromoteAnswered&) = default;
};

using FailoverEvent = std::variant<Tick, ClaimAnswered, FenceAnswered, PromoteAnswered>;

// ---- actions ----

struct WriteClaim {
    uint64_t term { 0 };
    friend bool operator==(const WriteClaim&, const WriteClaim&) = default;
};

struct SendFence {
    uint64_t term { 0 };
    size_t member { 0 };
    friend bool operator==(const SendFence&, const SendFence&) = default;
};

struct SendPromote {
    uint64_t term { 0 };
    size_t member { 0 };
    friend bool operator==(const SendPromote&, const SendPromote&) = default;
};

struct SendFollow {
    uint64_t term { 0 };
    size_t member { 0 };
    size_t primary { 0 };
    friend bool operator==(const SendFollow&, const SendFollow&) = default;
};

// Notifies the group's other homes of the new primary, and writes the claim if the store lacks it.
struct AnnouncePrimary {
    uint64_t term { 0 };
    size_t primary { 0 };
    friend bool operator==(const AnnouncePrimary&, const AnnouncePrimary&) = default;
};

// Adds an entry to the host's timeline.
struct AddTimelineEntry {
    std::string kind {};
    std::string cause {};
    friend bool operator==(const AddTimelineEntry&, const AddTimelineEntry&) = default;
};

using FailoverAction = std::variant<WriteClaim, SendFence, SendPromote, SendFollow, AnnouncePrimary, AddTimelineEntry>;

struct FailoverStep {
    FailoverState state {};
    std::vector<FailoverAction> actions {};
};

// Read-only inputs of a step.
struct FailoverContext {
    const GroupRecord& record;
    const GroupHealth& health;
    std::vector<bool> isLeaving {}; // by member index; from the record or the platform's list
    size_t rank { 0 }; // position of this host among the group's homes; 0 starts first
    FailoverTimings timings {};
};

FailoverStep stepFailover(const FailoverContext& context, FailoverState state, const FailoverEvent& event, TimePoint now);

// Returns why the group's primary is considered down; empty if it is not.
std::string getPrimaryDownReason(const FailoverContext& context, TimePoint now);

// Returns a follow request for each reachable member that does not yet follow the known primary in its term.
std::vector<SendFollow> getPendingFollows(const GroupRecord& record, const GroupHealth& health);

}
