#include "decisions/succession.h"
#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace alderward::decisions {

namespace json = boost::json;

Succession makeSuccession(const Succession& previous, const std::vector<RankedHost>& ranked)
{
    Succession next;
    next.firstToken = previous.orderers.empty() ? 1 : previous.firstToken + kTokensEach * kOrderers;
    std::set<std::string> used;
    auto take = [&](bool onlyNewDataCentres) {
        for (auto& it : ranked) {
            bool isIn = std::ranges::find(next.orderers, it.orderer) != next.orderers.end();
            if (isIn || next.orderers.size() >= kOrderers || (onlyNewDataCentres && used.contains(it.dataCentre)))
                continue;
            used.insert(it.dataCentre);
            next.orderers.push_back(it.orderer);
        }
    };
    take(true);
    take(false);
    return next;
}

bool isSuccessionDue(const Succession& succession, const std::vector<LiveOrderer>& live)
{
    auto isLive = [&](const Orderer& it) { return std::ranges::find(live, it, &LiveOrderer::orderer) != live.end(); };
    auto isAble = [&](const Orderer& it) { return std::ranges::find(live, LiveOrderer { it, true }) != live.end(); };
    if (succession.orderers.empty() || !isLive(succession.orderers.front()))
        return true;
    auto standing = std::ranges::count_if(succession.orderers, isLive);
    if (static_cast<size_t>(standing) < std::min(kOrderers, live.size()))
        return true;
    return std::ranges::any_of(live, &LiveOrderer::canAct) && std::ranges::none_of(succession.orderers, isAble);
}

bool canDo(const Ability& ability, Task task)
{
    return ability.hasOrders && (ability.hasStore || task == Task::Examine);
}

std::vector<size_t> rankActing(const std::vector<OrdererState>& orderers)
{
    std::vector<size_t> ranked;
    for (bool canAct : { true, false }) {
        for (size_t i = 0; i < orderers.size(); ++i) {
            if (orderers[i].isUsable && orderers[i].canAct == canAct)
                ranked.push_back(i);
        }
    }
    return ranked;
}

milliseconds getTaskLimit(Task task)
{
    return task == Task::HandOver ? milliseconds(4000) : milliseconds(5000);
}

std::optional<size_t> findRank(const Succession& succession, const Orderer& self)
{
    auto it = std::ranges::find(succession.orderers, self);
    if (it == succession.orderers.end())
        return std::nullopt;
    return static_cast<size_t>(it - succession.orderers.begin());
}

std::optional<uint64_t> getToken(const Succession& succession, size_t rank, uint64_t count)
{
    if (count >= kTokensEach)
        return std::nullopt;
    return succession.firstToken + rank * kTokensEach + count;
}

std::string formatSuccession(const Succession& succession)
{
    json::array orderers;
    for (auto& it : succession.orderers)
        orderers.push_back({ { "host", it.host }, { "incarnation", it.incarnation } });
    return json::serialize(json::object { { "orderers", orderers }, { "firstToken", succession.firstToken } });
}

std::optional<Succession> parseSuccession(const std::string& text)
{
    boost::system::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    auto& object = value.as_object();
    auto* orderers = object.if_contains("orderers");
    auto* first = object.if_contains("firstToken");
    if (!orderers || !orderers->is_array() || !first || !first->is_number())
        return std::nullopt;
    Succession succession;
    succession.firstToken = first->to_number<uint64_t>(ec);
    for (auto& it : orderers->as_array()) {
        auto* object = it.if_object();
        if (!object || !object->contains("host") || !object->at("host").is_string() || !object->contains("incarnation"))
            return std::nullopt;
        succession.orderers.push_back({ std::string(object->at("host").as_string()), object->at("incarnation").to_number<uint64_t>(ec) });
    }
    if (ec)
        return std::nullopt;
    return succession;
}

bool mayJudge(const HostsInReach& hosts)
{
    return hosts.answering + 1 > hosts.lost; // itself included; in a tie the primary is on the other side as likely as not, and it may live
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

// A member that is too busy to tell its status lives, but says nothing of what it holds: it counts for no majority.
static bool hasStatus(const MemberFinding& it)
{
    return it.wasReached && it.term != 0;
}

std::optional<std::string> chooseSuccessor(const std::vector<MemberFinding>& replicas, unsigned synchronousReplicas, size_t listedMembers)
{
    auto heard = static_cast<size_t>(std::ranges::count_if(replicas, hasStatus));
    if (heard * 2 <= listedMembers)
        return std::nullopt;
    const MemberFinding* best = nullptr;
    for (auto& it : replicas) {
        if (!hasStatus(it) && synchronousReplicas > 0)
            return std::nullopt;
        if (!hasStatus(it) || !it.mayLead)
            continue;
        if (!best || it.received > best->received)
            best = &it;
    }
    if (!best)
        return std::nullopt;
    // A member that may not lead can hold more than the best that may: with synchronous replicas, that would lose a commit.
    bool isBehind = std::ranges::any_of(replicas, [&](const MemberFinding& it) { return it.received > best->received; });
    if (synchronousReplicas > 0 && isBehind)
        return std::nullopt;
    return best->member;
}

}
