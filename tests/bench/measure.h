// Benchmarks: each starts a system of stand-ins and hosts, loads it for a bounded time and prints figures. See
// docs/MEASUREMENTS.md and docs/CAPACITY.md.
#pragma once
#include "bench/load.h"
#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bench {

using Clock = std::chrono::steady_clock;

// ---- requests.cpp: throughput, latency, memory ----
void measureThroughput(unsigned threads);
void measureMemory();
void measureReadShare();
void measureHomes();

// ---- faults.cpp: failed, slow and lagging members ----
void measureFailoverGap(int runs, const std::string& onlyFault); // onlyFault: killed, frozen or cut; empty: all
void measureOutageWithoutPromotion();
void measureUnneededPromotions(int seconds);

// ---- limits.cpp: more callers than slots ----
void measureOverload();
void measureFairness();

// ---- control.cpp: cost of exchanges, probes, configuration and platform calls ----
void measureRecordPropagation(int changes, int delayMs); // delayMs: before each reply of the platform
void measureControlTraffic(const std::vector<unsigned>& sizes); // sizes: numbers of hosts
void measureGroups();
void measurePlacement();
void measureMembership();
void measureResynchronization();

// ---- shared ----

// Resources used by a process.
struct ProcessUsage {
    double cpuSeconds { 0 }; // user and system
    double residentMb { 0 };
};

ProcessUsage getProcessUsage(pid_t id);
double getMs(Clock::duration time);
double getMedian(std::vector<double> values); // 0 if empty
json::object makeRead(const std::string& group, const std::string& key);
json::object makeWrite(const std::string& group, const std::string& key);

}
