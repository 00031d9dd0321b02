// Failover and planned hand-over of one group's primary, as one state machine:
//     idle -> waiting -> claiming -> draining -> fencing -> promoting -> idle
// The members are their own arbiter: a term belongs to whoever fences a majority of them (docs/design/0002-failover.md).
// Nothing here does I/O: stepFailover() says what to do, and the answers come back as events.
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
    milliseconds refusalTimeout { 100 }; // ms; a primary whose port refuses is down after this
    milliseconds silenceTimeout { 500 }; // ms; a primary that does not answer is down after this
    milliseconds primaryContactTimeout { 250 }; // ms; a replica that heard its primary within this still has it
    milliseconds rankDelay { 250 }; // ms; a candidate of the next rank starts this much later
    milliseconds claimTimeout { 100 }; // ms; wait for the platform's store
    milliseconds fenceGracePeriod { 30 }; // ms; wait for more grants after a majority granted
    milliseconds fenceTimeout { 400 }; // ms; then the attempt ends
    milliseconds promoteTimeout { 400 }; // ms; then the attempt ends
    milliseconds catchUpTimeout { 3000 }; // ms; a planned hand-over waits this long for a replica to catch up
    milliseconds maxHandoverLag { 1000 }; // ms; a planned hand-over starts only if some replica is this close
    milliseconds retryDelay { 300 }; // ms; pause after an attempt that ended
    milliseconds maxTickGap { 400 }; // ms; between ticks; after a longer gap this process was paused and knows nothing
    milliseconds maxStatusAge { 600 }; // ms; a replica's word on its primary counts this long
};

enum class FailoverPhase { Idle,
    Waiting, // the primary looks down; waiting for this host's turn
    Claiming, // writing the claim to the platform's store
    Draining, // planned: the old primary is fenced, a replica is catching up
    Fencing, // asking the members for the new term
    Promoting, // a majority granted it; the best member is told
};

// A member's answer to fence().
struct FenceAnswer {
    bool isGranted { false };
    uint64_t fencedTerm { 0 }; // what it has promised so far
    LogState log {};
    friend bool operator==(const FenceAnswer&, const FenceAnswer&) = default;
};

struct FailoverState {
    FailoverPhase phase { FailoverPhase::Idle };
    bool isPlanned { false }; // a leaving primary is handed over, not a failed one replaced
    uint64_t term { 0 }; // the term this attempt is for
    TimePoint phaseStartedAt {};
    TimePoint startedAt {}; // when the suspicion began
    TimePoint earliestStart {}; // no new attempt before this
    TimePoint lastTickAt {}; // last tick
    std::map<size_t, FenceAnswer> grants {}; // by member
    std::set<size_t> refusals {}; // members that refused or did not answer
    TimePoint majorityGrantedAt {}; // when a majority had granted
    std::optional<size_t> chosenMember {};
    uint64_t promotedTerm { 0 }; // of the last promotion that this host carried out
    uint64_t highestTerm { 0 }; // largest term heard of in any answer
    std::deque<TimePoint> recentPromotions {}; // automatic ones seen in the last hour, oldest first
    std::string holdBackReason {}; // why an automatic promotion that is due is not done; empty: none is
    std::string cause {}; // of the present attempt
    friend bool operator==(const FailoverState&, const FailoverState&) = default;
};

// ---- events ----

// The timer, or news about health.
struct Tick {
    friend bool operator==(const Tick&, const Tick&) = default;
};

enum class ClaimOutcome { Taken, // the store holds our claim
    Lost, // the store holds another claim for this term or a later one
    Unavailable }; // no answer in time

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

// Tells the group's other homes at once, and the claim in the store if it is missing.
struct AnnouncePrimary {
    uint64_t term { 0 };
    size_t primary { 0 };
    friend bool operator==(const AnnouncePrimary&, const AnnouncePrimary&) = default;
};

// For the time line.
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

// What a step may look at besides its own state.
struct FailoverContext {
    const GroupRecord& record;
    const GroupHealth& health;
    std::vector<bool> isLeaving {}; // by member: the record or the platform's list says so
    size_t rank { 0 }; // this host's turn among the homes; 0 goes first
    FailoverTimings timings {};
};

FailoverStep stepFailover(const FailoverContext& context, FailoverState state, const FailoverEvent& event, TimePoint now);

// Whether the group's primary looks down, and why. Empty: it does not.
std::string getPrimaryDownReason(const FailoverContext& context, TimePoint now);

// Members that work in an older term than the known primary's and must be told to follow it.
std::vector<SendFollow> getPendingFollows(const GroupRecord& record, const GroupHealth& health);

}
