// Metrics with labels: counters, gauges and histograms with fixed buckets, in Prometheus text form. The list of families is closed and
// documented in docs/METRICS.md; a test holds page and list to each other.
//
// Fixed buckets, not Boost.Accumulators' quantiles: buckets of many hosts can be added up, quantiles cannot.
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
    ConnectionsGivenUp,
    QuotaRefused,
    StoreCalls,
    StoreSeconds,
    EntriesRefused,
    PromotionOrders,
    HostChanges,
    PoolConnections,
    PoolWaiting,
    PoolRunning,
    FloorAge,
    Term,
    LeavingPrimary,
    ConfigurationVersion,
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
// Forgets a gauge's values, before they are set anew.
void clearMetric(MetricFamily family);
void observeHistogram(MetricFamily family, std::initializer_list<Label> labels, double seconds);
std::string formatMetricFamilies();
// Memory and processor time of this process.
void updateProcessMetrics();

}
