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

enum class FamilyType { Counter,
    Gauge,
    Histogram };

enum class Family {
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

struct FamilyRow {
    Family family;
    std::string_view name;
    FamilyType type;
    std::string_view labels; // comma-separated
    std::string_view help;
};

std::span<const FamilyRow> getFamilies();

struct Label {
    std::string_view name;
    std::string_view value;
};

void addTo(Family family, std::initializer_list<Label> labels, double n = 1);
void setTo(Family family, std::initializer_list<Label> labels, double value);
// Forgets a gauge's values, before they are set anew.
void clear(Family family);
void observe(Family family, std::initializer_list<Label> labels, double seconds);
std::string formatFamilies();
// Memory and processor time of this process.
void measureProcess();

}
