#include "decisions/promotion.h"
#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace alderward::decisions {

namespace json = boost::json;

CoordinatorRecord makeCoordinatorRecord(const CoordinatorRecord& previous, const std::vector<RankedCandidate>& ranked)
{
    CoordinatorRecord next;
    next.firstToken = previous.coordinators.empty() ? 1 : previous.firstToken + kTokensPerCoordinator * kCoordinatorCount;
    std::set<std::string> usedDataCentres;
    auto addCandidates = [&](bool onlyNewDataCentres) {
        for (auto& it : ranked) {
            bool isListed = std::ranges::find(next.coordinators, it.coordinator) != next.coordinators.end();
            if (isListed || next.coordinators.size() >= kCoordinatorCount || (onlyNewDataCentres && usedDataCentres.contains(it.dataCentre)))
                continue;
            usedDataCentres.insert(it.dataCentre);
            next.coordinators.push_back(it.coordinator);
        }
    };
    addCandidates(true);
    addCandidates(false);
    return next;
}

bool isCoordinatorRecordDue(const CoordinatorRecord& record, const std::vector<LiveCandidate>& live)
{
    auto isLive = [&](const Coordinator& it) { return std::ranges::find(live, it, &LiveCandidate::coordinator) != live.end(); };
    auto isAble = [&](const Coordinator& it) { return std::ranges::find(live, LiveCandidate { it, true }) != live.end(); };
    if (record.coordinators.empty() || !isLive(record.coordinators.front()))
        return true;
    auto liveCount = std::ranges::count_if(record.coordinators, isLive);
    if (static_cast<size_t>(liveCount) < std::min(kCoordinatorCount, live.size()))
        return true;
    return std::ranges::any_of(live, &LiveCandidate::canAct) && std::ranges::none_of(record.coordinators, isAble);
}

bool canPerform(const HostCapabilities& capabilities, PromotionTask task)
{
    return capabilities.canOrder && (capabilities.hasStore || task == PromotionTask::CheckPrimary);
}

std::vector<size_t> rankUsableCoordinators(const std::vector<CoordinatorState>& coordinators)
{
    std::vector<size_t> ranked;
    for (bool canAct : { true, false }) {
        for (size_t i = 0; i < coordinators.size(); ++i) {
            if (coordinators[i].isUsable && coordinators[i].canAct == canAct)
                ranked.push_back(i);
        }
    }
    return ranked;
}

milliseconds getTakeoverDelay(PromotionTask task)
{
    return task == PromotionTask::HandOver ? milliseconds(4000) : milliseconds(5000);
}

std::optional<size_t> findRank(const CoordinatorRecord& record, const Coordinator& self)
{
    auto it = std::ranges::find(record.coordinators, self);
    if (it == record.coordinators.end())
        return std::nullopt;
    return static_cast<size_t>(it - record.coordinators.begin());
}

std::optional<uint64_t> getFencingToken(const CoordinatorRecord& record, size_t rank, uint64_t count)
{
    if (count >= kTokensPerCoordinator)
        return std::nullopt;
    return record.firstToken + rank * kTokensPerCoordinator + count;
}

std::string formatCoordinatorRecord(const CoordinatorRecord& record)
{
    json::array coordinators;
    for (auto& it : record.coordinators)
        coordinators.push_back({ { "host", it.host }, { "incarnation", it.incarnation } });
    return json::serialize(json::object { { "orderers", coordinators }, { "firstToken", record.firstToken } });
}

std::optional<CoordinatorRecord> parseCoordinatorRecord(const std::string& text)
{
    boost::system::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    auto& object = value.as_object();
    auto* coordinators = object.if_contains("orderers");
    auto* first = object.if_contains("firstToken");
    if (!coordinators || !coordinators->is_array() || !first || !first->is_number())
        return std::nullopt;
    CoordinatorRecord record;
    record.firstToken = first->to_number<uint64_t>(ec);
    for (auto& it : coordinators->as_array()) {
        auto* object = it.if_object();
        if (!object || !object->contains("host") || !object->at("host").is_string() || !object->contains("incarnation"))
            return std::nullopt;
        record.coordinators.push_back({ std::string(object->at("host").as_string()), object->at("incarnation").to_number<uint64_t>(ec) });
    }
    if (ec)
        return std::nullopt;
    return record;
}

bool canJudgePrimary(const HostReachability& hosts)
{
    return hosts.answering + 1 > hosts.lost; // counts this host; in a tie the primary may be alive on the other side
}

std::optional<uint64_t> findNewerTerm(const std::vector<MemberFinding>& members, uint64_t known)
{
    uint64_t newest = 0;
    for (auto& it : members) {
        if (it.wasReached)
            newest = std::max({ newest, it.term, it.received.term });
    }
    return newest > known ? std::optional(newest) : std::nullopt;
}

// A member that is too busy to report its status is alive, but its log is unknown, so it does not count towards the majority.
static bool hasStatus(const MemberFinding& it)
{
    return it.wasReached && it.term != 0;
}

std::optional<std::string> chooseSuccessor(const std::vector<MemberFinding>& replicas, unsigned synchronousReplicas, size_t listedMembers)
{
    auto answered = static_cast<size_t>(std::ranges::count_if(replicas, hasStatus));
    if (answered * 2 <= listedMembers)
        return std::nullopt;
    const MemberFinding* best = nullptr;
    for (auto& it : replicas) {
        if (!hasStatus(it) && synchronousReplicas > 0)
            return std::nullopt;
        if (!hasStatus(it) || !it.isPromotable)
            continue;
        if (!best || it.received > best->received)
            best = &it;
    }
    if (!best)
        return std::nullopt;
    // A member that is not promotable may hold a newer log than the best one: with synchronous replicas, promoting would lose a commit.
    bool isBehind = std::ranges::any_of(replicas, [&](const MemberFinding& it) { return it.received > best->received; });
    if (synchronousReplicas > 0 && isBehind)
        return std::nullopt;
    return best->member;
}

}
