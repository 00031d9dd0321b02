// Unlabelled counters and latency quantiles (Boost.Accumulators), served at GET /metrics in the Prometheus text format.
#pragma once
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace alderward::base {

// Each counter has its name at the same index of kCounterNames in metrics.cpp.
enum class Counter {
    Requests,
    RequestsRelayed,
    RelaysDeclined,
    RequestsRefused,
    RequestsUnknown,
    ReadsByPrimary,
    ReadsByReplica,
    Writes,
    WritesReplayed,
    Transactions,
    Retries,
    ConnectionsOpened,
    ConnectionsClosedLate,
    ConnectionsRefused,
    Probes,
    ProbeBytes,
    Confirmations,
    ConfirmationBytes,
    Promotions,
    PromotionsHeldBack,
    Exchanges,
    ExchangeBytes,
    ExchangeHostBytes,
    ExchangeRecordBytes,
    ExchangeGroupBytes,
    RelayBytes,
    PlatformCalls,
    PlatformBytes,
    RecordsApplied,
    RecordsRefused,
    InvariantViolations,
    Count,
};

// Latencies reported as quantiles, in ms. Names are in kLatencyNames in metrics.cpp.
enum class Latency {
    Request,
    Read,
    Write,
    ConnectionWait,
    Confirmation,
    Count,
};

void count(Counter counter, uint64_t n = 1);
uint64_t getCount(Counter counter);
void record(Latency latency, std::chrono::steady_clock::duration time);
// All counters and quantiles in the Prometheus text format.
std::string formatMetrics();

// Checks a condition that must hold under any failure of hosts, networks or targets. A violation is counted, recorded on
// the timeline and logged; in builds with ALDERWARD_ABORT_ON_VIOLATION it aborts the process.
void checkInvariant(bool holds, const char* what, const std::string& group);

}
