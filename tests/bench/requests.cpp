// Benchmarks of requests: throughput, memory of connections, reads from replicas, homes.
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

// ---- throughput ----

void measureThroughput(unsigned threads)
{
    auto options = makeSmallOptions();
    options.groups.front().connections = 200;
    options.groups.front().slots = 200;
    options.hosts = 1;
    options.threads = threads;
    Cluster cluster(options);
    cluster.startAll();
    fmt::print("host with {} request threads\n", threads);
    fmt::print("{:<8} {:<7} {:>8} {:>12} {:>9} {:>9}\n", "path", "kind", "callers", "statements/s", "p50 ms", "p99 ms");
    for (bool isWrite : { false, true }) {
        for (unsigned callers : { 1U, 8U, 64U }) {
            LoadOptions direct { { cluster.getMemberAddress("orders-a") }, callers, milliseconds(3000) };
            direct.path = "/member/execute";
            direct.firstPath = "/member/hello";
            direct.firstBody = { { "purpose", "work" } };
            direct.makeBody = [isWrite](unsigned, uint64_t) { return json::object { { "term", 1 }, { "kind", isWrite ? "write" : "read" }, { "statement", isWrite ? "SET a v" : "GET a" } }; };
            auto base = runLoad(direct);
            LoadOptions through { { cluster.getCallerAddress(0) }, callers, milliseconds(3000) };
            through.makeBody = [isWrite](unsigned, uint64_t) { return isWrite ? makeWrite("orders", "a") : makeRead("orders", "a"); };
            auto proxied = runLoad(through);
            for (auto& [name, result] : { std::pair { "direct", base }, std::pair { "host", proxied } })
                fmt::print("{:<8} {:<7} {:>8} {:>12.0f} {:>9.3f} {:>9.3f}\n", name, isWrite ? "write" : "read", callers, result.getRate(), result.getQuantile(0.5), result.getQuantile(0.99));
        }
    }
}

// ---- memory of idle connections ----

void measureMemory()
{
    auto options = makeSmallOptions();
    options.hosts = 1;
    Cluster cluster(options);
    cluster.startAll();
    auto before = getProcessUsage(cluster.getHost(0).getId()).residentMb;
    fmt::print("no callers: {:.1f} MB resident\n", before);
    for (unsigned callers : { 1000U, 4000U }) {
        auto idle = openIdleConnections(cluster.getCallerAddress(0), callers, [](unsigned) { return makeRead("orders", "a"); });
        auto after = getProcessUsage(cluster.getHost(0).getId()).residentMb;
        fmt::print("{} idle connections: {:.1f} MB resident, {:.2f} KB each\n", callers, after, (after - before) * 1000 / callers);
    }
}

// ---- share of reads served by replicas ----

namespace {

struct Mix {
    const char* name;
    double writes; // share of statements
    double sessionReads; // share of reads within the session; the others state a maximum age
    int maximumAgeMs;
};

}

void measureReadShare()
{
    fmt::print("mixes: Sahyog 30% writes, reads 80% in session, rest maximumAgeMs 500; Batbayar 5% writes, reads 10% in session, rest maximumAgeMs 2000\n");
    fmt::print("{:<10} {:<12} {:>14} {:>9} {:>9} {:>8}\n", "user", "lag ms", "replica reads", "p50 ms", "p99 ms", "refused");
    const Mix mixes[] { { "Sahyog", 0.3, 0.8, 500 }, { "Batbayar", 0.05, 0.1, 2000 } };
    for (auto& mix : mixes) {
        auto options = std::strcmp(mix.name, "Sahyog") == 0 ? makeSahyogOptions(7) : makeBatbayarOptions(9);
        Cluster cluster(options);
        cluster.startAll();
        std::vector<std::string> addresses;
        for (unsigned i = 0; i < options.hosts; ++i)
            addresses.push_back(cluster.getCallerAddress(i));
        for (int lag : { 0, 50, 500, -1 }) {
            auto setLag = [&](int ms) {
                for (auto& group : options.groups) {
                    for (auto& it : group.members)
                        cluster.setMember(it, { { "lagMs", ms } });
                }
            };
            setLag(lag < 0 ? 0 : lag);
            std::jthread changer([&](std::stop_token token) {
                std::mt19937 random(7);
                while (lag < 0 && !token.stop_requested()) {
                    setLag(static_cast<int>(random() % 500));
                    std::this_thread::sleep_for(milliseconds(300));
                }
            });
            auto replicaBefore = cluster.sumMetric("reads_by_replica");
            auto primaryBefore = cluster.sumMetric("reads_by_primary");
            LoadOptions load { addresses, 24, milliseconds(4000) };
            load.pause = milliseconds(10);
            load.keepsSession = true;
            load.makeBody = [&](unsigned caller, uint64_t n) {
                thread_local std::mt19937 random(11);
                auto draw = [] { return std::uniform_real_distribution<double>(0, 1)(random); };
                auto group = options.groups[caller % options.groups.size()].name;
                auto key = fmt::format("c{}", caller);
                if (draw() < mix.writes) {
                    auto body = makeWrite(group, key);
                    body["statement"] = fmt::format("SET {} {}", key, n);
                    return body;
                }
                auto body = makeRead(group, key);
                if (draw() >= mix.sessionReads) {
                    body["maximumAgeMs"] = mix.maximumAgeMs;
                    body["session"] = "";
                }
                return body;
            };
            auto result = runLoad(load);
            auto replica = static_cast<double>(cluster.sumMetric("reads_by_replica") - replicaBefore);
            auto primary = static_cast<double>(cluster.sumMetric("reads_by_primary") - primaryBefore);
            fmt::print("{:<10} {:<12} {:>13.1f}% {:>9.2f} {:>9.2f} {:>8}\n", mix.name, lag < 0 ? "0..500" : std::to_string(lag), 100 * replica / std::max(1.0, replica + primary), result.getQuantile(0.5), result.getQuantile(0.99), result.getFailures());
        }
    }
}

// ---- chosen homes compared with all hosts as homes ----

void measureHomes()
{
    fmt::print("{:<10} {:<6} {:<8} {:>10} {:>10} {:>9} {:>9} {:>9} {:>9} {:>8}\n", "user", "hosts", "homes", "served/s", "opened", "refused", "p50 ms", "p99 ms", "failures", "wait p99");
    for (bool isSahyog : { true, false }) {
        for (unsigned hosts : { 7U, 9U }) {
            for (bool everyHost : { false, true }) {
                auto options = isSahyog ? makeSahyogOptions(hosts) : makeBatbayarOptions(hosts);
                if (everyHost)
                    options.extraSettings += "\n[peers]\nhomes_most = 1000\n";
                Cluster cluster(options);
                cluster.startAll();
                std::vector<std::string> addresses;
                for (unsigned i = 0; i < hosts; ++i)
                    addresses.push_back(cluster.getCallerAddress(i));
                for (auto& group : options.groups) {
                    for (auto& it : group.members)
                        cluster.setMember(it, { { "serviceMs", 2 } });
                }
                LoadOptions load { addresses, isSahyog ? 60U : 120U, milliseconds(5000) };
                load.pause = milliseconds(20);
                load.keepsSession = true;
                load.makeBody = [&](unsigned caller, uint64_t n) {
                    auto group = options.groups[(caller / 3) % options.groups.size()].name;
                    return n % 4 == 0 ? makeWrite(group, "k") : makeRead(group, "k");
                };
                auto result = runLoad(load);
                uint64_t opened = 0;
                uint64_t refused = 0;
                for (auto& group : options.groups) {
                    for (auto& it : group.members) {
                        auto stats = cluster.getMemberStats(it);
                        opened += stats["openedConnections"].to_number<uint64_t>();
                        refused += stats["refusedConnections"].to_number<uint64_t>();
                    }
                }
                fmt::print("{:<10} {:<6} {:<8} {:>10.0f} {:>10} {:>9} {:>9.2f} {:>9.2f} {:>9}\n", isSahyog ? "Sahyog" : "Batbayar", hosts, everyHost ? "all" : "chosen", result.getRate(), opened, refused, result.getQuantile(0.5), result.getQuantile(0.99), result.getFailures());
                std::fflush(stdout);
            }
        }
    }
}

}
