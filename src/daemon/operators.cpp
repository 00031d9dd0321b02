#include "daemon/operators.h"
#include "base/metrics.h"
#include "base/timeline.h"
#include "links/json_fields.h"
#include <fmt/format.h>

namespace alderward::daemon {

namespace json = boost::json;
using base::Clock;
using base::milliseconds;
using links::HttpResponse;

static constexpr std::string_view kTracePath = "/debug/trace?group=";

static HttpResponse answerJson(const json::value& body, unsigned status = 200)
{
    return { status, json::serialize(body) };
}

static const char* getPhaseName(decisions::FailoverPhase phase)
{
    switch (phase) {
    case decisions::FailoverPhase::Idle:
        return "idle";
    case decisions::FailoverPhase::Waiting:
        return "waiting";
    case decisions::FailoverPhase::Claiming:
        return "claiming";
    case decisions::FailoverPhase::Draining:
        return "draining";
    case decisions::FailoverPhase::Fencing:
        return "fencing";
    default:
        return "promoting";
    }
}

static json::object describeMember(const decisions::MemberRecord& record, const decisions::MemberHealth& health, const decisions::GroupHealth& group)
{
    json::object it;
    it["member"] = record.name;
    it["reachable"] = health.isReachable();
    it["role"] = health.status.role == decisions::Role::Primary ? "primary" : "replica";
    it["term"] = health.status.term;
    it["fencedTerm"] = health.status.fencedTerm;
    it["position"] = health.status.log.position;
    auto age = decisions::getStalenessBound(group, health.status.log.term, health.status.log.position, Clock::now());
    it["ageMs"] = age ? json::value(age->count()) : json::value(nullptr);
    return it;
}

static json::object describeGroup(const controllers::GroupEntry& entry)
{
    json::object it;
    it["version"] = entry.version;
    it["retired"] = entry.record->isRetired;
    json::array homes;
    for (auto& home : entry.homes)
        homes.emplace_back(home);
    it["homes"] = std::move(homes);
    it["isHome"] = entry.isHome;
    if (!entry.controller || !entry.isHome)
        return it;
    auto status = entry.controller->getStatus().read();
    if (status->health.members.size() != entry.record->members.size())
        return it;
    it["term"] = status->health.term;
    auto primary = status->health.primary;
    it["primary"] = primary ? json::value(entry.record->members[*primary].name) : json::value(nullptr);
    it["failover"] = getPhaseName(status->failover.phase);
    it["heldBack"] = status->failover.holdBackReason;
    it["waiting"] = status->waiting;
    it["transactions"] = status->transactions;
    json::array members;
    for (size_t i = 0; i < entry.record->members.size(); ++i) {
        auto member = describeMember(entry.record->members[i], status->health.members[i], status->health);
        if (i < status->openConnections.size()) {
            member["connections"] = status->openConnections[i];
            member["inFlightLimit"] = status->limits[i];
        }
        members.push_back(std::move(member));
    }
    it["members"] = std::move(members);
    return it;
}

static json::object describeStatus(const OperatorServices& services)
{
    auto configuration = services.configuration.getSnapshot().read();
    auto membership = services.hosts.getSnapshot().read();
    json::object status;
    status["host"] = services.node.settings.name;
    status["dataCentre"] = services.node.settings.dataCentre;
    status["state"] = services.drainState.isDraining ? "draining" : "serving";
    status["configured"] = configuration->isLoaded;
    status["storeRevision"] = configuration->storeRevision;
    status["isWatcher"] = services.hosts.isWatcher();
    json::object groups;
    for (auto& [name, entry] : *services.groups.getTable().read())
        groups[name] = describeGroup(entry);
    status["groups"] = std::move(groups);
    json::object refused;
    for (auto& [name, it] : configuration->refused)
        refused[name] = { { "version", it.version }, { "problem", it.problem } };
    status["refusedRecords"] = std::move(refused);
    json::object hosts;
    for (auto& [name, known] : membership->hosts)
        hosts[name] = { { "state", decisions::getHostStateName(known.info.state) }, { "incarnation", known.info.incarnation }, { "dataCentre", known.info.dataCentre }, { "operatorAddress", known.info.operatorAddress } };
    status["hosts"] = std::move(hosts);
    return status;
}

static HttpResponse answerTimeline()
{
    json::array events;
    for (auto& it : base::getTimeline().getEvents())
        events.push_back({ { "stamp", it.stamp }, { "host", it.host }, { "group", it.group }, { "kind", it.kind }, { "cause", it.cause } });
    return answerJson(json::object { { "events", std::move(events) } });
}

static HttpResponse setBlockedPeers(const OperatorServices& services, const std::string& body)
{
    auto object = links::parseObject(body);
    if (!services.node.settings.allowFaults || !object)
        return answerJson(json::object { { "error", "faults are not allowed here, or the body is not JSON" } }, 403);
    std::set<std::string> names;
    if (auto* hosts = object->if_contains("hosts"); hosts && hosts->is_array()) {
        for (auto& it : hosts->get_array())
            names.insert(std::string(it.get_string()));
    }
    services.blockedPeers.set(std::move(names));
    return answerJson(json::object {});
}

static HttpResponse answerTrace(const OperatorServices& services, const std::string& path)
{
    auto table = services.groups.getTable().read();
    auto it = table->find(path.substr(kTracePath.size()));
    if (it == table->end() || !it->second.controller)
        return answerJson(json::object { { "error", "this host is not a home of this group" } }, 404);
    return { 200, it->second.controller->getTrace(), "text/plain" };
}

HttpResponse answerOperator(const OperatorServices& services, const links::HttpRequest& request)
{
    if (request.path == "/healthz") {
        bool isReady = !services.drainState.isDraining && services.configuration.getSnapshot().read()->isLoaded;
        return answerJson(json::object { { "ready", isReady } }, isReady ? 200 : 503);
    }
    if (request.path == "/status")
        return answerJson(describeStatus(services));
    if (request.path == "/timeline")
        return answerTimeline();
    if (request.path == "/metrics")
        return { 200, base::formatMetrics(), "text/plain; version=0.0.4" };
    if (request.path.starts_with(kTracePath))
        return answerTrace(services, request.path);
    if (request.path == "/debug/cut")
        return setBlockedPeers(services, request.body);
    return answerJson(json::object { { "error", "paths are /healthz, /status, /timeline and /metrics" } }, 404);
}

}
