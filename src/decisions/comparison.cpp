#include "decisions/comparison.h"
#include <algorithm>

namespace alderward::decisions {

// A primary that started no later than its replicas cannot have lost entries that they hold, so it is trusted without their
// answers. Otherwise a majority of the members that did not start after it has to answer. Waiting for all of them would
// block a group whose old primary has ended and is still listed.
bool canTrustPrimary(const std::vector<QueriedReplica>& replicas)
{
    bool hasSilentOlderReplica = std::ranges::any_of(replicas, [](const QueriedReplica& it) { return it.mayPredatePrimary && !it.hasAnswered; });
    auto members = 1 + std::ranges::count_if(replicas, [](const QueriedReplica& it) { return !it.startedAfterPrimary; });
    auto answered = 1 + std::ranges::count_if(replicas, [](const QueriedReplica& it) { return !it.startedAfterPrimary && it.hasAnswered; });
    return !hasSilentOlderReplica || answered * 2 > members;
}

}
