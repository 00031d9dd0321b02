// alderctl explain and timeline over log files: merges the log lines of several hosts and explains one request.
#include "ctl/commands.h"
#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>

namespace alderward::ctl {

namespace json = boost::json;

// Events that change the state by which a host serves requests. The last one of each kind before a request
// tells the state at that request.
static const std::set<std::string> kStateEvents { "configuration", "lead", "readiness", "store-lost", "store-regained", "succession", "stop-begins", "start" };
// Events of a group, on any host, that may explain the outcome of a request.
static const std::set<std::string> kGroupEvents { "target-trouble", "promotion-considered", "primary-examined", "promotion-ordered", "promotion-held-back", "promotion-ended", "member", "member-unlisted" };
static constexpr double kWindowBeforeMs = 5000; // before the request's first line
static constexpr double kWindowAfterMs = 500; // after it: hosts' clocks differ

struct Line {
    std::string wall; // as logged
    double wallMs { 0 };
    double steadyMs { 0 };
    std::string host;
    std::string event;
    json::object fields;
};

static std::string getText(const json::object& object, std::string_view name)
{
    auto* found = object.if_contains(name);
    if (!found)
        return "";
    return found->is_string() ? std::string(found->as_string()) : json::serialize(*found);
}

static std::optional<Line> readLine(const std::string& text)
{
    boost::system::error_code ec;
    auto begin = text.find('{'); // a log collector may have added a prefix
    if (begin == std::string::npos)
        return std::nullopt;
    auto value = json::parse(text.substr(begin), ec);
    if (ec || !value.is_object() || !value.as_object().contains("event") || !value.as_object().contains("wall"))
        return std::nullopt;
    Line line;
    line.fields = value.as_object();
    line.wall = getText(line.fields, "wall");
    line.host = getText(line.fields, "host");
    line.event = getText(line.fields, "event");
    line.steadyMs = line.fields.contains("t") ? line.fields.at("t").to_number<double>() : 0;
    int hours = 0;
    int minutes = 0;
    double seconds = 0;
    if (line.wall.size() > 11 && std::sscanf(line.wall.c_str() + 11, "%d:%d:%lf", &hours, &minutes, &seconds) == 3)
        line.wallMs = ((hours * 60 + minutes) * 60 + seconds) * 1000;
    return line;
}

// Orders lines by the wall time of their process's first line plus the monotonic time since: wall clocks jump, and monotonic clocks
// of different machines are not comparable.
static std::vector<Line> readLines(const std::vector<std::string>& paths)
{
    std::vector<Line> lines;
    auto readAll = [&](std::istream& stream) {
        for (std::string text; std::getline(stream, text);) {
            if (auto line = readLine(text))
                lines.push_back(std::move(*line));
        }
    };
    for (auto& path : paths) {
        std::ifstream file(path);
        if (!file)
            fmt::print(stderr, "{}: cannot open file\n", path);
        readAll(file);
    }
    if (paths.empty())
        readAll(std::cin);
    std::map<std::string, Line> firstLines; // by host: the first line of its current process
    for (auto& it : lines) {
        auto& first = firstLines[it.host];
        if (first.host.empty() || it.event == "start" || it.steadyMs < first.steadyMs)
            first = it;
        it.wallMs = first.wallMs + it.steadyMs - first.steadyMs;
    }
    std::ranges::stable_sort(lines, {}, &Line::wallMs);
    return lines;
}

static void print(const Line& line)
{
    std::string fieldsText;
    for (auto& it : line.fields) {
        auto isColumn = it.key() == "t" || it.key() == "wall" || it.key() == "host" || it.key() == "event";
        if (!isColumn)
            fieldsText += fmt::format(" {}={}", std::string(it.key()), getText(line.fields, it.key()));
    }
    fmt::print("{} {:<22} {}{}\n", line.wall, line.host, line.event, fieldsText);
}

static bool namesAccount(const Line& line, const std::string& account)
{
    return (" " + getText(line.fields, "accounts") + " ").find(" " + account + " ") != std::string::npos;
}

// Prints why the quota refused the request, and the state of the quota server at that time.
static void printQuotaRefusal(const std::vector<Line>& lines, const Line& request)
{
    auto account = getText(request.fields, "account");
    auto level = getText(request.fields, "quota_level");
    fmt::print("\nrefused by the quota of account {}: {}\n  priority {}, level of the bucket at the quota server {}, retry after {} ms\n", account, getText(request.fields, "reason"), getText(request.fields, "priority"),
        level.empty() ? "unknown" : level, getText(request.fields, "retry_after_ms"));
    std::map<std::string, Line> last; // by event
    for (auto& it : lines) {
        bool isLease = it.host == request.host && (it.event == "quota-lease" || it.event == "quota-lease-lost");
        bool isStrict = it.event == "quota-strict" && namesAccount(it, account);
        if (it.wallMs <= request.wallMs && (isLease || isStrict))
            last[isLease ? "lease/" + getText(it.fields, "shard") : it.event] = it;
    }
    for (auto& [kind, line] : last)
        print(line);
}

int explainRequest(const std::string& id, const std::vector<std::string>& paths)
{
    auto lines = readLines(paths);
    auto isRequestLine = [&](const Line& it) { return getText(it.fields, "request") == id; };
    auto found = std::ranges::find_if(lines, isRequestLine);
    if (found == lines.end()) {
        fmt::print("no log line about {}; lines of served requests are dropped first when the log exceeds its rate limit (see events lines-left-out)\n", id);
        return kExitFailed;
    }
    auto group = getText(found->fields, "group");
    std::map<std::string, Line> stateEvents; // by event
    for (auto it = lines.begin(); it != found; ++it) {
        bool concernsGroup = !it->fields.contains("group") || getText(it->fields, "group") == group;
        if (it->host == found->host && kStateEvents.contains(it->event) && concernsGroup)
            stateEvents[it->event.starts_with("store-") ? "store" : it->event] = *it;
    }
    fmt::print("state of {} at the request:\n", found->host);
    for (auto& [kind, line] : stateEvents)
        print(line);
    fmt::print("\nevents of group {} near the request, on all hosts:\n", group);
    for (auto& it : lines) {
        bool isInWindow = it.wallMs >= found->wallMs - kWindowBeforeMs && it.wallMs <= found->wallMs + kWindowAfterMs;
        bool concernsGroup = getText(it.fields, "group") == group || it.event == "member-unlisted";
        if (isInWindow && concernsGroup && (kGroupEvents.contains(it.event) || it.event == "lead"))
            print(it);
    }
    fmt::print("\nthe request:\n");
    for (auto& it : lines) {
        if (isRequestLine(it))
            print(it);
    }
    for (auto& it : lines) {
        if (isRequestLine(it) && getText(it.fields, "outcome") == "quota-exceeded")
            printQuotaRefusal(lines, it);
    }
    return kExitSuccess;
}

int showLogTimeline(const std::vector<std::string>& paths, const std::string& onlyGroup, const std::string& onlyHost)
{
    for (auto& it : readLines(paths)) {
        bool isWanted = (onlyGroup.empty() || getText(it.fields, "group") == onlyGroup) && (onlyHost.empty() || it.host == onlyHost);
        if (isWanted && it.event != "request")
            print(it);
    }
    return kExitSuccess;
}

}
