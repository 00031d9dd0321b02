#include "decisions/choice.h"
#include "decisions/placement.h"
#include <algorithm>

namespace alderward::decisions {

// Added to the primary's expected latency, in typical statement times, to keep reads away from it.
static constexpr double kPrimaryPenalty = 1.0;

KnownPrimary applyPrimaryProof(const KnownPrimary& known, const std::string& member, uint64_t term)
{
    return term < known.term ? known : KnownPrimary { member, term, true };
}

KnownPrimary applyPrimaryDenial(const KnownPrimary& known, const std::string& member)
{
    return known.member == member ? KnownPrimary { "", known.term, false } : known;
}

KnownPrimary applyPrimaryReport(const KnownPrimary& known, const std::string& member, uint64_t term)
{
    bool fillsGap = known.member.empty() && term >= known.term;
    return term > known.term || fillsGap ? KnownPrimary { member, term, false } : known;
}

KnownPrimary applyPrimaryListing(const KnownPrimary& known, const std::string& member)
{
    return known.member.empty() ? KnownPrimary { member, known.term, false } : known;
}

bool isSuperseded(const KnownPrimary& before, const KnownPrimary& now)
{
    bool isOtherMember = !now.member.empty() && now.member != before.member;
    return isOtherMember || now.term > before.term;
}

double estimateLatencyMs(const Candidate& candidate)
{
    auto queuedAhead = candidate.queued < candidate.slots ? 0.0 : static_cast<double>(candidate.queued - candidate.slots + 1);
    return candidate.roundTripMs + candidate.statementMs * (1 + queuedAhead / candidate.slots);
}

std::optional<size_t> chooseReadMember(const std::vector<Candidate>& candidates, const Mark& required)
{
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        auto& it = candidates[i];
        bool isCoolingDown = it.positionAge < (it.isFarBehind ? kFarBehindCooldown : kBehindCooldown);
        bool isBehind = !it.isPrimary && it.position < required && isCoolingDown && (it.position.term != 0 || it.wasBehind);
        if (!it.isUsable || it.wasTried || isBehind)
            continue;
        auto cost = estimateLatencyMs(it) + (it.isPrimary ? kPrimaryPenalty * it.statementMs : 0);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

std::vector<std::string> rankForwarders(const std::string& member, const std::string& dataCentre, const std::vector<ForwarderHost>& hosts)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (auto& it : hosts)
        (it.dataCentre == dataCentre ? near : far).push_back(it.name);
    auto ranked = rankHosts(member, near);
    std::ranges::move(rankHosts(member, far), std::back_inserter(ranked));
    return ranked;
}

}
