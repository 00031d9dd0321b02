#include "decisions/choice.h"
#include "decisions/placement.h"
#include <algorithm>

namespace alderward::decisions {

// Statements' worth of queue that a read must save to be sent to the leader.
static constexpr double kPrimaryPenalty = 1.0;

KnownPrimary applyPrimaryProof(const KnownPrimary& lead, const std::string& member, uint64_t term)
{
    return term < lead.term ? lead : KnownPrimary { member, term, true };
}

KnownPrimary applyPrimaryDenial(const KnownPrimary& lead, const std::string& member)
{
    return lead.member == member ? KnownPrimary { "", lead.term, false } : lead;
}

KnownPrimary applyPrimaryReport(const KnownPrimary& lead, const std::string& member, uint64_t term)
{
    bool fillsGap = lead.member.empty() && term >= lead.term;
    return term > lead.term || fillsGap ? KnownPrimary { member, term, false } : lead;
}

KnownPrimary applyPrimaryListing(const KnownPrimary& lead, const std::string& member)
{
    return lead.member.empty() ? KnownPrimary { member, lead.term, false } : lead;
}

bool isSuperseded(const KnownPrimary& before, const KnownPrimary& now)
{
    bool isOther = !now.member.empty() && now.member != before.member;
    return isOther || now.term > before.term;
}

double estimateLatencyMs(const Candidate& candidate)
{
    auto ahead = candidate.queued < candidate.slots ? 0.0 : static_cast<double>(candidate.queued - candidate.slots + 1);
    return candidate.roundTripMs + candidate.statementMs * (1 + ahead / candidate.slots);
}

std::optional<size_t> chooseReadMember(const std::vector<Candidate>& candidates, const Mark& need)
{
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        auto& it = candidates[i];
        bool isLeftAlone = it.positionAge < (it.isFarBehind ? kFarBehindCooldown : kBehindCooldown);
        bool isBehind = !it.isPrimary && it.position < need && isLeftAlone && (it.position.term != 0 || it.wasBehind);
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
