// alderctl accounts: adds up the documents at GET /accounts of several hosts.
#include "ctl/commands.h"
#include "ctl/fetch.h"
#include "links/json_fields.h"
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <map>

namespace alderward::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// One row of the table: an account at one host, or the sums over hosts.
struct Row {
    uint64_t hosts { 0 };
    uint64_t asked { 0 };
    uint64_t begun { 0 };
    uint64_t granted { 0 };
    uint64_t returned { 0 };
    uint64_t connections { 0 };
    uint64_t waiting { 0 };
    uint64_t running { 0 };
    std::map<int, uint64_t> refusedByPriority {};
    std::map<std::string, uint64_t> refusedByReason {};
    double level { 0 };
    double capacity { 0 };
    double pace { 0 };
    std::map<int, double> askedPerSecond {};
    bool isStrict { false };
    bool isContended { false };
    std::vector<std::string> quotaServers {}; // with the age of the newest report
};

}

static double getDouble(const json::object& object, std::string_view name)
{
    auto* value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<double>() : 0;
}

// Returns an empty object if the field is missing.
static const json::object& getObject(const json::object& object, std::string_view name)
{
    static const json::object empty;
    auto* value = object.if_contains(name);
    return value && value->is_object() ? value->get_object() : empty;
}

static void addBucket(Row& row, const std::string& host, const json::object& bucket)
{
    row.level += getDouble(bucket, "level");
    row.capacity += getDouble(bucket, "capacity");
    row.pace += getDouble(bucket, "pace");
    row.isStrict = row.isStrict || links::getBool(bucket, "strict");
    row.isContended = row.isContended || links::getBool(bucket, "contended");
    for (auto& it : getObject(bucket, "askedPerSecond"))
        row.askedPerSecond[std::atoi(std::string(it.key()).c_str())] += it.value().is_number() ? it.value().to_number<double>() : 0;
    row.quotaServers.push_back(fmt::format("{} ({} hosts, {} ms)", host, links::getNumber(bucket, "reportingHosts"), links::getNumber(bucket, "reportAgeMs")));
}

static void addAccount(Row& row, const std::string& host, const json::object& account)
{
    ++row.hosts;
    auto& counts = getObject(account, "counts");
    row.asked += links::getNumber(counts, "asked");
    row.begun += links::getNumber(counts, "begun");
    row.granted += links::getNumber(counts, "granted");
    row.returned += links::getNumber(counts, "returned");
    auto* refused = counts.if_contains("refused");
    for (auto& it : refused && refused->is_array() ? refused->get_array() : json::array()) {
        if (!it.is_object())
            continue;
        auto count = links::getNumber(it.get_object(), "count");
        row.refusedByPriority[static_cast<int>(getDouble(it.get_object(), "priority"))] += count;
        row.refusedByReason[links::getString(it.get_object(), "reason")] += count;
    }
    for (auto& it : getObject(account, "pools")) {
        if (!it.value().is_object())
            continue;
        row.connections += links::getNumber(it.value().get_object(), "connections");
        row.waiting += links::getNumber(it.value().get_object(), "waiting");
        row.running += links::getNumber(it.value().get_object(), "running");
    }
    if (auto& bucket = getObject(account, "quotaServer"); !bucket.empty())
        addBucket(row, host, bucket);
}

template <typename T>
static std::string formatByPriority(const std::map<int, T>& values, const char* format)
{
    std::vector<std::string> parts;
    for (auto& [priority, value] : values)
        parts.push_back(fmt::format("{}:", priority) + fmt::format(fmt::runtime(format), value));
    return parts.empty() ? "-" : fmt::format("{}", fmt::join(parts, " "));
}

static void printRow(const std::string& name, const Row& row)
{
    bool hasBucket = !row.quotaServers.empty();
    auto state = !hasBucket ? "-" : row.isContended ? "contended"
        : row.isStrict                              ? "strict"
                                                    : "ok";
    fmt::print("{:<28} {:>5} {:>9} {:>9} {:>9} {:>9} {:>5} {:>5} {:>5} {:>8} {:>8} {:>8} {:<9} {:<20} {:<20} {}\n", name, row.hosts, row.asked, row.begun, row.granted, row.returned, row.connections, row.waiting, row.running,
        hasBucket ? fmt::format("{:.1f}", row.level) : "-", hasBucket ? fmt::format("{:.1f}", row.capacity) : "-", hasBucket ? fmt::format("{:.1f}", row.pace) : "-", state, formatByPriority(row.askedPerSecond, "{:.1f}"),
        formatByPriority(row.refusedByPriority, "{}"), hasBucket ? fmt::format("{}", fmt::join(row.quotaServers, ", ")) : "-");
    for (auto& [reason, count] : row.refusedByReason)
        fmt::print("  refused {} times: {}\n", count, reason);
}

asio::awaitable<int> showAccounts(Options options)
{
    std::vector<std::string> addresses(options.arguments.begin() + 1, options.arguments.end());
    auto documents = co_await fetchDocuments(addresses, "/accounts");
    std::map<std::string, Row> sums; // by account
    std::map<std::string, Row> hosts; // of options.onlyAccount, by host
    for (auto& [address, document] : documents) {
        if (!document)
            continue;
        auto host = links::getString(*document, "host");
        for (auto& it : getObject(*document, "accounts")) {
            bool isWanted = options.onlyAccount.empty() || it.key() == options.onlyAccount;
            if (!isWanted || !it.value().is_object())
                continue;
            addAccount(sums[std::string(it.key())], host, it.value().get_object());
            if (!options.onlyAccount.empty())
                addAccount(hosts[host], host, it.value().get_object());
        }
    }
    fmt::print("{:<28} {:>5} {:>9} {:>9} {:>9} {:>9} {:>5} {:>5} {:>5} {:>8} {:>8} {:>8} {:<9} {:<20} {:<20} {}\n", "account", "hosts", "asked", "begun", "granted", "returned", "conns", "wait", "run", "level", "capacity", "pace/s", "state", "asked/s by priority", "refused by priority", "quota server (hosts that report, newest report)");
    for (auto& [account, row] : sums)
        printRow(account, row);
    for (auto& [host, row] : hosts)
        printRow("  at " + host, row);
    co_return printAnswered(documents);
}

}
