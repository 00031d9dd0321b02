// Which hosts may order a promotion, and which member is promoted. Each group has a record in the platform's store that names a
// few coordinators, in order, and gives each its own range of fencing tokens: a standby can act while the store is unreachable,
// and no two hosts ever use the same token (docs/design/0009-platform.md).
//
// COMMON MISTAKES
//   - Reusing a fencing token to order another member: the platform may carry out the first order after the second.
//
// [SECTION] Coordinators   the record in the store
// [SECTION] Takeover       which coordinator acts, and when
// [SECTION] Evidence       whether the primary is dead, and which member succeeds it
#pragma once
#include "decisions/freshness.h"
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Coordinators
//-----------------------------------------------------------------------------

// A process that may order promotions. A restarted process is a different coordinator.
struct Coordinator {
    std::string host {};
    uint64_t incarnation { 0 };
    friend auto operator<=>(const Coordinator&, const Coordinator&) = default;
};

// A promotion order that the platform may carry out late, in a group with synchronous replicas.
struct RecordedOrder {
    std::string member {}; // that becomes primary
    Coordinator sender {};
    friend bool operator==(const RecordedOrder&, const RecordedOrder&) = default;
};

struct RecordedOrders {
    std::vector<RecordedOrder> orders {};
    uint64_t previousTerm { 0 }; // newest term of the group before the orders: they are settled once a member proves a newer one
    friend bool operator==(const RecordedOrders&, const RecordedOrders&) = default;
};

struct CoordinatorRecord {
    std::vector<Coordinator> coordinators {}; // the first coordinator, then the standbys in order
    uint64_t firstToken { 0 }; // coordinator i owns kTokensPerCoordinator fencing tokens from firstToken + i * kTokensPerCoordinator
    RecordedOrders recorded {};
    friend bool operator==(const CoordinatorRecord&, const CoordinatorRecord&) = default;
};

inline constexpr uint64_t kTokensPerCoordinator = 1000; // promotions that one coordinator can order before the record must be renewed
inline constexpr size_t kCoordinatorCount = 3; // tolerates the loss of two hosts while the store is unreachable

// A live host that may become a coordinator.
struct RankedCandidate {
    Coordinator coordinator {};
    std::string dataCentre {};
};
// The next record: the best-ranked live hosts, in different data centres where possible, with new fencing tokens. It keeps the orders of the previous one.
CoordinatorRecord makeCoordinatorRecord(const CoordinatorRecord& previous, const std::vector<RankedCandidate>& ranked);
// A live host, and whether it can perform every task of a coordinator.
struct LiveCandidate {
    Coordinator coordinator {};
    bool canAct { true };
    friend bool operator==(const LiveCandidate&, const LiveCandidate&) = default;
};
// Whether the record must be replaced: its first coordinator is not live, too few coordinators are live, or none of them can act while another host can.
bool isCoordinatorRecordDue(const CoordinatorRecord& record, const std::vector<LiveCandidate>& live);
// This process's rank in the record, from 0; empty: it is not a coordinator.
std::optional<size_t> findRank(const CoordinatorRecord& record, const Coordinator& self);
// The fencing token for a coordinator's `count`th order (from 0). Empty: its tokens are used up.
std::optional<uint64_t> getFencingToken(const CoordinatorRecord& record, size_t rank, uint64_t count);

// Adds an order. Recorded ones of an older term are settled by then, and left out.
RecordedOrders addOrder(RecordedOrders recorded, const RecordedOrder& order, uint64_t previousTerm);
// Without the sender's orders for these members.
RecordedOrders removeOrders(RecordedOrders recorded, const Coordinator& sender, const std::set<std::string>& members);

std::string formatCoordinatorRecord(const CoordinatorRecord& record);
std::optional<CoordinatorRecord> parseCoordinatorRecord(const std::string& text);

//-----------------------------------------------------------------------------
// [SECTION] Takeover
//-----------------------------------------------------------------------------

// What a coordinator has to do.
enum class PromotionTask {
    HandOver, // the primary is leaving or is no longer listed
    CheckPrimary, // a host reported that the primary fails
    FindPrimary, // no primary is known
};

// What a host reports that it can do. A host that answers pings may be able to do neither.
struct HostCapabilities {
    bool hasStore { true }; // receives changes from the store
    bool canOrder { true }; // the platform accepts its orders
    friend bool operator==(const HostCapabilities&, const HostCapabilities&) = default;
};

// Whether a host can perform a task. Checking a primary needs members only; the other tasks need the store's list of members.
bool canPerform(const HostCapabilities& capabilities, PromotionTask task);

// A coordinator as another one sees it.
struct CoordinatorState {
    bool isUsable { false }; // reachable, the same process as in the record, and not stopping
    bool canAct { true };
    friend bool operator==(const CoordinatorState&, const CoordinatorState&) = default;
};

// Indices of the usable coordinators in the order in which they act: those that can act first, then by rank.
std::vector<size_t> rankUsableCoordinators(const std::vector<CoordinatorState>& coordinators);

// How long a coordinator waits for each one before it to finish a task. A handover takes 2 s at most, and a leaving primary is used for 5.5 s of a drain time
// of 7 s. A shorter delay would do harm: once a standby has used a higher token, an order of the first coordinator that the platform carries out late is refused.
milliseconds getTakeoverDelay(PromotionTask task);

//-----------------------------------------------------------------------------
// [SECTION] Evidence
//-----------------------------------------------------------------------------

// How many other hosts a host can reach.
struct HostReachability {
    size_t answering { 0 };
    size_t lost { 0 }; // answered within kLostHostRetention but no longer do; hosts that stopped as planned are not counted
    friend bool operator==(const HostReachability&, const HostReachability&) = default;
};

// How long a silent host counts as lost. Bounds how long promotions are blocked if most hosts die together with the primary: a group must have a new
// primary within 12 s.
inline constexpr milliseconds kLostHostRetention { 10000 };

// Whether a host may declare an unreachable primary dead. A host that has lost most others is probably isolated itself, and the
// primary still serves those others.
bool canJudgePrimary(const HostReachability& hosts);

// The result of asking a member for its status.
struct MemberFinding {
    std::string member {};
    bool wasReached { false };
    bool saysPrimary { false };
    uint64_t term { 0 };
    Mark received {}; // position of the newest entry in its log
    bool isPromotable { true }; // listed and not leaving
    uint64_t suspendedFor { 0 }; // term for which it receives no log entries; 0: it receives them
};

// The newest term reported by members, if above `known`: a primary unknown to this host was promoted and may be alive.
// No promotion may be ordered on such evidence.
std::optional<uint64_t> findNewerTerm(const std::vector<MemberFinding>& members, uint64_t known);

// The promotable member with the newest log; empty: none can be chosen safely. A majority of the listed members must have answered, or
// the minority side of a network partition could promote an outdated member and lose acknowledged writes. With synchronous replicas
// all must have answered, since any one of them may hold the newest commit.
std::optional<std::string> chooseSuccessor(const std::vector<MemberFinding>& replicas, unsigned synchronousReplicas, size_t listedMembers);

}
