#include "decisions/trace.h"
#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace alderward::decisions {

namespace json = boost::json;
using std::chrono::microseconds;

TimePoint truncateToMicroseconds(TimePoint time)
{
    return std::chrono::floor<microseconds>(time);
}

// ---- actions ----

static const std::string& getName(const GroupRecord& record, size_t member)
{
    static const std::string unknown = "?";
    return member < record.members.size() ? record.members[member].name : unknown;
}

std::string formatAction(const FailoverAction& action, const GroupRecord& record)
{
    if (auto* claim = std::get_if<WriteClaim>(&action))
        return fmt::format("claim term {}", claim->term);
    if (auto* fence = std::get_if<SendFence>(&action))
        return fmt::format("fence {} in term {}", getName(record, fence->member), fence->term);
    if (auto* promote = std::get_if<SendPromote>(&action))
        return fmt::format("promote {} in term {}", getName(record, promote->member), promote->term);
    if (auto* follow = std::get_if<SendFollow>(&action))
        return fmt::format("{} follow {} in term {}", getName(record, follow->member), getName(record, follow->primary), follow->term);
    if (auto* announce = std::get_if<AnnouncePrimary>(&action))
        return fmt::format("announce {} in term {}", getName(record, announce->primary), announce->term);
    auto& entry = std::get<AddTimelineEntry>(action);
    return fmt::format("note {}: {}", entry.kind, entry.cause);
}

// ---- writing ----

static json::object formatRecord(const GroupRecord& record)
{
    json::array members;
    for (auto& it : record.members)
        members.push_back({ { "name", it.name }, { "address", it.address }, { "dataCentre", it.dataCentre }, { "fence", it.canFence }, { "leaving", it.isLeaving } });
    json::object reads;
    for (auto& [name, age] : record.readKinds)
        reads[name] = { { "maximumAgeMs", age.count() } };
    json::array hosts(record.hosts.begin(), record.hosts.end());
    json::object promotion { { "mode", record.promotion.mode == PromotionMode::Off ? "off" : "automatic" }, { "leastIntervalMs", record.promotion.minInterval.count() }, { "mostPerHour", record.promotion.maxPerHour } };
    return { { "schema", 2 }, { "members", std::move(members) }, { "hosts", std::move(hosts) }, { "connectionLimit", record.connectionLimit }, { "slots", record.slots }, { "reads", std::move(reads) }, { "acknowledge", record.acknowledge == Acknowledge::Primary ? "primary" : "replicated" }, { "promotion", std::move(promotion) }, { "retired", record.isRetired } };
}

static json::object formatLog(const LogState& log)
{
    json::array history;
    for (auto& it : log.history)
        history.push_back(json::array { it.term, it.position });
    return { { "term", log.term }, { "position", log.position }, { "history", std::move(history) } };
}

static int64_t getOffset(TimePoint time, TimePoint origin)
{
    return std::chrono::duration_cast<microseconds>(time - origin).count();
}

namespace {

// Writes an event's fields to a line; "event" holds its name.
struct EventWriter {
    json::object& line;
    TimePoint origin;

    void operator()(const GroupConfigurationChanged& it) const
    {
        json::array leaving;
        for (bool isLeaving : it.isLeaving)
            leaving.emplace_back(isLeaving);
        line["event"] = "role";
        line["group"] = it.record.name;
        line["record"] = formatRecord(it.record);
        line["leaving"] = std::move(leaving);
        line["rank"] = it.rank;
    }
    void operator()(const ServingStarted&) const { line["event"] = "began"; }
    void operator()(const StatusAnswered& it) const
    {
        auto& status = it.status;
        line["event"] = "status";
        line["member"] = it.member;
        line["askedUs"] = getOffset(it.askedAt, origin);
        line["status"] = { { "member", status.member }, { "term", status.term }, { "fencedTerm", status.fencedTerm }, { "primary", status.primary }, { "isPrimary", status.role == Role::Primary }, { "log", formatLog(status.log) }, { "heardAgoMs", status.primaryContactAge.count() }, { "fence", status.canFence } };
    }
    void operator()(const PiggybackedStatusReceived& it) const
    {
        line["event"] = "glimpse";
        line["member"] = it.member;
        line["askedUs"] = getOffset(it.askedAt, origin);
        line["term"] = it.status.term;
        line["fencedTerm"] = it.status.fencedTerm;
        line["logTerm"] = it.status.log.term;
        line["position"] = it.status.log.position;
    }
    void operator()(const ProbeFailed& it) const
    {
        line["event"] = "failed";
        line["member"] = it.member;
        line["askedUs"] = getOffset(it.askedAt, origin);
        line["refused"] = it.wasRefused;
    }
    void operator()(const FailoverEvent& event) const { std::visit(*this, event); }
    void operator()(const Tick&) const { line["event"] = "tick"; }
    void operator()(const ClaimAnswered& it) const
    {
        line["event"] = "claim";
        line["term"] = it.term;
        line["outcome"] = static_cast<unsigned>(it.outcome);
        line["storedTerm"] = it.storedTerm;
    }
    void operator()(const FenceAnswered& it) const
    {
        line["event"] = "fence";
        line["term"] = it.term;
        line["member"] = it.member;
        if (it.answer)
            line["answer"] = { { "granted", it.answer->isGranted }, { "fencedTerm", it.answer->fencedTerm }, { "log", formatLog(it.answer->log) } };
    }
    void operator()(const PromoteAnswered& it) const
    {
        line["event"] = "promote";
        line["term"] = it.term;
        line["done"] = it.isDone;
    }
};

}

std::string formatTraceEntry(const TraceEntry& entry, TimePoint origin)
{
    json::object line { { "atUs", getOffset(entry.now, origin) } };
    std::visit(EventWriter { line, origin }, entry.event);
    if (!entry.actions.empty())
        line["actions"] = json::array(entry.actions.begin(), entry.actions.end());
    return json::serialize(line);
}

// ---- reading: errors are thrown, and parseTrace() reports them with their line ----

static TimePoint readTime(const json::value& value)
{
    // The origin is arbitrary, but times before it must stay above the clock's zero, which means "never".
    return TimePoint {} + std::chrono::hours(1) + microseconds(value.to_number<int64_t>());
}

static std::string readText(const json::value& value)
{
    return std::string(value.as_string());
}

static LogState readLog(const json::value& value)
{
    LogState log { value.at("term").to_number<uint64_t>(), value.at("position").to_number<uint64_t>(), {} };
    for (auto& it : value.at("history").as_array())
        log.history.push_back({ it.at(0).to_number<uint64_t>(), it.at(1).to_number<uint64_t>() });
    return log;
}

static GroupConfigurationChanged readGroupConfiguration(const json::object& line)
{
    auto record = parseGroupRecord(readText(line.at("group")), json::serialize(line.at("record")));
    if (!record)
        throw std::runtime_error(formatProblem(record.error()));
    GroupConfigurationChanged event { std::move(*record), {}, line.at("rank").to_number<size_t>() };
    for (auto& it : line.at("leaving").as_array())
        event.isLeaving.push_back(it.as_bool());
    return event;
}

static StatusAnswered readStatus(const json::object& line)
{
    auto& object = line.at("status");
    MemberStatus status;
    status.member = readText(object.at("member"));
    status.term = object.at("term").to_number<uint64_t>();
    status.fencedTerm = object.at("fencedTerm").to_number<uint64_t>();
    status.role = object.at("isPrimary").as_bool() ? Role::Primary : Role::Replica;
    status.log = readLog(object.at("log"));
    status.primary = readText(object.at("primary"));
    status.primaryContactAge = milliseconds(object.at("heardAgoMs").to_number<int64_t>());
    status.canFence = object.at("fence").as_bool();
    return { line.at("member").to_number<size_t>(), std::move(status), readTime(line.at("askedUs")) };
}

static PiggybackedStatusReceived readPiggybackedStatus(const json::object& line)
{
    PiggybackedStatus piggybacked { line.at("term").to_number<uint64_t>(), line.at("fencedTerm").to_number<uint64_t>(), { line.at("logTerm").to_number<uint64_t>(), line.at("position").to_number<uint64_t>() } };
    return { line.at("member").to_number<size_t>(), piggybacked, readTime(line.at("askedUs")) };
}

static FenceAnswered readFence(const json::object& line)
{
    FenceAnswered event { line.at("term").to_number<uint64_t>(), line.at("member").to_number<size_t>(), {} };
    if (auto* answer = line.if_contains("answer"))
        event.answer = FenceAnswer { answer->at("granted").as_bool(), answer->at("fencedTerm").to_number<uint64_t>(), readLog(answer->at("log")) };
    return event;
}

static GroupEvent readEvent(const json::object& line)
{
    auto name = readText(line.at("event"));
    if (name == "role")
        return readGroupConfiguration(line);
    if (name == "began")
        return ServingStarted {};
    if (name == "status")
        return readStatus(line);
    if (name == "glimpse")
        return readPiggybackedStatus(line);
    if (name == "failed")
        return ProbeFailed { line.at("member").to_number<size_t>(), line.at("refused").as_bool(), readTime(line.at("askedUs")) };
    if (name == "tick")
        return FailoverEvent { Tick {} };
    if (name == "claim")
        return FailoverEvent { ClaimAnswered { line.at("term").to_number<uint64_t>(), static_cast<ClaimOutcome>(line.at("outcome").to_number<unsigned>()), line.at("storedTerm").to_number<uint64_t>() } };
    if (name == "fence")
        return FailoverEvent { readFence(line) };
    if (name == "promote")
        return FailoverEvent { PromoteAnswered { line.at("term").to_number<uint64_t>(), line.at("done").as_bool() } };
    throw std::runtime_error("unknown event: " + name);
}

static TraceEntry readEntry(const std::string& text)
{
    auto value = json::parse(text);
    auto& line = value.as_object();
    TraceEntry entry { readTime(line.at("atUs")), readEvent(line), {} };
    if (auto* actions = line.if_contains("actions")) {
        for (auto& it : actions->as_array())
            entry.actions.push_back(readText(it));
    }
    return entry;
}

tl::expected<std::vector<TraceEntry>, std::string> parseTrace(const std::string& text)
{
    std::vector<TraceEntry> entries;
    size_t number = 0;
    for (size_t at = 0; at < text.size();) {
        auto end = std::min(text.find('\n', at), text.size());
        auto line = text.substr(at, end - at);
        at = end + 1;
        ++number;
        if (line.empty())
            continue;
        try {
            entries.push_back(readEntry(line));
        } catch (const std::exception& error) {
            return tl::make_unexpected(fmt::format("line {}: {}", number, error.what()));
        }
    }
    return entries;
}

// ---- replay ----

ReplayResult replayTrace(const std::vector<TraceEntry>& entries)
{
    ReplayResult result;
    for (size_t i = 0; i < entries.size(); ++i) {
        auto step = stepGroup(std::move(result.state), entries[i].event, entries[i].now);
        result.state = std::move(step.state);
        std::vector<std::string> actions;
        for (auto& it : step.actions)
            actions.push_back(formatAction(it, result.state.record));
        if (result.firstDifference.empty() && actions != entries[i].actions)
            result.firstDifference = fmt::format("entry {}: recorded [{}], now [{}]", i + 1, fmt::join(entries[i].actions, "; "), fmt::join(actions, "; "));
        std::ranges::move(actions, std::back_inserter(result.actions));
    }
    return result;
}

}
