#include "base/families.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <mutex>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace alderward::base {

namespace {

constexpr std::array kRows {
    FamilyRow { Family::Statements, "alderward_statements_total", FamilyType::Counter, "database,kind,outcome", "callers' statements by outcome" },
    FamilyRow { Family::StatementSeconds, "alderward_statement_seconds", FamilyType::Histogram, "database,kind", "from a statement's arrival to its answer" },
    FamilyRow { Family::QueueSeconds, "alderward_queue_seconds", FamilyType::Histogram, "member", "from an order's arrival at its carrier until it is sent" },
    FamilyRow { Family::TargetSeconds, "alderward_target_seconds", FamilyType::Histogram, "member", "from sending a statement to a target until its answer" },
    FamilyRow { Family::ConnectionsOpened, "alderward_connections_opened_total", FamilyType::Counter, "member,result", "connections to targets that were tried" },
    FamilyRow { Family::ConnectionsClosed, "alderward_connections_closed_total", FamilyType::Counter, "member", "connections to targets that ended" },
    FamilyRow { Family::ConnectionsGivenUp, "alderward_connections_given_up_total", FamilyType::Counter, "member", "connections of one client account closed to make room for one of another" },
    FamilyRow { Family::QuotaRefused, "alderward_quota_refused_total", FamilyType::Counter, "reason", "operations of client accounts refused because of their quotas" },
    FamilyRow { Family::StoreCalls, "alderward_store_calls_total", FamilyType::Counter, "call,result", "calls to the platform's store" },
    FamilyRow { Family::StoreSeconds, "alderward_store_seconds", FamilyType::Histogram, "call", "calls to the platform's store, watches apart" },
    FamilyRow { Family::EntriesRefused, "alderward_entries_refused_total", FamilyType::Counter, "result", "entries in the store that could not be used: members, hosts, successions" },
    FamilyRow { Family::PromotionOrders, "alderward_promotion_orders_total", FamilyType::Counter, "group,result", "orders to make a member the primary" },
    FamilyRow { Family::HostChanges, "alderward_host_changes_total", FamilyType::Counter, "peer,change", "other hosts lost and regained" },
    FamilyRow { Family::PoolConnections, "alderward_pool_connections", FamilyType::Gauge, "member", "open connections to a target" },
    FamilyRow { Family::PoolWaiting, "alderward_pool_waiting", FamilyType::Gauge, "member", "orders that wait for a turn" },
    FamilyRow { Family::PoolRunning, "alderward_pool_running", FamilyType::Gauge, "member", "orders at the target" },
    FamilyRow { Family::FloorAge, "alderward_floor_age_seconds", FamilyType::Gauge, "group", "age of the newest floor for reads" },
    FamilyRow { Family::Term, "alderward_term", FamilyType::Gauge, "group", "newest term that was heard of" },
    FamilyRow { Family::LeavingPrimary, "alderward_leaving_primary_seconds", FamilyType::Gauge, "group", "how long this host has known that the group's primary leaves; no value: it does not" },
    FamilyRow { Family::ConfigurationVersion, "alderward_configuration_version", FamilyType::Gauge, "", "version in force" },
    FamilyRow { Family::Sessions, "alderward_sessions", FamilyType::Gauge, "", "callers' sessions" },
    FamilyRow { Family::Ready, "alderward_ready", FamilyType::Gauge, "", "1 if this host takes callers" },
    FamilyRow { Family::InvariantViolations, "alderward_invariant_violations_total", FamilyType::Counter, "", "rules of the program itself that were found broken; any is a bug (event invariant-broken)" },
    FamilyRow { Family::LogLines, "alderward_log_lines", FamilyType::Gauge, "result", "log lines since the start, written and left out" },
    FamilyRow { Family::ResidentBytes, "process_resident_memory_bytes", FamilyType::Gauge, "", "resident memory" },
    FamilyRow { Family::CpuSeconds, "process_cpu_seconds", FamilyType::Gauge, "", "processor time since the start" },
};

// Seconds. From an answer within a data centre to a caller's longest deadline, each about twice the one before.
constexpr std::array kBuckets { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0 };

struct Series {
    double value { 0 }; // counter and gauge; histogram: sum
    uint64_t count { 0 };
    std::vector<uint64_t> buckets;
};

struct Store {
    std::mutex mutex;
    std::array<std::map<std::string, Series>, static_cast<size_t>(Family::Count)> series;
};

Store& getStore()
{
    static Store store;
    return store;
}

std::string escape(std::string_view value)
{
    std::string escaped;
    for (char c : value) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        if (c != '\n')
            escaped += c;
    }
    return escaped;
}

std::string formatLabels(std::initializer_list<Label> labels)
{
    std::string text;
    for (auto& it : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", it.name, escape(it.value));
    return text;
}

Series& find(Store& store, Family family, std::initializer_list<Label> labels)
{
    return store.series[static_cast<size_t>(family)][formatLabels(labels)];
}

std::string brace(const std::string& labels, const std::string& more = {})
{
    auto joined = labels + (labels.empty() || more.empty() ? "" : ",") + more;
    return joined.empty() ? "" : "{" + joined + "}";
}

void formatHistogram(std::string& text, const FamilyRow& row, const std::string& labels, const Series& series)
{
    for (size_t i = 0; i < kBuckets.size(); ++i)
        text += fmt::format("{}_bucket{} {}\n", row.name, brace(labels, fmt::format("le=\"{}\"", kBuckets[i])), series.buckets[i]);
    text += fmt::format("{}_bucket{} {}\n", row.name, brace(labels, "le=\"+Inf\""), series.count);
    text += fmt::format("{}_sum{} {}\n{}_count{} {}\n", row.name, brace(labels), series.value, row.name, brace(labels), series.count);
}

}

std::span<const FamilyRow> getFamilies()
{
    return kRows;
}

void addTo(Family family, std::initializer_list<Label> labels, double n)
{
    auto& store = getStore();
    std::lock_guard lock(store.mutex);
    find(store, family, labels).value += n;
}

void setTo(Family family, std::initializer_list<Label> labels, double value)
{
    auto& store = getStore();
    std::lock_guard lock(store.mutex);
    find(store, family, labels).value = value;
}

void clear(Family family)
{
    auto& store = getStore();
    std::lock_guard lock(store.mutex);
    store.series[static_cast<size_t>(family)].clear();
}

void observe(Family family, std::initializer_list<Label> labels, double seconds)
{
    auto& store = getStore();
    std::lock_guard lock(store.mutex);
    auto& series = find(store, family, labels);
    series.buckets.resize(kBuckets.size());
    series.value += seconds;
    ++series.count;
    for (size_t i = 0; i < kBuckets.size(); ++i)
        series.buckets[i] += seconds <= kBuckets[i] ? 1 : 0;
}

void measureProcess()
{
    std::ifstream file("/proc/self/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    setTo(Family::ResidentBytes, {}, static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)));
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        auto seconds = [](const timeval& it) { return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6; };
        setTo(Family::CpuSeconds, {}, seconds(usage.ru_utime) + seconds(usage.ru_stime));
    }
}

std::string formatFamilies()
{
    auto& store = getStore();
    std::lock_guard lock(store.mutex);
    std::string text;
    static constexpr std::array types { "counter", "gauge", "histogram" };
    for (auto& row : kRows) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", row.name, row.help, row.name, types[static_cast<size_t>(row.type)]);
        for (auto& [labels, series] : store.series[static_cast<size_t>(row.family)]) {
            if (row.type == FamilyType::Histogram)
                formatHistogram(text, row, labels, series);
            else
                text += fmt::format("{}{} {}\n", row.name, brace(labels), series.value);
        }
    }
    return text;
}

}
