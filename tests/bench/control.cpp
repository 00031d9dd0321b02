// Benchmarks of the control plane: exchanges, records, probes, placement.
#include "bench/measure.h"
#include "decisions/membership.h"
#include "decisions/placement.h"
#include "decisions/records.h"
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
#include <unistd.h>

namespace bench {

using namespace harness;

// ---- propagation of records ----

void measureRecordPropagation(int changes, int delayMs)
{
    auto options = makeBatbayarOptions(9);
    Cluster cluster(options);
    cluster.startAll();
    cluster.setPlatform({ { "delayMs", delayMs } });
    std::vector<double> times;
    for (int i = 0; i < changes; ++i) {
        auto path = cluster.writeRecord(options.groups.front(), [i](json::object& record) { record["slots"] = 5 + i % 2; });
        auto run = cluster.runTool({ "config", "apply", path });
        auto applied = Clock::now();
        auto version = std::stoull(run.output.substr(run.output.find("version ") + 8));
        bool isEverywhere = waitUntil(milliseconds(8000), [&] {
            for (unsigned h = 0; h < options.hosts; ++h) {
                auto status = cluster.getStatus(h);
                if (status["groups"].at(options.groups.front().name).at("version").to_number<uint64_t>() < version)
                    return false;
            }
            return true;
        });
        times.push_back(isEverywhere ? getMs(Clock::now() - applied) : 99999);
    }
    std::ranges::sort(times);
    fmt::print("{} changes, 9 hosts, platform replies delayed by {} ms: median {:.0f} ms, p90 {:.0f} ms, worst {:.0f} ms until active on all hosts\n", changes, delayMs, getMedian(times), times[times.size() * 9 / 10], times.back());
}

// ---- control traffic by number of hosts ----

namespace {

// Counters summed over all hosts.
struct ControlCounts {
    static constexpr std::array kNames { "exchange_bytes", "exchange_host_bytes", "exchange_record_bytes", "exchange_group_bytes", "exchanges", "probes", "probe_bytes", "confirmation_bytes", "platform_bytes" };
    std::map<std::string, uint64_t> counts {};
    double cpuSeconds { 0 };
    uint64_t platformCalls { 0 };
    Clock::time_point at {};
};

}

static ControlCounts readControlCounts(Cluster& cluster)
{
    ControlCounts it;
    it.at = Clock::now();
    for (unsigned i = 0; i < cluster.getOptions().hosts; ++i) {
        it.cpuSeconds += getProcessUsage(cluster.getHost(i).getId()).cpuSeconds;
        for (auto* name : ControlCounts::kNames)
            it.counts[name] += cluster.getMetric(i, name);
    }
    it.platformCalls = cluster.getPlatformStats()["calls"].to_number<uint64_t>();
    return it;
}

// Waits until the first group's record has this version on every host; returns the time in ms.
static double waitForVersion(Cluster& cluster, uint64_t version)
{
    auto began = Clock::now();
    std::vector<unsigned> missing;
    for (unsigned i = 0; i < cluster.getOptions().hosts; ++i)
        missing.push_back(i);
    auto& group = cluster.getOptions().groups.front().name;
    waitUntil(milliseconds(20000), [&] {
        std::erase_if(missing, [&](unsigned i) { return cluster.getStatus(i)["groups"].at(group).at("version").to_number<uint64_t>() >= version; });
        return missing.empty();
    });
    return getMs(Clock::now() - began);
}

// Changes the first group's record with alderctl; returns the new version.
uint64_t applySlotsChange(Cluster& cluster, int slots)
{
    auto path = cluster.writeRecord(cluster.getOptions().groups.front(), [slots](json::object& record) { record["slots"] = slots; });
    auto run = cluster.runTool({ "config", "apply", path });
    return std::stoull(run.output.substr(run.output.find("version ") + 8));
}

void measureControlTraffic(const std::vector<unsigned>& sizes)
{
    fmt::print("{:>6} {:>7} {:>12} {:>12} {:>8} {:>10} {:>9} {:>10} {:>9} {:>13} {:>15} {:>11} {:>10}\n", "hosts", "cpu %", "resident MB", "exchange B/s", "of hosts", "of records", "of groups", "probe B/s", "confirm", "platform B/s", "platform calls/s", "spread ms", "agree ms");
    for (unsigned hosts : sizes) {
        auto options = makeSahyogOptions(hosts);
        auto began = Clock::now();
        Cluster cluster(options);
        cluster.startAll();
        auto agree = getMs(Clock::now() - began);
        // Waits until the updates on the joined hosts are no longer transmitted.
        std::this_thread::sleep_for(milliseconds(4000 + 700 * hosts));
        auto before = readControlCounts(cluster);
        std::this_thread::sleep_for(milliseconds(10000));
        auto after = readControlCounts(cluster);
        auto seconds = getMs(after.at - before.at) / 1000;
        auto perHost = [&](const char* name) { return static_cast<double>(after.counts[name] - before.counts[name]) / seconds / hosts; };
        double resident = 0;
        for (unsigned i = 0; i < hosts; ++i)
            resident = std::max(resident, getProcessUsage(cluster.getHost(i).getId()).residentMb);
        auto spread = waitForVersion(cluster, applySlotsChange(cluster, 3));
        fmt::print("{:>6} {:>7.2f} {:>12.1f} {:>12.0f} {:>8.0f} {:>10.0f} {:>9.0f} {:>10.0f} {:>9.0f} {:>13.0f} {:>15.2f} {:>11.0f} {:>10.0f}\n", hosts, 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / hosts, resident, perHost("exchange_bytes"), perHost("exchange_host_bytes"), perHost("exchange_record_bytes"), perHost("exchange_group_bytes"), perHost("probe_bytes"), perHost("confirmation_bytes"), perHost("platform_bytes"), static_cast<double>(after.platformCalls - before.platformCalls) / seconds, spread, agree);
        std::fflush(stdout);
    }
}

// ---- control traffic by number of groups ----

// A third of the statements are writes; all hosts receive statements of all groups.
static LoadResult runGroupLoad(Cluster& cluster, unsigned groups, milliseconds time)
{
    LoadOptions load;
    for (unsigned i = 0; i < 3; ++i)
        load.addresses.push_back(cluster.getCallerAddress(i));
    load.callers = 12 * groups;
    load.pause = milliseconds(50);
    load.time = time;
    load.makeBody = [groups](unsigned caller, uint64_t n) {
        json::object body { { "group", fmt::format("g{}", (caller / 3) % groups) } };
        bool isWrite = (n + caller) % 3 == 0;
        body["kind"] = isWrite ? "write" : "read";
        body["statement"] = isWrite ? fmt::format("SET k{} {}", caller, n) : fmt::format("GET k{}", caller);
        if (isWrite)
            body["repeatable"] = true;
        return body;
    };
    return runLoad(load);
}

void measureGroups()
{
    fmt::print("3 hosts, each a home of all groups; mean figures of a host\n{:>7} {:>8} {:>8} {:>12} {:>10} {:>10} {:>12} {:>9}\n", "groups", "callers", "cpu %", "resident MB", "probes/s", "probe B/s", "confirm B/s", "served/s");
    for (unsigned count : { 1U, 4U, 8U, 16U }) {
        ClusterOptions options;
        for (unsigned i = 0; i < count; ++i) {
            auto name = fmt::format("g{}", i);
            options.groups.push_back({ name, { name + "-a", name + "-b", name + "-c" } });
        }
        Cluster cluster(options);
        cluster.startAll();
        std::this_thread::sleep_for(milliseconds(12000));
        for (bool isBusy : { false, true }) {
            auto before = readControlCounts(cluster);
            double served = 0;
            if (isBusy)
                served = runGroupLoad(cluster, count, milliseconds(8000)).getRate();
            else
                std::this_thread::sleep_for(milliseconds(8000));
            auto after = readControlCounts(cluster);
            auto seconds = getMs(after.at - before.at) / 1000;
            auto perHost = [&](const char* name) { return static_cast<double>(after.counts[name] - before.counts[name]) / seconds / 3; };
            fmt::print("{:>7} {:>8} {:>8.2f} {:>12.1f} {:>10.1f} {:>10.0f} {:>12.0f} {:>9.0f}\n", count, isBusy ? "busy" : "none", 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / 3, getProcessUsage(cluster.getHost(0).getId()).residentMb, perHost("probes"), perHost("probe_bytes"), perHost("confirmation_bytes"), served);
            std::fflush(stdout);
        }
    }
}

// ---- cost of placement by number of hosts ----

void measurePlacement()
{
    using namespace alderward::decisions;
    fmt::print("{:>7} {:>22} {:>22}\n", "hosts", "us per group, any host", "us per group, 24 hosts");
    for (unsigned hosts : { 9U, 100U, 500U, 2000U }) {
        std::vector<PlacedHost> live;
        for (unsigned i = 0; i < hosts; ++i)
            live.push_back({ fmt::format("h{:04}", i), fmt::format("dc{}", i % 9) });
        GroupRecord record;
        record.members = { { "a", "1:1", "dc0" }, { "b", "1:2", "dc1" }, { "c", "1:3", "dc2" } };
        double times[2] {};
        for (int named = 0; named < 2; ++named) {
            if (named) {
                for (unsigned i = 0; i < 24; ++i)
                    record.hosts.push_back(live[i * hosts / 24 % hosts].name);
            }
            constexpr int kGroups = 300;
            auto began = Clock::now();
            size_t homes = 0;
            for (int i = 0; i < kGroups; ++i) {
                record.name = fmt::format("g{}", i);
                homes += chooseHomes(record, live).size();
            }
            times[named] = getMs(Clock::now() - began) * 1000 / kGroups;
            if (homes == 0)
                return;
        }
        fmt::print("{:>7} {:>22.1f} {:>22.1f}\n", hosts, times[0], times[1]);
    }
}

// ---- cost of membership by number of hosts ----

static alderward::decisions::Membership makeMembershipOfHosts(unsigned hosts)
{
    using namespace alderward::decisions;
    auto now = Clock::now();
    auto membership = makeMembership({ "h0000", 1, HostState::Alive, "dc0", "10.0.0.1:7001", "10.0.0.1:7000", "10.0.0.1:7002" }, now);
    std::vector<HostInfo> updates;
    for (unsigned i = 1; i < hosts; ++i)
        updates.push_back({ fmt::format("h{:04}", i), 1, HostState::Alive, fmt::format("dc{}", i % 9), fmt::format("10.0.{}.{}:7001", i / 250, i % 250), fmt::format("10.0.{}.{}:7000", i / 250, i % 250), fmt::format("10.0.{}.{}:7002", i / 250, i % 250) });
    applyHostUpdates(membership, updates, now);
    for (auto& [name, known] : membership.hosts)
        known.remainingTransmissions = 0; // steady state
    return membership;
}

// Computation of a membership round on one host, without messages, and memory of the membership.
void measureMembership()
{
    using namespace alderward::decisions;
    fmt::print("{:>7} {:>14} {:>16} {:>14} {:>14}\n", "hosts", "us per round", "of it partners", "us of digests", "KB per host");
    for (unsigned hosts : { 9U, 100U, 500U, 2000U }) {
        constexpr int kRounds = 500;
        constexpr size_t kCopies = 20;
        auto membership = makeMembershipOfHosts(hosts);
        auto time = [&](const std::function<void(int)>& step) {
            auto began = Clock::now();
            for (int i = 0; i < kRounds; ++i)
                step(i);
            return getMs(Clock::now() - began) * 1000 / kRounds;
        };
        MembershipTimings timings;
        size_t chosen = 0;
        auto partners = time([&](int i) { chosen += choosePartners(membership, 1, static_cast<uint64_t>(i)).size(); });
        auto rest = time([&](int) {
            chosen += expireHosts(membership, timings, Clock::now()).size();
            chosen += takeUpdatesToSend(membership, timings).size();
        });
        uint64_t digest = 0;
        auto digestTime = time([&](int) { digest ^= getBucketDigests(membership)[0]; });
        auto before = getProcessUsage(getpid()).residentMb;
        std::vector<Membership> copies(kCopies, membership);
        auto kilobytes = (getProcessUsage(getpid()).residentMb - before) * 1000 / static_cast<double>(kCopies * hosts);
        if (chosen > 0)
            fmt::print("{:>7} {:>14.1f} {:>16.1f} {:>14.1f} {:>14.2f}\n", hosts, partners + rest, partners, digestTime, kilobytes);
    }
}

// ---- synchronization of a host that missed a change ----

// Retired records add to the configuration without any group being served.
static void writeRetiredRecords(Cluster& cluster, unsigned count, unsigned version)
{
    Client platform(cluster.getPlatformAddress());
    for (unsigned i = 0; i < count; ++i) {
        auto record = fmt::format(R"({{"schema":2,"members":[{{"name":"m","address":"127.0.0.1:9","dataCentre":"x"}}],"slots":{},"retired":true}})", version);
        auto value = alderward::decisions::formatEnvelope({ record, {} });
        platform.post("/admin/put", { { "key", fmt::format("alderward/groups/filler{}", i) }, { "value", value } });
    }
}

// Prints the bytes that all hosts exchange after a host that was isolated during a change can reach the others again.
void measureResynchronization()
{
    fmt::print("9 hosts; one is isolated for 1.5 s while one of many records changes; bytes of all exchanges in the following 6 s\n");
    fmt::print("{:>8} {:>12} {:>12} {:>12} {:>10}\n", "records", "of records", "of hosts", "in total", "idle");
    for (unsigned count : { 100U, 1000U, 3000U }) {
        Cluster cluster(makeSahyogOptions(9));
        cluster.startAll();
        writeRetiredRecords(cluster, count, 1);
        std::this_thread::sleep_for(milliseconds(12000));
        auto idleBefore = readControlCounts(cluster);
        std::this_thread::sleep_for(milliseconds(6000));
        auto idleAfter = readControlCounts(cluster);
        unsigned host = 0;
        while (cluster.getStatus(host)["isWatcher"].as_bool())
            ++host;
        std::vector<std::string> all;
        for (unsigned i = 0; i < 9; ++i)
            all.push_back(cluster.getHostName(i));
        cluster.blockPeers(host, all);
        writeRetiredRecords(cluster, 1, 2);
        std::this_thread::sleep_for(milliseconds(1500));
        cluster.blockPeers(host, {});
        auto before = readControlCounts(cluster);
        std::this_thread::sleep_for(milliseconds(6000));
        auto after = readControlCounts(cluster);
        auto n = [&](const char* name) { return after.counts[name] - before.counts[name]; };
        fmt::print("{:>8} {:>12} {:>12} {:>12} {:>10}\n", count, n("exchange_record_bytes"), n("exchange_host_bytes"), n("exchange_bytes"), idleAfter.counts["exchange_bytes"] - idleBefore.counts["exchange_bytes"]);
        std::fflush(stdout);
    }
}

}
