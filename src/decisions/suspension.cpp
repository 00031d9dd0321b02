#include "decisions/suspension.h"
#include <algorithm>

namespace alderward::decisions {

std::vector<std::string> chooseReplicasToSuspend(const std::vector<MemberFinding>& replicas, const std::string& successor, unsigned synchronousReplicas)
{
    std::vector<MemberFinding> others;
    std::ranges::copy_if(replicas, std::back_inserter(others), [&](const MemberFinding& it) { return it.member != successor && !it.saysPrimary; });
    std::ranges::stable_sort(others, std::ranges::greater(), &MemberFinding::received);
    auto kept = std::min<size_t>(std::max(1U, synchronousReplicas) - 1, others.size());
    std::vector<std::string> suspended;
    for (auto it = others.begin() + static_cast<std::ptrdiff_t>(kept); it != others.end(); ++it)
        suspended.push_back(it->member);
    return suspended;
}

bool holdsAllOf(const MemberFinding& successor, const std::vector<MemberFinding>& suspended)
{
    return std::ranges::all_of(suspended, [&](const MemberFinding& it) { return successor.received >= it.received; });
}

std::optional<std::string> findEarlierSuccessor(const std::vector<MemberFinding>& replicas, uint64_t newestTerm)
{
    std::vector<MemberFinding> suspended;
    const MemberFinding* newest = nullptr;
    for (auto& it : replicas) {
        if (isSuspended(it, newestTerm))
            suspended.push_back(it);
        else if (it.term != 0 && !it.saysPrimary && (!newest || it.received > newest->received))
            newest = &it;
    }
    bool wasOrderSent = newest && !suspended.empty() && holdsAllOf(*newest, suspended);
    return wasOrderSent ? std::optional(newest->member) : std::nullopt;
}

}
