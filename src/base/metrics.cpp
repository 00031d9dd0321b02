#include "base/metrics.h"
#include "base/event_log.h"
#include "base/timeline.h"
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <mutex>

namespace alderward::base {

namespace acc = boost::accumulators;

static constexpr size_t kCounterCount = static_cast<size_t>(Counter::Count);
static constexpr size_t kLatencyCount = static_cast<size_t>(Latency::Count);

static constexpr std::array<const char*, kCounterCount> kCounterNames {
    "requests", "requests_relayed", "relays_declined", "requests_refused", "requests_unknown", "reads_by_primary", "reads_by_replica",
    "writes", "writes_replayed", "transactions", "retries", "connections_opened", "connections_closed_late",
    "connections_refused", "probes", "probe_bytes", "confirmations", "confirmation_bytes", "promotions", "promotions_held_back", "exchanges",
    "exchange_bytes", "exchange_host_bytes", "exchange_record_bytes", "exchange_group_bytes", "relay_bytes", "platform_calls", "platform_bytes", "records_applied", "records_refused", "invariant_violations"
};
static constexpr std::array<const char*, kLatencyCount> kLatencyNames { "request", "read", "write", "connection_wait",
    "confirmation" };
static constexpr std::array kQuantiles { 0.5, 0.9, 0.99 };

using Quantiles = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square>>;

struct LatencyMetric {
    std::mutex mutex {};
    Quantiles quantiles { acc::tag::extended_p_square::probabilities = kQuantiles };
};

static std::array<std::atomic<uint64_t>, kCounterCount> counters {};

static LatencyMetric& getLatency(size_t index)
{
    static std::array<LatencyMetric, kLatencyCount> latencies;
    return latencies[index];
}

void count(Counter counter, uint64_t n)
{
    counters[static_cast<size_t>(counter)].fetch_add(n, std::memory_order_relaxed);
}

uint64_t getCount(Counter counter)
{
    return counters[static_cast<size_t>(counter)].load(std::memory_order_relaxed);
}

void record(Latency latency, std::chrono::steady_clock::duration time)
{
    auto& metric = getLatency(static_cast<size_t>(latency));
    std::lock_guard lock(metric.mutex);
    metric.quantiles(std::chrono::duration<double, std::milli>(time).count());
}

std::string formatMetrics()
{
    std::string text;
    for (size_t i = 0; i < kCounterCount; ++i)
        text += fmt::format("# TYPE alderward_{0}_total counter\nalderward_{0}_total {1}\n", kCounterNames[i], counters[i].load());
    for (size_t i = 0; i < kLatencyCount; ++i) {
        auto& metric = getLatency(i);
        std::lock_guard lock(metric.mutex);
        text += fmt::format("# TYPE alderward_{}_ms summary\n", kLatencyNames[i]);
        for (size_t j = 0; j < kQuantiles.size(); ++j)
            text += fmt::format("alderward_{}_ms{{quantile=\"{}\"}} {:.3f}\n", kLatencyNames[i], kQuantiles[j], acc::extended_p_square(metric.quantiles)[j]);
        text += fmt::format("alderward_{0}_ms_sum {1:.3f}\nalderward_{0}_ms_count {2}\n", kLatencyNames[i], acc::sum(metric.quantiles), acc::count(metric.quantiles));
    }
    return text;
}

void checkInvariant(bool holds, const char* what, const std::string& group)
{
    if (holds) [[likely]]
        return;
    count(Counter::InvariantViolations);
    getTimeline().add("invariant-violated", group, what);
    logEvent(LogClass::State, "invariant-broken", { { "group", std::string_view(group) }, { "what", std::string_view(what) } });
#ifdef ALDERWARD_ABORT_ON_VIOLATION
    std::abort();
#endif
}

}
