// Measurements: each command starts a system of stand-ins and hosts, loads it for a bounded time and prints figures.
// Run one by name: bench throughput | memory | reads | gap | records | control | groups | placement | overload | sync | storm | fairness | homes | quiet. See docs/MEASUREMENTS.md.
#include "bench/load.h"
#include "decisions/placement.h"
#include <algorithm>
#include <csignal>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <thread>
#include <unistd.h>

using namespace harness;
using namespace bench;

namespace {

using Clock = std::chrono::steady_clock;

double getMs(Clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// ---- what one process uses ----

struct Usage {
    double cpuSeconds { 0 };
    double residentMb { 0 };
};

Usage getUsage(pid_t id)
{
    std::ifstream stat(fmt::format("/proc/{}/stat", id));
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream statm(fmt::format("/proc/{}/statm", id));
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return { (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)), resident * 4096 / 1e6 };
}

// ---- throughput ----

json::object makeRead(const std::string& group, const std::string& key)
{
    return { { "group", group }, { "kind", "read" }, { "statement", "GET " + key } };
}

json::object makeWrite(const std::string& group, const std::string& key)
{
    return { { "group", group }, { "kind", "write" }, { "statement", "SET " + key + " v" }, { "repeatable", true } };
}

void measureThroughput(unsigned threads)
{
    auto shape = getSmallShape();
    shape.groups.front().connections = 200;
    shape.groups.front().slots = 200;
    shape.hosts = 1;
    shape.threads = threads;
    Cluster cluster(shape);
    cluster.beginAll();
    fmt::print("host with {} request threads\n", threads);
    fmt::print("{:<8} {:<7} {:>8} {:>12} {:>9} {:>9}\n", "path", "kind", "callers", "statements/s", "p50 ms", "p99 ms");
    for (bool isWrite : { false, true }) {
        for (unsigned callers : { 1U, 8U, 64U }) {
            LoadShape direct { { cluster.getMemberAddress("orders-a") }, callers, milliseconds(3000) };
            direct.path = "/member/execute";
            direct.firstPath = "/member/hello";
            direct.firstBody = { { "purpose", "work" } };
            direct.makeBody = [isWrite](unsigned, uint64_t) { return json::object { { "term", 1 }, { "kind", isWrite ? "write" : "read" }, { "statement", isWrite ? "SET a v" : "GET a" } }; };
            auto base = runLoad(direct);
            LoadShape through { { cluster.getCallerAddress(0) }, callers, milliseconds(3000) };
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
    auto shape = getSmallShape();
    shape.hosts = 1;
    Cluster cluster(shape);
    cluster.beginAll();
    auto before = getUsage(cluster.getHost(0).getId()).residentMb;
    fmt::print("no callers: {:.1f} MB resident\n", before);
    for (unsigned callers : { 1000U, 4000U }) {
        auto idle = openIdle(cluster.getCallerAddress(0), callers, [](unsigned) { return makeRead("orders", "a"); });
        auto after = getUsage(cluster.getHost(0).getId()).residentMb;
        fmt::print("{} idle connections: {:.1f} MB resident, {:.2f} KB each\n", callers, after, (after - before) * 1000 / callers);
    }
}

// ---- share of reads served by replicas ----

struct Mix {
    const char* name;
    double writes; // share of statements
    double sessionReads; // share of reads that follow their session, the rest states an age
    int maximumAgeMs;
};

void measureReadShare()
{
    fmt::print("mixes: Sahyog 30% writes, reads 80% in session, rest maximumAgeMs 500; Batbayar 5% writes, reads 10% in session, rest maximumAgeMs 2000\n");
    fmt::print("{:<10} {:<12} {:>14} {:>9} {:>9} {:>8}\n", "user", "lag ms", "replica reads", "p50 ms", "p99 ms", "refused");
    const Mix mixes[] { { "Sahyog", 0.3, 0.8, 500 }, { "Batbayar", 0.05, 0.1, 2000 } };
    for (auto& mix : mixes) {
        auto shape = std::strcmp(mix.name, "Sahyog") == 0 ? getSahyogShape(7) : getBatbayarShape(9);
        Cluster cluster(shape);
        cluster.beginAll();
        std::vector<std::string> addresses;
        for (unsigned i = 0; i < shape.hosts; ++i)
            addresses.push_back(cluster.getCallerAddress(i));
        for (int lag : { 0, 50, 500, -1 }) {
            auto setLag = [&](int ms) {
                for (auto& group : shape.groups) {
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
            LoadShape load { addresses, 24, milliseconds(4000) };
            load.pause = milliseconds(10);
            load.keepsSession = true;
            load.makeBody = [&](unsigned caller, uint64_t n) {
                thread_local std::mt19937 random(11);
                auto draw = [] { return std::uniform_real_distribution<double>(0, 1)(random); };
                auto group = shape.groups[caller % shape.groups.size()].name;
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

// ---- failover gap ----

struct Gap {
    double total { 0 };
    double detection { 0 };
    double fencing { 0 };
    double promotion { 0 };
};

// Times of the first events of the newest promotion, from the time line of all hosts, relative to `hitMs`.
void readParts(Cluster& cluster, uint64_t hitMs, Gap& gap)
{
    double began = 0;
    double promoted = 0;
    for (unsigned i = 0; i < cluster.getShape().hosts; ++i) {
        for (auto& it : cluster.getEvents(i)) {
            auto kind = std::string(it.at("kind").get_string());
            auto ms = static_cast<double>((it.at("stamp").to_number<uint64_t>() >> 16)) - static_cast<double>(hitMs);
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

Gap measureOneGap(Shape shape, const std::string& how, bool isPlatformUp)
{
    shape.groups.resize(1);
    auto group = shape.groups.front();
    Cluster cluster(shape);
    cluster.beginAll();
    if (!isPlatformUp)
        cluster.setPlatform({ { "down", true } });
    std::atomic<bool> mustStop { false };
    std::mutex mutex;
    std::vector<std::pair<Clock::time_point, Clock::time_point>> landed; // sent, answered
    std::vector<std::jthread> writers;
    for (unsigned n = 0; n < shape.hosts; ++n) {
        writers.emplace_back([&, n] {
            Caller caller(cluster.getCallerAddress(n));
            for (int i = 0; !mustStop; ++i) {
                auto sent = Clock::now();
                auto answer = caller.write(group.name, "SET k v", fmt::format("w{}-{}", n, i), 400);
                std::lock_guard lock(mutex);
                if (answer.status == 200)
                    landed.emplace_back(sent, Clock::now());
                else
                    std::this_thread::sleep_for(milliseconds(5));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(400));
    auto primary = group.members.front();
    auto hitMs = static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    auto hit = Clock::now();
    if (how == "killed")
        cluster.getMember(primary).signal(SIGKILL);
    else if (how == "frozen")
        cluster.getMember(primary).signal(SIGSTOP);
    else {
        json::array all;
        for (unsigned i = 0; i < shape.hosts; ++i)
            all.emplace_back(cluster.getHostName(i));
        for (auto& it : group.members)
            all.emplace_back(it);
        cluster.setMember(primary, { { "cut", all } });
        for (size_t i = 1; i < group.members.size(); ++i)
            cluster.setMember(group.members[i], { { "cut", json::array { json::string(primary) } } });
        hit = Clock::now();
    }
    waitUntil(milliseconds(12000), [&] {
        std::lock_guard lock(mutex);
        return !landed.empty() && landed.back().first > hit;
    });
    std::this_thread::sleep_for(milliseconds(200));
    mustStop = true;
    writers.clear();
    Gap gap;
    auto first = Clock::time_point::max();
    for (auto& [sent, answered] : landed) {
        if (answered > hit + milliseconds(30))
            first = std::min(first, answered);
    }
    gap.total = first == Clock::time_point::max() ? 99999 : getMs(first - hit);
    readParts(cluster, hitMs, gap);
    return gap;
}

double getMedian(std::vector<double> values)
{
    std::ranges::sort(values);
    return values.empty() ? 0 : values[values.size() / 2];
}

void measureGap(int runs, const std::string& onlyFault)
{
    fmt::print("{:<8} {:<10} {:>6} {:>5} {:>10} {:>10} {:>11} {:>10} {:>10}\n", "fault", "platform", "hosts", "runs", "median ms", "worst ms", "detection", "fencing", "promotion");
    for (unsigned hosts : { 7U, 9U }) {
        for (bool isPlatformUp : { true, false }) {
            for (auto* how : { "killed", "frozen", "cut" }) {
                if (!onlyFault.empty() && onlyFault != how)
                    continue;
                std::vector<double> total, detection, fencing, promotion;
                for (int i = 0; i < runs; ++i) {
                    auto gap = measureOneGap(hosts == 7 ? getSahyogShape(7) : getBatbayarShape(9), how, isPlatformUp);
                    total.push_back(gap.total);
                    detection.push_back(gap.detection);
                    fencing.push_back(gap.fencing);
                    promotion.push_back(gap.promotion);
                }
                fmt::print("{:<8} {:<10} {:>6} {:>5} {:>10.0f} {:>10.0f} {:>11.0f} {:>10.0f} {:>10.0f}\n", how, isPlatformUp ? "up" : "down", hosts, runs, getMedian(total), *std::ranges::max_element(total), getMedian(detection), getMedian(fencing), getMedian(promotion));
                std::fflush(stdout);
            }
        }
    }
}

// ---- spread of records ----

void measureRecords(int changes)
{
    auto shape = getBatbayarShape(9);
    Cluster cluster(shape);
    cluster.beginAll();
    std::vector<double> times;
    for (int i = 0; i < changes; ++i) {
        auto path = cluster.writeRecord(shape.groups.front(), [i](json::object& record) { record["slots"] = 5 + i % 2; });
        auto run = cluster.runTool({ "config", "apply", path });
        auto applied = Clock::now();
        auto version = std::stoull(run.output.substr(run.output.find("version ") + 8));
        bool isEverywhere = waitUntil(milliseconds(8000), [&] {
            for (unsigned h = 0; h < shape.hosts; ++h) {
                auto status = cluster.getStatus(h);
                if (status["groups"].at(shape.groups.front().name).at("version").to_number<uint64_t>() < version)
                    return false;
            }
            return true;
        });
        times.push_back(isEverywhere ? getMs(Clock::now() - applied) : 99999);
    }
    std::ranges::sort(times);
    fmt::print("{} changes, 9 hosts: median {:.0f} ms, p90 {:.0f} ms, worst {:.0f} ms until in force everywhere\n", changes, getMedian(times), times[times.size() * 9 / 10], times.back());
}

// ---- control at several sizes ----

// Sums of the counters of all hosts, to be subtracted from each other.
struct ControlCounts {
    static constexpr std::array kNames { "exchange_bytes", "exchange_host_bytes", "exchange_record_bytes", "exchange_group_bytes", "exchanges", "probes", "probe_bytes", "confirmation_bytes", "platform_bytes" };
    std::map<std::string, uint64_t> counts {};
    double cpuSeconds { 0 };
    uint64_t platformCalls { 0 };
    Clock::time_point at {};
};

ControlCounts readControl(Cluster& cluster)
{
    ControlCounts it;
    it.at = Clock::now();
    for (unsigned i = 0; i < cluster.getShape().hosts; ++i) {
        it.cpuSeconds += getUsage(cluster.getHost(i).getId()).cpuSeconds;
        for (auto* name : ControlCounts::kNames)
            it.counts[name] += cluster.getMetric(i, name);
    }
    it.platformCalls = cluster.getPlatformStats()["calls"].to_number<uint64_t>();
    return it;
}

// Milliseconds from now until every host has this version of the first group's record in force.
double waitForVersion(Cluster& cluster, uint64_t version)
{
    auto began = Clock::now();
    std::vector<unsigned> missing;
    for (unsigned i = 0; i < cluster.getShape().hosts; ++i)
        missing.push_back(i);
    auto& group = cluster.getShape().groups.front().name;
    waitUntil(milliseconds(20000), [&] {
        std::erase_if(missing, [&](unsigned i) { return cluster.getStatus(i)["groups"].at(group).at("version").to_number<uint64_t>() >= version; });
        return missing.empty();
    });
    return getMs(Clock::now() - began);
}

// Changes the first group's record with the operators' tool; returns the new version.
uint64_t applyChange(Cluster& cluster, int slots)
{
    auto path = cluster.writeRecord(cluster.getShape().groups.front(), [slots](json::object& record) { record["slots"] = slots; });
    auto run = cluster.runTool({ "config", "apply", path });
    return std::stoull(run.output.substr(run.output.find("version ") + 8));
}

void measureControl(const std::vector<unsigned>& sizes)
{
    fmt::print("{:>6} {:>7} {:>12} {:>12} {:>8} {:>10} {:>9} {:>10} {:>9} {:>13} {:>15} {:>11} {:>10}\n", "hosts", "cpu %", "resident MB", "exchange B/s", "of hosts", "of records", "of groups", "probe B/s", "confirm", "platform B/s", "platform calls/s", "spread ms", "agree ms");
    for (unsigned hosts : sizes) {
        auto shape = getSahyogShape(hosts);
        auto began = Clock::now();
        Cluster cluster(shape);
        cluster.beginAll();
        auto agree = getMs(Clock::now() - began);
        // All hosts joined at once: wait until that news has been told.
        std::this_thread::sleep_for(milliseconds(4000 + 700 * hosts));
        auto before = readControl(cluster);
        std::this_thread::sleep_for(milliseconds(10000));
        auto after = readControl(cluster);
        auto seconds = getMs(after.at - before.at) / 1000;
        auto perHost = [&](const char* name) { return static_cast<double>(after.counts[name] - before.counts[name]) / seconds / hosts; };
        double resident = 0;
        for (unsigned i = 0; i < hosts; ++i)
            resident = std::max(resident, getUsage(cluster.getHost(i).getId()).residentMb);
        auto spread = waitForVersion(cluster, applyChange(cluster, 3));
        fmt::print("{:>6} {:>7.2f} {:>12.1f} {:>12.0f} {:>8.0f} {:>10.0f} {:>9.0f} {:>10.0f} {:>9.0f} {:>13.0f} {:>15.2f} {:>11.0f} {:>10.0f}\n", hosts, 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / hosts, resident, perHost("exchange_bytes"), perHost("exchange_host_bytes"), perHost("exchange_record_bytes"), perHost("exchange_group_bytes"), perHost("probe_bytes"), perHost("confirmation_bytes"), perHost("platform_bytes"), static_cast<double>(after.platformCalls - before.platformCalls) / seconds, spread, agree);
        std::fflush(stdout);
    }
}

// ---- control by groups for each home ----

// Busy: each group gets about 240 statements a second, a third of them writes, over all hosts.
LoadResult loadGroups(Cluster& cluster, unsigned groups, milliseconds time)
{
    LoadShape load;
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
    fmt::print("3 hosts, each a home of all groups; figures of the mean host\n{:>7} {:>8} {:>8} {:>12} {:>10} {:>10} {:>12} {:>9}\n", "groups", "callers", "cpu %", "resident MB", "probes/s", "probe B/s", "confirm B/s", "served/s");
    for (unsigned count : { 1U, 4U, 8U, 16U }) {
        Shape shape;
        for (unsigned i = 0; i < count; ++i) {
            auto name = fmt::format("g{}", i);
            shape.groups.push_back({ name, { name + "-a", name + "-b", name + "-c" } });
        }
        Cluster cluster(shape);
        cluster.beginAll();
        std::this_thread::sleep_for(milliseconds(12000));
        for (bool isBusy : { false, true }) {
            auto before = readControl(cluster);
            double served = 0;
            if (isBusy)
                served = loadGroups(cluster, count, milliseconds(8000)).getRate();
            else
                std::this_thread::sleep_for(milliseconds(8000));
            auto after = readControl(cluster);
            auto seconds = getMs(after.at - before.at) / 1000;
            auto perHost = [&](const char* name) { return static_cast<double>(after.counts[name] - before.counts[name]) / seconds / 3; };
            fmt::print("{:>7} {:>8} {:>8.2f} {:>12.1f} {:>10.1f} {:>10.0f} {:>12.0f} {:>9.0f}\n", count, isBusy ? "busy" : "none", 100 * (after.cpuSeconds - before.cpuSeconds) / seconds / 3, getUsage(cluster.getHost(0).getId()).residentMb, perHost("probes"), perHost("probe_bytes"), perHost("confirmation_bytes"), served);
            std::fflush(stdout);
        }
    }
}

// ---- placement at the size of the target ----

void measurePlacement()
{
    using namespace alderward::decisions;
    fmt::print("{:>7} {:>22} {:>22}\n", "hosts", "us a group, all front", "us a group, 24 front");
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

// ---- overload ----

void measureOverload()
{
    auto shape = getSmallShape();
    shape.groups.front().acknowledge = "primary";
    Cluster cluster(shape);
    cluster.beginAll();
    for (auto& it : shape.groups.front().members)
        cluster.setMember(it, { { "serviceMs", 4 } });
    std::vector<std::string> addresses;
    for (unsigned i = 0; i < shape.hosts; ++i)
        addresses.push_back(cluster.getCallerAddress(i));
    fmt::print("writes of 4 ms on 2 slots: capacity about 500/s less overhead; deadline 500 ms; callers come back when told\n");
    fmt::print("{:>9} {:>10} {:>9} {:>9} {:>11} {:>9}\n", "callers", "served/s", "p50 ms", "p99 ms", "refused/s", "unknown");
    for (unsigned callers : { 2U, 4U, 10U, 20U, 100U, 300U, 600U }) {
        LoadShape load { addresses, callers, milliseconds(6000) };
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

// ---- a host that missed one change ----

// Retired records cost nothing but their place in the configuration.
void putRecords(Cluster& cluster, unsigned count, unsigned version)
{
    Client platform(cluster.getPlatformAddress());
    for (unsigned i = 0; i < count; ++i) {
        auto record = fmt::format(R"({{"schema":2,"members":[{{"name":"m","address":"127.0.0.1:9","dataCentre":"x"}}],"slots":{},"retired":true}})", version);
        auto value = alderward::decisions::formatEnvelope({ record, {} });
        platform.post("/admin/put", { { "key", fmt::format("alderward/groups/filler{}", i) }, { "value", value } });
    }
}

// Bytes that the fleet exchanges until a host that was cut off during one change has it.
void measureSync()
{
    fmt::print("9 hosts; one is cut off for 1.5 s while one record of many changes; all bytes of exchanges in the 6 s after that\n");
    fmt::print("{:>8} {:>12} {:>12} {:>12} {:>10}\n", "records", "of records", "of hosts", "in all", "quiet");
    for (unsigned count : { 100U, 1000U, 3000U }) {
        Cluster cluster(getSahyogShape(9));
        cluster.beginAll();
        putRecords(cluster, count, 1);
        std::this_thread::sleep_for(milliseconds(12000));
        auto quietBefore = readControl(cluster);
        std::this_thread::sleep_for(milliseconds(6000));
        auto quietAfter = readControl(cluster);
        unsigned host = 0;
        while (cluster.getStatus(host)["isWatcher"].as_bool())
            ++host;
        std::vector<std::string> all;
        for (unsigned i = 0; i < 9; ++i)
            all.push_back(cluster.getHostName(i));
        cluster.cutPeers(host, all);
        putRecords(cluster, 1, 2);
        std::this_thread::sleep_for(milliseconds(1500));
        cluster.cutPeers(host, {});
        auto before = readControl(cluster);
        std::this_thread::sleep_for(milliseconds(6000));
        auto after = readControl(cluster);
        auto n = [&](const char* name) { return after.counts[name] - before.counts[name]; };
        fmt::print("{:>8} {:>12} {:>12} {:>12} {:>10}\n", count, n("exchange_record_bytes"), n("exchange_host_bytes"), n("exchange_bytes"), quietAfter.counts["exchange_bytes"] - quietBefore.counts["exchange_bytes"]);
        std::fflush(stdout);
    }
}

// ---- an outage of the primary that nothing replaces ----

// Counters of all hosts once a second; the primary is frozen for ten seconds with promotions off, then wakes.
void measureStorm()
{
    auto shape = getSmallShape();
    shape.groups.front().promotion = R"({"mode":"off"})";
    Cluster cluster(shape);
    cluster.beginAll();
    for (auto& it : shape.groups.front().members)
        cluster.setMember(it, { { "serviceMs", 4 } });
    LoadShape load { {}, 60, milliseconds(30000) };
    for (unsigned i = 0; i < shape.hosts; ++i)
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

// ---- fairness ----

void printShare(const char* what, const LoadResult& result)
{
    fmt::print("{:<44} {:>9.0f} {:>8.1f} {:>8.1f} {:>10.0f}\n", what, result.getRate(), result.getQuantile(0.5), result.getQuantile(0.99), static_cast<double>(result.getFailures()) / result.seconds);
    std::fflush(stdout);
}

// A few callers beside a crowd: in another group, and of the other kind in the same group and at the same member.
void measureFairness()
{
    auto shape = getSmallShape();
    shape.groups.push_back({ "bills", { "bills-a", "bills-b", "bills-c" } });
    for (auto& it : shape.groups)
        it.acknowledge = "primary";
    Cluster cluster(shape);
    cluster.beginAll();
    for (auto& group : shape.groups) {
        for (auto& it : group.members)
            cluster.setMember(it, { { "serviceMs", 4 } });
    }
    auto makeLoad = [&](const char* group, bool isWrite, unsigned callers) {
        LoadShape load { {}, callers, milliseconds(6000) };
        for (unsigned i = 0; i < shape.hosts; ++i)
            load.addresses.push_back(cluster.getCallerAddress(i));
        load.obeysRetryAfter = true;
        load.makeBody = [group, isWrite](unsigned caller, uint64_t) {
            auto body = isWrite ? makeWrite(group, fmt::format("c{}", caller)) : json::object { { "group", group }, { "kind", "read" }, { "statement", "GET k" }, { "maximumAgeMs", 0 } };
            body["deadlineMs"] = 500;
            return body;
        };
        return load;
    };
    auto runTwo = [](const LoadShape& few, const LoadShape& crowd) {
        LoadResult results[2];
        std::jthread other([&] { results[1] = runLoad(crowd); });
        results[0] = runLoad(few);
        other.join();
        return std::pair(results[0], results[1]);
    };
    fmt::print("statements of 4 ms, 2 slots a member, deadline 500 ms, 6 s each; reads of age 0 go to the primary\n");
    fmt::print("{:<44} {:>9} {:>8} {:>8} {:>10}\n", "callers", "served/s", "p50 ms", "p99 ms", "refused/s");
    printShare("4 writers of bills, alone", runLoad(makeLoad("bills", true, 4)));
    auto [quiet, crowd] = runTwo(makeLoad("bills", true, 4), makeLoad("orders", true, 200));
    printShare("4 writers of bills, beside the next line", quiet);
    printShare("200 writers of orders", crowd);
    auto [writers, readers] = runTwo(makeLoad("orders", true, 4), makeLoad("orders", false, 200));
    printShare("4 writers of orders, beside the next line", writers);
    printShare("200 readers of orders' primary", readers);
    auto [fewReaders, manyWriters] = runTwo(makeLoad("orders", false, 4), makeLoad("orders", true, 200));
    printShare("4 readers of orders' primary, beside the next", fewReaders);
    printShare("200 writers of orders", manyWriters);
}

// ---- homes against every host connecting ----

void measureHomes()
{
    fmt::print("{:<10} {:<6} {:<8} {:>10} {:>10} {:>9} {:>9} {:>9} {:>9} {:>8}\n", "user", "hosts", "homes", "served/s", "opened", "refused", "p50 ms", "p99 ms", "failures", "wait p99");
    for (bool isSahyog : { true, false }) {
        for (unsigned hosts : { 7U, 9U }) {
            for (bool everyHost : { false, true }) {
                auto shape = isSahyog ? getSahyogShape(hosts) : getBatbayarShape(hosts);
                if (everyHost)
                    shape.extraSettings += "\n[peers]\nhomes_most = 1000\n";
                Cluster cluster(shape);
                cluster.beginAll();
                std::vector<std::string> addresses;
                for (unsigned i = 0; i < hosts; ++i)
                    addresses.push_back(cluster.getCallerAddress(i));
                for (auto& group : shape.groups) {
                    for (auto& it : group.members)
                        cluster.setMember(it, { { "serviceMs", 2 } });
                }
                LoadShape load { addresses, isSahyog ? 60U : 120U, milliseconds(5000) };
                load.pause = milliseconds(20);
                load.keepsSession = true;
                load.makeBody = [&](unsigned caller, uint64_t n) {
                    auto group = shape.groups[(caller / 3) % shape.groups.size()].name;
                    return n % 4 == 0 ? makeWrite(group, "k") : makeRead(group, "k");
                };
                auto result = runLoad(load);
                uint64_t opened = 0;
                uint64_t refused = 0;
                for (auto& group : shape.groups) {
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

// ---- no promotion without need ----

void measureQuiet(int seconds)
{
    auto shape = getSahyogShape(7);
    Cluster cluster(shape);
    cluster.beginAll();
    std::vector<std::string> addresses;
    for (unsigned i = 0; i < shape.hosts; ++i)
        addresses.push_back(cluster.getCallerAddress(i));
    std::jthread changer([&](std::stop_token token) {
        std::mt19937 random(3);
        while (!token.stop_requested()) {
            for (auto& group : shape.groups) {
                for (auto& it : group.members)
                    cluster.setMember(it, { { "lagMs", random() % 800 }, { "serviceMs", random() % 60 } });
            }
            std::this_thread::sleep_for(milliseconds(700));
        }
    });
    LoadShape load { addresses, 40, milliseconds(seconds * 1000) };
    load.pause = milliseconds(5);
    load.makeBody = [&](unsigned caller, uint64_t n) {
        auto group = shape.groups[caller % shape.groups.size()].name;
        return n % 3 == 0 ? makeWrite(group, "k") : makeRead(group, "k");
    };
    auto result = runLoad(load);
    fmt::print("{} s of load with members slowed to 0..60 ms and lagging 0..800 ms: {} statements served, {} promotions\n", seconds, result.latencies.size(), cluster.sumMetric("promotions"));
}

}

int main(int argc, char** argv)
{
    std::string what = argc > 1 ? argv[1] : "";
    int n = argc > 2 ? std::atoi(argv[2]) : 0;
    if (what == "throughput")
        measureThroughput(n ? static_cast<unsigned>(n) : 4);
    else if (what == "memory")
        measureMemory();
    else if (what == "reads")
        measureReadShare();
    else if (what == "gap")
        measureGap(n ? n : 20, argc > 3 ? argv[3] : "");
    else if (what == "records")
        measureRecords(n ? n : 100);
    else if (what == "control")
        measureControl(n ? std::vector<unsigned> { static_cast<unsigned>(n) } : std::vector<unsigned> { 9, 30, 60, 100 });
    else if (what == "groups")
        measureGroups();
    else if (what == "placement")
        measurePlacement();
    else if (what == "overload")
        measureOverload();
    else if (what == "sync")
        measureSync();
    else if (what == "storm")
        measureStorm();
    else if (what == "fairness")
        measureFairness();
    else if (what == "homes")
        measureHomes();
    else if (what == "quiet")
        measureQuiet(n ? n : 600);
    else {
        fmt::print(stderr, "usage: bench throughput [threads]|memory|reads|gap [runs] [fault]|records [changes]|control [hosts]|groups|placement|overload|sync|storm|fairness|homes|quiet [seconds]\n");
        return 2;
    }
}
