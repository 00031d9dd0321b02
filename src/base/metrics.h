// Metrics: counters and latency quantiles (Boost.Accumulators), shown at GET /metrics in Prometheus text form.
#pragma once
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace alderward::base {

// Everything that is counted. Add a name to kCounterNames in metrics.cpp when you add one here.
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

// Latencies that get quantiles, in ms.
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
// All metrics in Prometheus text form.
std::string formatMetrics();

// An invariant that must hold whatever fails. A violation is counted, put on the time line and, in builds with
// ALDERWARD_ABORT_ON_VIOLATION, ends the process so that no test can overlook it.
void checkInvariant(bool holds, const char* what, const std::string& group);

}
