// Who may order a change of primary, and which member is to lead. The right to order is settled in the platform's store beforehand, for
// a holder and its deputies, each with tokens of its own, so that a deputy can act while the store is away and no two hosts ever use
// the same token (docs/design/0009-platform.md).
//
// COMMON MISTAKES
//   - Ordering a different member with a token that was used before: the first order may be carried out late, after the second.
//
// [SECTION] Succession   the record in the store
// [SECTION] Charge       whose turn it is to act
// [SECTION] Evidence     whether the primary is dead, and who takes over
#pragma once
#include "decisions/freshness.h"
#include <optional>
#include <string>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Succession
//-----------------------------------------------------------------------------

// A process that may order; a restarted one is another.
struct Coordinator {
    std::string host {};
    uint64_t incarnation { 0 };
    friend bool operator==(const Coordinator&, const Coordinator&) = default;
};

struct CoordinatorRecord {
    std::vector<Coordinator> coordinators {}; // the holder first, then its deputies in order
    uint64_t firstToken { 0 }; // orderer i owns kTokensEach tokens from firstToken + i * kTokensEach on
    friend bool operator==(const CoordinatorRecord&, const CoordinatorRecord&) = default;
};

inline constexpr uint64_t kTokensPerCoordinator = 1000; // decisions of one orderer before the record must be renewed
inline constexpr size_t kCoordinatorCount = 3; // a holder and two deputies: two hosts may die while the store is away

// The next record: orderers in rank order over the live hosts, in different data centres where there are several.
struct RankedCandidate {
    Coordinator coordinator {};
    std::string dataCentre {};
};
CoordinatorRecord makeCoordinatorRecord(const CoordinatorRecord& previous, const std::vector<RankedCandidate>& ranked);
// Whether the record names too few live orderers, a holder that is gone, or nobody who can act while others can.
struct LiveCandidate {
    Coordinator coordinator {};
    bool canAct { true };
    friend bool operator==(const LiveCandidate&, const LiveCandidate&) = default;
};
bool isCoordinatorRecordDue(const CoordinatorRecord& record, const std::vector<LiveCandidate>& live);
// This process's place; empty: none.
std::optional<size_t> findRank(const CoordinatorRecord& record, const Coordinator& self);
// The token of this process's `count`th decision (from 0). Empty: its tokens are used up.
std::optional<uint64_t> getFencingToken(const CoordinatorRecord& record, size_t rank, uint64_t count);

std::string formatCoordinatorRecord(const CoordinatorRecord& record);
std::optional<CoordinatorRecord> parseCoordinatorRecord(const std::string& text);

//-----------------------------------------------------------------------------
// [SECTION] Charge
//-----------------------------------------------------------------------------

// What an orderer has to do.
enum class PromotionTask {
    HandOver, // the primary leaves or is not listed any more
    CheckPrimary, // somebody has trouble with the primary
    FindPrimary, // no primary is known
};

// What a host can do, as it says of itself. That it answers says nothing of either.
struct HostCapabilities {
    bool hasStore { true }; // it hears of changes there
    bool canOrder { true }; // its orders to the platform are taken
    friend bool operator==(const HostCapabilities&, const HostCapabilities&) = default;
};

// Whether a host of this ability can do the task. A dead primary is found by asking members; the other tasks come from the store's list.
bool canPerform(const HostCapabilities& capabilities, PromotionTask task);

// One orderer as another sees it.
struct CoordinatorState {
    bool isUsable { false }; // answers, in the life that the record names, and does not stop
    bool canAct { true };
    friend bool operator==(const CoordinatorState&, const CoordinatorState&) = default;
};

// The order in which usable orderers act, as indices: those that can act first, then by rank.
std::vector<size_t> rankUsableCoordinators(const std::vector<CoordinatorState>& coordinators);

// How long a task may stand for each orderer that comes before. Whatever that one lacks, be it something that nobody thought of, shows in a task
// that is not done. A handover takes 2 s at most, and a leaving primary is used for 5.5 s in a drain time of 7 s. Sooner would do harm: an order that
// is carried out late is refused once a deputy has used a higher token (where all come 2 to 12 s late, 0.08 to 0.11 of worth with 2 s in place of 4). To judge
// a primary by several hosts at once makes a wrong verdict likelier, so there a deputy waits for longer still.
milliseconds getTakeoverDelay(PromotionTask task);

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

// The other hosts as one host sees them.
struct HostReachability {
    size_t answering { 0 };
    size_t lost { 0 }; // answered within kLostCountsFor and do not any more; not those that stopped as planned
    friend bool operator==(const HostReachability&, const HostReachability&) = default;
};

// A host that died counts as lost for this long: a change of primary is over within 12 s also if most hosts died together with the primary.
inline constexpr milliseconds kLostHostRetention { 10000 };

// Whether a host may take a primary that it does not reach for dead. One that has lost most of the others is probably cut off itself,
// and the primary serves those others: replacing it would leave most callers without one.
bool canJudgePrimary(const HostReachability& hosts);

// What one host found when it asked a member for its status.
struct MemberFinding {
    std::string member {};
    bool wasReached { false };
    bool saysPrimary { false };
    uint64_t term { 0 };
    Mark received {}; // newest entry of its log
    bool isPromotable { true }; // listed and not leaving
};

// A term above `known` that members have seen: somebody was made the primary whom this host has not heard of, and who may live out of its reach.
// Nobody is replaced on such evidence; the host waits for what others tell, and looks again.
std::optional<uint64_t> findNewerTerm(const std::vector<MemberFinding>& members, uint64_t known);

// The member that holds most. With synchronous replicas a commit may be on any one of them, so all have to be heard. In any case a
// majority of the listed members has to be: whoever reaches fewer may be on the small side of a split, where an old primary looks like the
// only member that is left, and making it the primary takes back what the other side has acknowledged. Empty: none can be chosen.
std::optional<std::string> chooseSuccessor(const std::vector<MemberFinding>& replicas, unsigned synchronousReplicas, size_t listedMembers);

}
