// Whether a host that knows no log position of a group can trust its primary. A primary that restarted under the same id
// still reports itself as primary but has lost its log; only its replicas, or hosts that know a floor, can tell.
//
// COMMON MISTAKES
//   - Counting a replica that does not answer as one that agrees.
#pragma once
#include <vector>

namespace alderward::decisions {

// A replica that was asked for its log position.
struct QueriedReplica {
    bool hasAnswered { false };
    bool mayPredatePrimary { true }; // its process may have started before the primary's, so it may hold entries that the primary lost
    bool startedAfterPrimary { false }; // it started after the primary, so it may lack the same entries
    friend bool operator==(const QueriedReplica&, const QueriedReplica&) = default;
};

// Takes all listed replicas of the group. The positions in their answers are compared separately, by hasLostLog().
bool canTrustPrimary(const std::vector<QueriedReplica>& replicas);

}
