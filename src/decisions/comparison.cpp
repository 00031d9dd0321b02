#include "decisions/comparison.h"
#include <algorithm>

namespace alderward::decisions {

// A primary whose process runs for as long as those of its replicas has not started again since they hold anything: it is believed also while none answers, as in a new group
// whose replicas are late. One that is younger was promoted, or came back, with its log or without it: a majority of the members that did not start after it has to answer, as for a
// promotion. To wait for each of them would stop a group for 2.5 s where all hosts start after a handover: the old primary has ended, and is listed until its entry lapses.
bool canTrustPrimary(const std::vector<QueriedReplica>& replicas)
{
    bool hasUnansweredContradictor = std::ranges::any_of(replicas, [](const QueriedReplica& it) { return it.mayPredatePrimary && !it.hasAnswered; });
    auto members = 1 + std::ranges::count_if(replicas, [](const QueriedReplica& it) { return !it.startedAfterPrimary; });
    auto answered = 1 + std::ranges::count_if(replicas, [](const QueriedReplica& it) { return !it.startedAfterPrimary && it.hasAnswered; });
    return !hasUnansweredContradictor || answered * 2 > members;
}

}
