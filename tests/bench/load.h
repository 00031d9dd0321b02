// Generates load from many callers on one thread for a bounded time.
#pragma once
#include "harness/harness.h"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bench {

namespace json = boost::json;
using std::chrono::milliseconds;

struct LoadOptions {
    std::vector<std::string> addresses; // assigned to callers round-robin
    unsigned callers { 1 };
    milliseconds time { 1000 }; // callers finish their pending request after it
    milliseconds pause { 0 }; // between requests of a caller
    std::string path { "/v1/statement" };
    std::string firstPath {}; // first request on each connection; empty: none
    json::object firstBody {};
    bool keepsSession { false };
    bool obeysRetryAfter { false };
    std::function<json::object(unsigned caller, uint64_t n)> makeBody {};
};

struct LoadResult {
    std::vector<double> latencies {}; // ms, of successful requests
    std::map<std::string, uint64_t> kinds {}; // errors by kind
    double seconds { 0 };

    double getRate() const { return static_cast<double>(latencies.size()) / seconds; }
    double getQuantile(double share) const;
    uint64_t getFailures() const;
};

LoadResult runLoad(const LoadOptions& options);

// Opens connections that send one request each; they stay open until the returned handle is destroyed.
std::shared_ptr<void> openIdleConnections(const std::string& address, unsigned count, const std::function<json::object(unsigned)>& makeBody);

}
