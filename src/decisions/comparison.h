// Whether a host that knows no position of a group may believe its primary. A primary that started again under its id still calls itself the primary and holds nothing of
// what it had acknowledged; only its replicas, or hosts that know a floor, can contradict it.
//
// COMMON MISTAKES
//   - Counting a replica that does not answer as one that agrees.
#pragma once
#include <vector>

namespace alderward::decisions {

// A replica that was asked what it holds.
struct QueriedReplica {
    bool hasAnswered { false };
    bool mayPredatePrimary { true }; // its process may run for longer than the primary's, so that it can hold what the primary has lost
    bool startedAfterPrimary { false }; // it started after the primary, and may have lost the same
    friend bool operator==(const QueriedReplica&, const QueriedReplica&) = default;
};

// Of the group's listed replicas. What those hold that have answered is compared apart, by hasLostLog().
bool canTrustPrimary(const std::vector<QueriedReplica>& replicas);

}
