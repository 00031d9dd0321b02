// alderctl explain and timeline over log files: the hosts' lines in one order, and the story of one request.
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

// Beliefs of a host that bear on its requests; the newest of each kind, and of each subject, was in force.
static const std::set<std::string> kStateEvents { "configuration", "lead", "readiness", "store-lost", "store-regained", "succession", "stop-begins", "start" };
// What happened to a request's group around it, on any host.
static const std::set<std::string> kGroupEvents { "target-trouble", "promotion-considered", "primary-examined", "promotion-ordered", "promotion-held-back", "promotion-ended", "member", "member-unlisted" };
static constexpr double kWindowBeforeMs = 5000; // before the request's last line
static constexpr double kWindowAfterMs = 500; // behind it: hosts' clocks differ

struct Line {
    std::string wall; // sorts as text
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
    auto begin = text.find('{'); // a collector may have put its own words before
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

// A process's lines are placed by its monotonic clock, counted from the wall time of its first line: wall clocks jump, and a monotonic
// clock starts anew with its machine.
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
            fmt::print(stderr, "{}: cannot be opened\n", path);
        readAll(file);
    }
    if (paths.empty())
        readAll(std::cin);
    std::map<std::string, Line> firstLines; // by host: the first line of the process that runs now
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

int explainRequest(const std::string& id, const std::vector<std::string>& paths)
{
    auto lines = readLines(paths);
    auto isRequestLine = [&](const Line& it) { return getText(it.fields, "request") == id; };
    auto found = std::ranges::find_if(lines, isRequestLine);
    if (found == lines.end()) {
        fmt::print("no line about {}; served requests are left out first when lines are over budget (lines-left-out says how many)\n", id);
        return kExitFailed;
    }
    auto group = getText(found->fields, "group");
    std::map<std::string, Line> stateEvents; // by event and subject
    for (auto it = lines.begin(); it != found; ++it) {
        bool concernsGroup = !it->fields.contains("group") || getText(it->fields, "group") == group;
        if (it->host == found->host && kStateEvents.contains(it->event) && concernsGroup)
            stateEvents[it->event.starts_with("store-") ? "store" : it->event] = *it;
    }
    fmt::print("what {} believed when it was decided:\n", found->host);
    for (auto& [kind, line] : stateEvents)
        print(line);
    fmt::print("\nwhat happened to group {} around it, on all hosts:\n", group);
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
