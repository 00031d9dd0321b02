// A bounded load from many callers over one thread, for measurements and tests of overload.
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
    std::vector<std::string> addresses; // callers take them in turn
    unsigned callers { 1 };
    milliseconds time { 1000 }; // then each caller ends after its request in flight
    milliseconds pause { 0 }; // between two requests of a caller
    std::string path { "/v1/statement" };
    std::string firstPath {}; // sent once on each connection; empty: nothing
    json::object firstBody {};
    bool keepsSession { false };
    bool obeysRetryAfter { false };
    std::function<json::object(unsigned caller, uint64_t n)> makeBody {};
};

struct LoadResult {
    std::vector<double> latencies {}; // ms, of served requests
    std::map<std::string, uint64_t> kinds {}; // errors by kind
    double seconds { 0 };

    double getRate() const { return static_cast<double>(latencies.size()) / seconds; }
    double getQuantile(double share) const;
    uint64_t getFailures() const;
};

LoadResult runLoad(const LoadOptions& options);

// Connections that made one request each and stay open; they close when the handle goes.
std::shared_ptr<void> openIdleConnections(const std::string& address, unsigned count, const std::function<json::object(unsigned)>& makeBody);

}
