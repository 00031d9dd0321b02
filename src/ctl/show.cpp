// alderctl status, timeline and replay.
#include "base/timeline.h"
#include "ctl/commands.h"
#include "ctl/fetch.h"
#include "decisions/records.h"
#include "decisions/trace.h"
#include "links/http.h"
#include "links/json_fields.h"
#include <boost/asio/this_coro.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fstream>

namespace alderward::ctl {

namespace asio = boost::asio;
namespace json = boost::json;
using base::Clock;
using base::milliseconds;

static constexpr milliseconds kCallTimeout { 2000 };

// A host named by the operator takes precedence, because the platform's list can be outdated or unreachable.
asio::awaitable<std::vector<std::string>> findHosts(const Options& options)
{
    std::vector<std::string> addresses;
    if (!options.hostAddress.empty()) {
        auto status = co_await fetchJson(options.hostAddress, "/status", Clock::now() + kCallTimeout);
        if (!status)
            co_return addresses;
        for (auto& it : status->at("hosts").get_object()) {
            auto& host = it.value().get_object();
            auto state = links::getString(host, "state");
            if (state == "alive" || state == "suspect")
                addresses.push_back(links::getString(host, "operatorAddress"));
        }
        co_return addresses;
    }
    std::vector<std::string> prefixes(1, std::string(decisions::kHostListPrefix));
    auto list = co_await links::listValues(options.platform, prefixes, Clock::now() + kCallTimeout);
    if (!list)
        co_return addresses;
    for (auto& it : list->values) {
        auto host = decisions::parsePlatformHost(it.key, it.value);
        if (host && !host->isLeaving && !host->operatorAddress.empty())
            addresses.push_back(host->operatorAddress);
    }
    co_return addresses;
}

static void printMember(const json::object& member)
{
    auto* age = member.if_contains("ageMs");
    auto ageText = age && age->is_int64() ? fmt::format("{} ms", age->get_int64()) : std::string("unknown");
    fmt::print("    {:<10} {:<8} {:<11} term {} fenced {} position {} age {} connections {} limit {}\n", links::getString(member, "member"),
        links::getString(member, "role"), links::getBool(member, "reachable") ? "reachable" : "unreachable", links::getNumber(member, "term"),
        links::getNumber(member, "fencedTerm"), links::getNumber(member, "position"), ageText, links::getNumber(member, "connections"), links::getNumber(member, "inFlightLimit"));
}

static void printGroup(const std::string& name, const json::object& group)
{
    std::string homes;
    for (auto& it : group.at("homes").get_array())
        homes += std::string(it.get_string()) + " ";
    fmt::print("  group {} version {} homes {}\n", name, links::getNumber(group, "version"), homes);
    if (!group.contains("members"))
        return;
    auto primary = links::getString(group, "primary");
    fmt::print("    term {} primary {} failover {} {}\n", links::getNumber(group, "term"), primary.empty() ? "none" : primary, links::getString(group, "failover"), links::getString(group, "heldBack"));
    for (auto& it : group.at("members").get_array())
        printMember(it.get_object());
}

asio::awaitable<int> showStatus(Options options)
{
    auto hosts = co_await findHosts(options);
    int code = hosts.empty() ? kExitFailed : kExitSuccess;
    for (auto& address : hosts) {
        auto status = co_await fetchJson(address, "/status", Clock::now() + kCallTimeout);
        if (!status) {
            fmt::print("host at {} does not answer\n", address);
            code = kExitFailed;
            continue;
        }
        fmt::print("host {} data centre {} {}{}\n", links::getString(*status, "host"), links::getString(*status, "dataCentre"), links::getString(*status, "state"), links::getBool(*status, "isWatcher") ? ", watcher" : "");
        for (auto& it : status->at("groups").get_object()) {
            if (options.onlyGroup.empty() || options.onlyGroup == it.key())
                printGroup(it.key(), it.value().get_object());
        }
        for (auto& it : status->at("refusedRecords").get_object())
            fmt::print("  record {} refused: {}\n", std::string(it.key()), links::getString(it.value().get_object(), "problem"));
    }
    co_return code;
}

static bool isWanted(const Options& options, const base::Event& event)
{
    bool matchesGroup = options.onlyGroup.empty() || event.group == options.onlyGroup;
    bool matchesHost = options.onlyHost.empty() || event.host == options.onlyHost;
    return matchesGroup && matchesHost;
}

asio::awaitable<int> showTimeline(Options options)
{
    std::vector<base::Event> events;
    auto hosts = co_await findHosts(options);
    for (auto& address : hosts) {
        auto body = co_await fetchJson(address, "/timeline", Clock::now() + kCallTimeout);
        if (!body) {
            fmt::print(stderr, "host at {} does not answer\n", address);
            continue;
        }
        for (auto& it : body->at("events").get_array()) {
            auto& object = it.get_object();
            events.push_back({ links::getNumber(object, "stamp"), links::getString(object, "host"), links::getString(object, "group"), links::getString(object, "kind"), links::getString(object, "cause") });
        }
    }
    for (auto& it : base::mergeEvents(std::move(events))) {
        if (!isWanted(options, it))
            continue;
        auto wall = static_cast<time_t>(base::getWallMs(it.stamp) / 1000);
        fmt::print("{:%H:%M:%S}.{:03}+{} {:<6} {:<10} {:<20} {}\n", fmt::gmtime(wall), base::getWallMs(it.stamp) % 1000, it.stamp & 0xffff, it.host, it.group.empty() ? "-" : it.group, it.kind, it.cause);
    }
    co_return hosts.empty() ? kExitFailed : kExitSuccess;
}

int replayFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "{}: cannot open file\n", path);
        return kExitFailed;
    }
    std::string text(std::istreambuf_iterator<char>(file), {});
    auto trace = decisions::parseTrace(text);
    if (!trace) {
        fmt::print(stderr, "{}: {}\n", path, trace.error());
        return kExitInvalid;
    }
    auto replay = decisions::replayTrace(*trace);
    for (auto& it : replay.actions)
        fmt::print("{}\n", it);
    if (replay.firstDifference.empty())
        return kExitSuccess;
    fmt::print(stderr, "decisions of this version differ from the recorded trace: {}\n", replay.firstDifference);
    return kExitFailed;
}

asio::awaitable<int> runCommand(Options options)
{
    auto& command = options.arguments.front();
    if (command == "config")
        co_return co_await runConfig(std::move(options));
    if (command == "status" && options.arguments.size() == 1)
        co_return co_await showStatus(std::move(options));
    if (command == "accounts" && options.arguments.size() >= 2)
        co_return co_await showAccounts(std::move(options));
    if (command == "configuration" && options.arguments.size() >= 2)
        co_return co_await showConfiguration(std::move(options));
    if (command == "explain" && options.arguments.size() >= 2)
        co_return explainRequest(options.arguments[1], { options.arguments.begin() + 2, options.arguments.end() });
    if (command == "timeline" && options.arguments.size() > 1)
        co_return showLogTimeline({ options.arguments.begin() + 1, options.arguments.end() }, options.onlyGroup, options.onlyHost);
    if (command == "timeline" && options.arguments.size() == 1)
        co_return co_await showTimeline(std::move(options));
    if (command == "replay" && options.arguments.size() == 2)
        co_return replayFile(options.arguments[1]);
    co_return kExitUsage;
}

}
