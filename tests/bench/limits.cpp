// Benchmarks with more callers than slots.
#include "bench/measure.h"
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace bench {

using namespace harness;

// ---- overload ----

void measureOverload()
{
    auto options = makeSmallOptions();
    options.groups.front().acknowledge = "primary";
    Cluster cluster(options);
    cluster.startAll();
    for (auto& it : options.groups.front().members)
        cluster.setMember(it, { { "serviceMs", 4 } });
    std::vector<std::string> addresses;
    for (unsigned i = 0; i < options.hosts; ++i)
        addresses.push_back(cluster.getCallerAddress(i));
    fmt::print("writes of 4 ms on 2 slots: capacity about 500/s less overhead; deadline 500 ms; callers retry after the given time\n");
    fmt::print("{:>9} {:>10} {:>9} {:>9} {:>11} {:>9}\n", "callers", "served/s", "p50 ms", "p99 ms", "refused/s", "unknown");
    for (unsigned callers : { 2U, 4U, 10U, 20U, 100U, 300U, 600U }) {
        LoadOptions load { addresses, callers, milliseconds(6000) };
        load.obeysRetryAfter = true;
        load.makeBody = [](unsigned caller, uint64_t) {
            auto body = makeWrite("orders", fmt::format("c{}", caller));
            body["repeatable"] = false;
            body["requestKey"] = fmt::format("{}", std::random_device {}());
            body["deadlineMs"] = 500;
            return body;
        };
        auto result = runLoad(load);
        fmt::print("{:>9} {:>10.0f} {:>9.1f} {:>9.1f} {:>11.0f} {:>9}\n", callers, result.getRate(), result.getQuantile(0.5), result.getQuantile(0.99), static_cast<double>(result.kinds["overloaded"]) / 6, result.kinds["outcome-unknown"]);
        std::fflush(stdout);
    }
}

// ---- fairness ----

static void printResult(const char* what, const LoadResult& result)
{
    fmt::print("{:<44} {:>9.0f} {:>8.1f} {:>8.1f} {:>10.0f}\n", what, result.getRate(), result.getQuantile(0.5), result.getQuantile(0.99), static_cast<double>(result.getFailures()) / result.seconds);
    std::fflush(stdout);
}

// Runs a few callers next to many others: in another group, and with the other kind of statement at the same member.
void measureFairness()
{
    auto options = makeSmallOptions();
    options.groups.push_back({ "bills", { "bills-a", "bills-b", "bills-c" } });
    for (auto& it : options.groups)
        it.acknowledge = "primary";
    Cluster cluster(options);
    cluster.startAll();
    for (auto& group : options.groups) {
        for (auto& it : group.members)
            cluster.setMember(it, { { "serviceMs", 4 } });
    }
    auto makeLoad = [&](const char* group, bool isWrite, unsigned callers) {
        LoadOptions load { {}, callers, milliseconds(6000) };
        for (unsigned i = 0; i < options.hosts; ++i)
            load.addresses.push_back(cluster.getCallerAddress(i));
        load.obeysRetryAfter = true;
        load.makeBody = [group, isWrite](unsigned caller, uint64_t) {
            auto body = isWrite ? makeWrite(group, fmt::format("c{}", caller)) : json::object { { "group", group }, { "kind", "read" }, { "statement", "GET k" }, { "maximumAgeMs", 0 } };
            body["deadlineMs"] = 500;
            return body;
        };
        return load;
    };
    auto runConcurrently = [](const LoadOptions& foreground, const LoadOptions& background) {
        LoadResult results[2];
        std::jthread other([&] { results[1] = runLoad(background); });
        results[0] = runLoad(foreground);
        other.join();
        return std::pair(results[0], results[1]);
    };
    fmt::print("statements of 4 ms, 2 slots per member, deadline 500 ms, 6 s each; reads of age 0 go to the primary\n");
    fmt::print("{:<44} {:>9} {:>8} {:>8} {:>10}\n", "callers", "served/s", "p50 ms", "p99 ms", "refused/s");
    printResult("4 writers of bills, alone", runLoad(makeLoad("bills", true, 4)));
    auto [foreground, background] = runConcurrently(makeLoad("bills", true, 4), makeLoad("orders", true, 200));
    printResult("4 writers of bills, with next line", foreground);
    printResult("200 writers of orders", background);
    auto [writers, readers] = runConcurrently(makeLoad("orders", true, 4), makeLoad("orders", false, 200));
    printResult("4 writers of orders, with next line", writers);
    printResult("200 readers of orders' primary", readers);
    auto [fewReaders, manyWriters] = runConcurrently(makeLoad("orders", false, 4), makeLoad("orders", true, 200));
    printResult("4 readers of orders' primary, with next line", fewReaders);
    printResult("200 writers of orders", manyWriters);
}

}
