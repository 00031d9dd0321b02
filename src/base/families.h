// Labelled counters, gauges and histograms in the Prometheus text format. All families are listed in docs/METRICS.md; a test
// compares that page with the table. Histograms have fixed buckets because these can be summed over hosts; quantiles cannot.
#pragma once
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace alderward::base {

enum class MetricType { Counter,
    Gauge,
    Histogram };

enum class MetricFamily {
    Statements,
    StatementSeconds,
    QueueSeconds,
    TargetSeconds,
    ConnectionsOpened,
    ConnectionsClosed,
    ConnectionsEvicted,
    SessionSetups,
    QuotaRefused,
    QuotaLevel,
    QuotaGrants,
    AccountRefused,
    Abandoned,
    StoreCalls,
    StoreSeconds,
    EntriesRefused,
    TaskFailures,
    PromotionOrders,
    ReplicationChanges,
    CommitConfirmations,
    HostChanges,
    PoolConnections,
    PoolWaiting,
    PoolRunning,
    FloorAge,
    Term,
    LeavingPrimary,
    ConfigurationVersion,
    ConfigurationProblems,
    ConfigurationRefused,
    Sessions,
    Ready,
    InvariantViolations,
    LogLines,
    ResidentBytes,
    CpuSeconds,
    Count,
};

struct MetricFamilyInfo {
    MetricFamily family;
    std::string_view name;
    MetricType type;
    std::string_view labels; // comma-separated
    std::string_view help;
};

std::span<const MetricFamilyInfo> getMetricFamilies();

struct Label {
    std::string_view name;
    std::string_view value;
};

void incrementCounter(MetricFamily family, std::initializer_list<Label> labels, double n = 1);
void setGauge(MetricFamily family, std::initializer_list<Label> labels, double value);
// Removes all series of a family. Call before setting a gauge anew, so that series of departed members disappear.
void clearMetric(MetricFamily family);
void observeHistogram(MetricFamily family, std::initializer_list<Label> labels, double seconds);
std::string formatMetricFamilies();
// Updates the gauges for memory and CPU time of this process.
void updateProcessMetrics();

}
