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

constexpr std::array kFamilies {
    MetricFamilyInfo { MetricFamily::Statements, "alderward_statements_total", MetricType::Counter, "database,kind,outcome", "callers' statements by outcome" },
    MetricFamilyInfo { MetricFamily::StatementSeconds, "alderward_statement_seconds", MetricType::Histogram, "database,kind", "from a statement's arrival to its answer" },
    MetricFamilyInfo { MetricFamily::QueueSeconds, "alderward_queue_seconds", MetricType::Histogram, "member", "from an order's arrival at its carrier until it is sent" },
    MetricFamilyInfo { MetricFamily::TargetSeconds, "alderward_target_seconds", MetricType::Histogram, "member", "from sending a statement to a target until its answer" },
    MetricFamilyInfo { MetricFamily::ConnectionsOpened, "alderward_connections_opened_total", MetricType::Counter, "member,result", "connections to targets that were tried" },
    MetricFamilyInfo { MetricFamily::ConnectionsClosed, "alderward_connections_closed_total", MetricType::Counter, "member", "connections to targets that ended" },
    MetricFamilyInfo { MetricFamily::ConnectionsEvicted, "alderward_connections_given_up_total", MetricType::Counter, "member", "connections of one client account closed to make room for one of another" },
    MetricFamilyInfo { MetricFamily::SessionSetups, "alderward_session_setups_total", MetricType::Counter, "member,result", "statements by whether their connection first had to be given their session's variables or prepared statement: not-needed, accepted, failed" },
    MetricFamilyInfo { MetricFamily::QuotaRefused, "alderward_quota_refused_total", MetricType::Counter, "reason,priority", "operations of client accounts refused because of their quotas" },
    MetricFamilyInfo { MetricFamily::QuotaLevel, "alderward_quota_level", MetricType::Gauge, "account", "on a quota server: tokens in the account's bucket" },
    MetricFamilyInfo { MetricFamily::QuotaGrants, "alderward_quota_grants_total", MetricType::Counter, "result", "on a quota server: decisions on requests for grants" },
    MetricFamilyInfo { MetricFamily::AccountRefused, "alderward_account_refused_total", MetricType::Counter, "member,reason", "statements that a member's queue refused, where connections belong to client accounts" },
    MetricFamilyInfo { MetricFamily::Abandoned, "alderward_abandoned_total", MetricType::Counter, "stage", "statements whose caller, or whose caller's host, disconnected, by where they were" },
    MetricFamilyInfo { MetricFamily::StoreCalls, "alderward_store_calls_total", MetricType::Counter, "call,result", "calls to the platform's store" },
    MetricFamilyInfo { MetricFamily::StoreSeconds, "alderward_store_seconds", MetricType::Histogram, "call", "calls to the platform's store, watches apart" },
    MetricFamilyInfo { MetricFamily::EntriesRefused, "alderward_entries_refused_total", MetricType::Counter, "result", "entries in the store that could not be used: members, hosts, successions" },
    MetricFamilyInfo { MetricFamily::TaskFailures, "alderward_task_failures_total", MetricType::Counter, "task", "background tasks that ended by an exception, started again if they are loops; any is a bug (event task-failed)" },
    MetricFamilyInfo { MetricFamily::PromotionOrders, "alderward_promotion_orders_total", MetricType::Counter, "group,result", "orders to make a member the primary" },
    MetricFamilyInfo { MetricFamily::ReplicationChanges, "alderward_replication_changes_total", MetricType::Counter, "group,change,result", "replicas suspended or resumed around promotion orders" },
    MetricFamilyInfo { MetricFamily::CommitConfirmations, "alderward_commit_confirmations_total", MetricType::Counter, "group,result", "commits whose answers were kept back for a member that may be promoted: confirmed, in-doubt" },
    MetricFamilyInfo { MetricFamily::HostChanges, "alderward_host_changes_total", MetricType::Counter, "peer,change", "other hosts lost and regained" },
    MetricFamilyInfo { MetricFamily::PoolConnections, "alderward_pool_connections", MetricType::Gauge, "member", "open connections to a target" },
    MetricFamilyInfo { MetricFamily::PoolWaiting, "alderward_pool_waiting", MetricType::Gauge, "member", "orders that wait for a turn" },
    MetricFamilyInfo { MetricFamily::PoolRunning, "alderward_pool_running", MetricType::Gauge, "member", "orders at the target" },
    MetricFamilyInfo { MetricFamily::FloorAge, "alderward_floor_age_seconds", MetricType::Gauge, "group", "age of the newest floor for reads" },
    MetricFamilyInfo { MetricFamily::Term, "alderward_term", MetricType::Gauge, "group", "newest term that was heard of" },
    MetricFamilyInfo { MetricFamily::LeavingPrimary, "alderward_leaving_primary_seconds", MetricType::Gauge, "group", "how long this host has known that the group's primary leaves; no value: it does not" },
    MetricFamilyInfo { MetricFamily::ConfigurationVersion, "alderward_configuration_version", MetricType::Gauge, "", "version in force" },
    MetricFamilyInfo { MetricFamily::ConfigurationProblems, "alderward_configuration_problems", MetricType::Gauge, "use", "fields of the version in force that are not in force as written: left-out, restricted, limited" },
    MetricFamilyInfo { MetricFamily::ConfigurationRefused, "alderward_configuration_refused_seconds", MetricType::Gauge, "", "how long the newest configuration in the store has been one that cannot be read as a whole; 0: it can" },
    MetricFamilyInfo { MetricFamily::Sessions, "alderward_sessions", MetricType::Gauge, "", "callers' sessions" },
    MetricFamilyInfo { MetricFamily::Ready, "alderward_ready", MetricType::Gauge, "", "1 if this host takes callers" },
    MetricFamilyInfo { MetricFamily::InvariantViolations, "alderward_invariant_violations_total", MetricType::Counter, "", "rules of the program itself that were found broken; any is a bug (event invariant-broken)" },
    MetricFamilyInfo { MetricFamily::LogLines, "alderward_log_lines", MetricType::Gauge, "result", "log lines since the start, written and left out" },
    MetricFamilyInfo { MetricFamily::ResidentBytes, "process_resident_memory_bytes", MetricType::Gauge, "", "resident memory" },
    MetricFamilyInfo { MetricFamily::CpuSeconds, "process_cpu_seconds", MetricType::Gauge, "", "processor time since the start" },
};

// Upper bounds of the histogram buckets, in seconds.
constexpr std::array kBuckets { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0 };

struct Series {
    double value { 0 }; // counter, gauge: the value; histogram: the sum
    uint64_t count { 0 };
    std::vector<uint64_t> buckets;
};

struct MetricRegistry {
    std::mutex mutex;
    std::array<std::map<std::string, Series>, static_cast<size_t>(MetricFamily::Count)> series;
};

MetricRegistry& getRegistry()
{
    static MetricRegistry registry;
    return registry;
}

std::string escapeLabelValue(std::string_view value)
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
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", it.name, escapeLabelValue(it.value));
    return text;
}

Series& findOrAddSeries(MetricRegistry& registry, MetricFamily family, std::initializer_list<Label> labels)
{
    return registry.series[static_cast<size_t>(family)][formatLabels(labels)];
}

std::string formatLabelSet(const std::string& labels, const std::string& extraLabel = {})
{
    auto joined = labels + (labels.empty() || extraLabel.empty() ? "" : ",") + extraLabel;
    return joined.empty() ? "" : "{" + joined + "}";
}

void formatHistogram(std::string& text, const MetricFamilyInfo& row, const std::string& labels, const Series& series)
{
    for (size_t i = 0; i < kBuckets.size(); ++i)
        text += fmt::format("{}_bucket{} {}\n", row.name, formatLabelSet(labels, fmt::format("le=\"{}\"", kBuckets[i])), series.buckets[i]);
    text += fmt::format("{}_bucket{} {}\n", row.name, formatLabelSet(labels, "le=\"+Inf\""), series.count);
    text += fmt::format("{}_sum{} {}\n{}_count{} {}\n", row.name, formatLabelSet(labels), series.value, row.name, formatLabelSet(labels), series.count);
}

}

std::span<const MetricFamilyInfo> getMetricFamilies()
{
    return kFamilies;
}

void incrementCounter(MetricFamily family, std::initializer_list<Label> labels, double n)
{
    auto& registry = getRegistry();
    std::lock_guard lock(registry.mutex);
    findOrAddSeries(registry, family, labels).value += n;
}

void setGauge(MetricFamily family, std::initializer_list<Label> labels, double value)
{
    auto& registry = getRegistry();
    std::lock_guard lock(registry.mutex);
    findOrAddSeries(registry, family, labels).value = value;
}

void clearMetric(MetricFamily family)
{
    auto& registry = getRegistry();
    std::lock_guard lock(registry.mutex);
    registry.series[static_cast<size_t>(family)].clear();
}

void observeHistogram(MetricFamily family, std::initializer_list<Label> labels, double seconds)
{
    auto& registry = getRegistry();
    std::lock_guard lock(registry.mutex);
    auto& series = findOrAddSeries(registry, family, labels);
    series.buckets.resize(kBuckets.size());
    series.value += seconds;
    ++series.count;
    for (size_t i = 0; i < kBuckets.size(); ++i)
        series.buckets[i] += seconds <= kBuckets[i] ? 1 : 0;
}

void updateProcessMetrics()
{
    std::ifstream file("/proc/self/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    setGauge(MetricFamily::ResidentBytes, {}, static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)));
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        auto seconds = [](const timeval& it) { return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6; };
        setGauge(MetricFamily::CpuSeconds, {}, seconds(usage.ru_utime) + seconds(usage.ru_stime));
    }
}

std::string formatMetricFamilies()
{
    auto& registry = getRegistry();
    std::lock_guard lock(registry.mutex);
    std::string text;
    static constexpr std::array types { "counter", "gauge", "histogram" };
    for (auto& row : kFamilies) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", row.name, row.help, row.name, types[static_cast<size_t>(row.type)]);
        for (auto& [labels, series] : registry.series[static_cast<size_t>(row.family)]) {
            if (row.type == MetricType::Histogram)
                formatHistogram(text, row, labels, series);
            else
                text += fmt::format("{}{} {}\n", row.name, formatLabelSet(labels), series.value);
        }
    }
    return text;
}

}
