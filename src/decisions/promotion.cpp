#include "decisions/promotion.h"
#include <algorithm>
#include <boost/json.hpp>

namespace alderward::decisions {

namespace json = boost::json;

static constexpr uint64_t kMaxFirstToken = uint64_t { 1 } << 62; // leaves room for the tokens of all later records

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
    next.recorded = previous.recorded;
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

RecordedOrders addOrder(RecordedOrders recorded, const RecordedOrder& order, uint64_t previousTerm)
{
    if (recorded.previousTerm < previousTerm)
        return { { order }, previousTerm };
    if (std::ranges::find(recorded.orders, order) == recorded.orders.end())
        recorded.orders.push_back(order);
    return recorded;
}

RecordedOrders removeOrders(RecordedOrders recorded, const Coordinator& sender, const std::set<std::string>& members)
{
    std::erase_if(recorded.orders, [&](const RecordedOrder& it) { return it.sender == sender && members.contains(it.member); });
    return recorded.orders.empty() ? RecordedOrders {} : recorded;
}

static json::object formatCoordinator(const Coordinator& coordinator)
{
    return { { "host", coordinator.host }, { "incarnation", coordinator.incarnation } };
}

std::string formatCoordinatorRecord(const CoordinatorRecord& record)
{
    json::array coordinators;
    for (auto& it : record.coordinators)
        coordinators.push_back(formatCoordinator(it));
    json::object object { { "orderers", coordinators }, { "firstToken", record.firstToken } };
    if (record.recorded.orders.empty())
        return json::serialize(object);
    json::array orders;
    for (auto& it : record.recorded.orders)
        orders.push_back(json::object { { "member", it.member }, { "sender", formatCoordinator(it.sender) } });
    object["orders"] = orders;
    object["previousTerm"] = record.recorded.previousTerm;
    return json::serialize(object);
}

static const json::array* findArray(const json::object& object, std::string_view key)
{
    auto* value = object.if_contains(key);
    return value ? value->if_array() : nullptr;
}

static std::optional<uint64_t> findNumber(const json::object& object, std::string_view key)
{
    boost::system::error_code ec;
    auto* value = object.if_contains(key);
    if (!value || !value->is_number())
        return std::nullopt;
    auto number = value->to_number<uint64_t>(ec);
    return ec ? std::nullopt : std::optional(number);
}

static std::optional<std::string> findText(const json::object& object, std::string_view key)
{
    auto* value = object.if_contains(key);
    return value && value->is_string() ? std::optional<std::string>(value->as_string()) : std::nullopt;
}

static std::optional<Coordinator> parseCoordinator(const json::value* value)
{
    auto* object = value ? value->if_object() : nullptr;
    auto host = object ? findText(*object, "host") : std::nullopt;
    auto incarnation = object ? findNumber(*object, "incarnation") : std::nullopt;
    return host && incarnation ? std::optional(Coordinator { *host, *incarnation }) : std::nullopt;
}

// Records of earlier versions, and those without an order, have neither field. Empty: malformed.
static std::optional<RecordedOrders> parseRecordedOrders(const json::object& object)
{
    if (!object.contains("orders"))
        return RecordedOrders {};
    auto* orders = findArray(object, "orders");
    auto previousTerm = findNumber(object, "previousTerm");
    if (!orders || !previousTerm)
        return std::nullopt;
    RecordedOrders recorded { {}, *previousTerm };
    for (auto& it : *orders) {
        auto* order = it.if_object();
        auto member = order ? findText(*order, "member") : std::nullopt;
        auto sender = order ? parseCoordinator(order->if_contains("sender")) : std::nullopt;
        if (!member || !sender)
            return std::nullopt;
        recorded.orders.push_back({ *member, *sender });
    }
    return recorded;
}

std::optional<CoordinatorRecord> parseCoordinatorRecord(const std::string& text)
{
    boost::system::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object())
        return std::nullopt;
    auto& object = value.as_object();
    auto* coordinators = findArray(object, "orderers");
    auto firstToken = findNumber(object, "firstToken");
    auto recorded = parseRecordedOrders(object);
    if (!coordinators || !firstToken || *firstToken > kMaxFirstToken || !recorded)
        return std::nullopt;
    CoordinatorRecord record { {}, *firstToken, std::move(*recorded) };
    for (auto& it : *coordinators) {
        auto coordinator = parseCoordinator(&it);
        if (!coordinator)
            return std::nullopt;
        record.coordinators.push_back(*coordinator);
    }
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
