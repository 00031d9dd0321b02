// The measurements that bench knows, and what several of them need. Each starts a system of stand-ins and hosts, loads it for
// a bounded time and prints figures. See docs/MEASUREMENTS.md and docs/CAPACITY.md.
#pragma once
#include "bench/load.h"
#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bench {

using Clock = std::chrono::steady_clock;

// ---- requests.cpp: what callers see ----
void measureThroughput(unsigned threads);
void measureMemory();
void measureReadShare();
void measureHomes();

// ---- faults.cpp: members that fail, or only look like it ----
void measureGap(int runs, const std::string& onlyFault); // onlyFault: killed, frozen, cut; empty: all
void measureStorm();
void measureQuiet(int seconds);

// ---- limits.cpp: more callers than slots ----
void measureOverload();
void measureFairness();

// ---- control.cpp: what hosts spend on each other, on members and on the platform ----
void measureRecords(int changes, int delayMs); // delayMs: by which the platform answers each call later
void measureControl(const std::vector<unsigned>& sizes); // sizes: hosts
void measureGroups();
void measurePlacement();
void measureMembership();
void measureSync();

// ---- shared ----

// What one process has used so far.
struct ProcessUsage {
    double cpuSeconds { 0 }; // s, user and system
    double residentMb { 0 }; // MB, now
};

ProcessUsage getProcessUsage(pid_t id);
double getMs(Clock::duration time);
double getMedian(std::vector<double> values); // 0 of none
json::object makeRead(const std::string& group, const std::string& key);
json::object makeWrite(const std::string& group, const std::string& key);

}
