#include "decisions/comparison.h"
#include <algorithm>

namespace alderward::decisions {

// A primary whose process runs for as long as those of its replicas has not started again since they hold anything: it is believed also while none answers, as in a new group
// whose replicas are late. One that is younger was promoted, or came back, with its log or without it: the older ones can tell, and together with it a majority of them has to, as
// for a promotion. One that stays silent leaves the list within three of its heartbeats if it has ended.
bool mayBelievePrimary(const std::vector<ReplicaWitness>& replicas)
{
    auto older = std::ranges::count_if(replicas, &ReplicaWitness::mayBeOlder);
    auto answered = std::ranges::count_if(replicas, [](const ReplicaWitness& it) { return it.mayBeOlder && it.hasAnswered; });
    return older == 0 || (answered + 1) * 2 > older + 1;
}

}
