// Benchmarks with failed, slow and lagging members.
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

// ---- failover gap ----

namespace {

struct FailoverGap {
    double total { 0 };
    double detection { 0 };
    double fencing { 0 };
    double promotion { 0 };
};

}

// Reads the phases of the promotion after `faultAtMs` from the timelines of all hosts.
static void readGapPhases(Cluster& cluster, uint64_t faultAtMs, FailoverGap& gap)
{
    double began = 0;
    double promoted = 0;
    for (unsigned i = 0; i < cluster.getOptions().hosts; ++i) {
        for (auto& it : cluster.getEvents(i)) {
            auto kind = std::string(it.at("kind").get_string());
            auto ms = static_cast<double>((it.at("stamp").to_number<uint64_t>() >> 16)) - static_cast<double>(faultAtMs);
            if (ms < 0)
                continue;
            if (kind == "promotion-began" && (began == 0 || ms < began))
                began = ms;
            if (kind == "promoted" && (promoted == 0 || ms < promoted))
                promoted = ms;
        }
    }
    gap.detection = began;
    gap.fencing = promoted - began;
    gap.promotion = gap.total - promoted;
}

static FailoverGap measureSingleGap(ClusterOptions options, const std::string& fault, bool isPlatformUp)
{
    options.groups.resize(1);
    auto group = options.groups.front();
    Cluster cluster(options);
    cluster.startAll();
    if (!isPlatformUp)
        cluster.setPlatform({ { "down", true } });
    std::atomic<bool> mustStop { false };
    std::mutex mutex;
    std::vector<std::pair<Clock::time_point, Clock::time_point>> acknowledgedWrites; // sent, answered
    std::vector<std::jthread> writers;
    for (unsigned n = 0; n < options.hosts; ++n) {
        writers.emplace_back([&, n] {
            Caller caller(cluster.getCallerAddress(n));
            for (int i = 0; !mustStop; ++i) {
                auto sent = Clock::now();
                auto answer = caller.write(group.name, "SET k v", fmt::format("w{}-{}", n, i), 400);
                std::lock_guard lock(mutex);
                if (answer.status == 200)
                    acknowledgedWrites.emplace_back(sent, Clock::now());
                else
                    std::this_thread::sleep_for(milliseconds(5));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(400));
    auto primary = group.members.front();
    auto faultAtMs = static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    auto faultAt = Clock::now();
    if (fault == "killed")
        cluster.getMember(primary).signal(SIGKILL);
    else if (fault == "frozen")
        cluster.getMember(primary).signal(SIGSTOP);
    else {
        json::array all;
        for (unsigned i = 0; i < options.hosts; ++i)
            all.emplace_back(cluster.getHostName(i));
        for (auto& it : group.members)
            all.emplace_back(it);
        cluster.setMember(primary, { { "cut", all } });
        for (size_t i = 1; i < group.members.size(); ++i)
            cluster.setMember(group.members[i], { { "cut", json::array { json::string(primary) } } });
        faultAt = Clock::now();
    }
    waitUntil(milliseconds(12000), [&] {
        std::lock_guard lock(mutex);
        return !acknowledgedWrites.empty() && acknowledgedWrites.back().first > faultAt;
    });
    std::this_thread::sleep_for(milliseconds(200));
    mustStop = true;
    writers.clear();
    FailoverGap gap;
    auto first = Clock::time_point::max();
    for (auto& [sent, answered] : acknowledgedWrites) {
        if (answered > faultAt + milliseconds(30))
            first = std::min(first, answered);
    }
    gap.total = first == Clock::time_point::max() ? 99999 : getMs(first - faultAt);
    readGapPhases(cluster, faultAtMs, gap);
    return gap;
}

void measureFailoverGap(int runs, const std::string& onlyFault)
{
    fmt::print("{:<8} {:<10} {:>6} {:>5} {:>10} {:>10} {:>11} {:>10} {:>10}\n", "fault", "platform", "hosts", "runs", "median ms", "worst ms", "detection", "fencing", "promotion");
    for (unsigned hosts : { 7U, 9U }) {
        for (bool isPlatformUp : { true, false }) {
            for (auto* fault : { "killed", "frozen", "cut" }) {
                if (!onlyFault.empty() && onlyFault != fault)
                    continue;
                std::vector<double> total, detection, fencing, promotion;
                for (int i = 0; i < runs; ++i) {
                    auto gap = measureSingleGap(hosts == 7 ? makeSahyogOptions(7) : makeBatbayarOptions(9), fault, isPlatformUp);
                    total.push_back(gap.total);
                    detection.push_back(gap.detection);
                    fencing.push_back(gap.fencing);
                    promotion.push_back(gap.promotion);
                }
                fmt::print("{:<8} {:<10} {:>6} {:>5} {:>10.0f} {:>10.0f} {:>11.0f} {:>10.0f} {:>10.0f}\n", fault, isPlatformUp ? "up" : "down", hosts, runs, getMedian(total), *std::ranges::max_element(total), getMedian(detection), getMedian(fencing), getMedian(promotion));
                std::fflush(stdout);
            }
        }
    }
}

// ---- outage of a primary without promotion ----

// Prints the counters of all hosts once a second while the primary is frozen and resumed, with promotions off.
void measureOutageWithoutPromotion()
{
    auto options = makeSmallOptions();
    options.groups.front().promotion = R"({"mode":"off"})";
    Cluster cluster(options);
    cluster.startAll();
    for (auto& it : options.groups.front().members)
        cluster.setMember(it, { { "serviceMs", 4 } });
    LoadOptions load { {}, 60, milliseconds(30000) };
    for (unsigned i = 0; i < options.hosts; ++i)
        load.addresses.push_back(cluster.getCallerAddress(i));
    load.obeysRetryAfter = true;
    load.makeBody = [](unsigned caller, uint64_t) {
        auto body = makeWrite("orders", fmt::format("c{}", caller));
        body["deadlineMs"] = 500;
        return body;
    };
    LoadResult result;
    std::jthread callers([&] { result = runLoad(load); });
    fmt::print("60 callers, writes of 4 ms on 2 slots, deadline 500 ms; primary frozen from second 8 to second 18, promotions off\n");
    fmt::print("{:>7} {:>11} {:>9} {:>10} {:>10} {:>9}\n", "second", "requests/s", "served/s", "refused/s", "unknown/s", "retries/s");
    auto read = [&] {
        std::vector<uint64_t> counts;
        for (auto* it : { "requests", "requests_relayed", "writes", "requests_refused", "requests_unknown", "retries" })
            counts.push_back(cluster.sumMetric(it));
        return counts;
    };
    auto before = read();
    for (int second = 1; second <= 28; ++second) {
        std::this_thread::sleep_for(milliseconds(1000));
        if (second == 8)
            cluster.getMember("orders-a").signal(SIGSTOP);
        if (second == 18)
            cluster.getMember("orders-a").signal(SIGCONT);
        auto after = read();
        auto n = [&](size_t i) { return after[i] - before[i]; };
        fmt::print("{:>7} {:>11} {:>9} {:>10} {:>10} {:>9}\n", second, n(0) - n(1), n(2), n(3), n(4), n(5));
        std::fflush(stdout);
        before = after;
    }
}

// ---- no unnecessary promotion ----

void measureUnneededPromotions(int seconds)
{
    auto options = makeSahyogOptions(7);
    Cluster cluster(options);
    cluster.startAll();
    std::vector<std::string> addresses;
    for (unsigned i = 0; i < options.hosts; ++i)
        addresses.push_back(cluster.getCallerAddress(i));
    std::jthread changer([&](std::stop_token token) {
        std::mt19937 random(3);
        while (!token.stop_requested()) {
            for (auto& group : options.groups) {
                for (auto& it : group.members)
                    cluster.setMember(it, { { "lagMs", random() % 800 }, { "serviceMs", random() % 60 } });
            }
            std::this_thread::sleep_for(milliseconds(700));
        }
    });
    LoadOptions load { addresses, 40, milliseconds(seconds * 1000) };
    load.pause = milliseconds(5);
    load.makeBody = [&](unsigned caller, uint64_t n) {
        auto group = options.groups[caller % options.groups.size()].name;
        return n % 3 == 0 ? makeWrite(group, "k") : makeRead(group, "k");
    };
    auto result = runLoad(load);
    fmt::print("{} s of load, members with service times of 0..60 ms and lags of 0..800 ms: {} statements served, {} promotions\n", seconds, result.latencies.size(), cluster.sumMetric("promotions"));
}

}
