// Tests the quota rules one by one, and the quota protocol between hosts under failures in virtual time.
#include "decisions/quota.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <queue>
#include <random>

using namespace alderward::decisions;
using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const std::string kAccount = "mill";
const AccountQuota kQuota { 10, 10 }; // 86 operations in any 5 s

Accounts makeAccounts(double perSecond, double burst)
{
    Accounts accounts;
    accounts.byName[kAccount] = { kAccount, AccountQuota { perSecond, burst } };
    return accounts;
}

QuotaReport makeReport(const std::string& host, TimePoint now, std::vector<std::pair<int, unsigned>> buckets, uint64_t grantsTaken = 0, milliseconds covered = milliseconds(5000))
{
    QuotaReport report { host, now - covered, true, { { kAccount, {}, grantsTaken } } };
    for (auto& [ageMs, count] : buckets)
        report.accounts[0].history.push_back({ now - milliseconds(ageMs), count });
    return report;
}

// Simulates hosts that apply the quota rules like gateway/quota_exchange.cpp, for one account. Each host uses the first host that it considers up as its quota server.
class Fleet {
public:
    struct Host {
        std::string name;
        QuotaHost own {};
        QuotaServer server {};
        TimePoint startedAt {};
        TimePoint upSince {};
        TimePoint isolatedUntil {}; // from all other hosts
        TimePoint reportedAt {};
        unsigned generation { 0 };
        std::map<size_t, TimePoint> unansweredSince {}; // by quota server
        std::map<size_t, TimePoint> sentAt {};
        std::optional<size_t> reportsTo {}; // quota server
        std::map<size_t, uint64_t> grantsTaken {};
        std::set<size_t> sentWholeReport {};
    };

    Fleet(unsigned seed, size_t hosts, double perSecond, double burst)
        : random(seed)
        , accounts(makeAccounts(perSecond, burst))
        , m_hosts(hosts)
    {
        for (size_t i = 0; i < hosts; ++i) {
            m_hosts[i].name = "h" + std::to_string(i);
            startHost(i, kStart - milliseconds(8000));
        }
    }

    std::mt19937 random;
    Accounts accounts;
    QuotaRule rule {};
    std::vector<TimePoint> begun {};
    size_t asked { 0 };
    size_t refused { 0 };

    size_t getSize() const { return m_hosts.size(); }
    // `isNoticed`: its connections break, so the other hosts notice at once.
    void kill(size_t i, milliseconds downFor, bool isNoticed)
    {
        startHost(i, m_now + downFor);
        for (auto& it : m_hosts) {
            if (!isNoticed)
                break;
            it.unansweredSince[i] = m_now - milliseconds(601);
            it.sentAt[i] = m_now;
        }
    }
    void isolate(size_t i, milliseconds time) { m_hosts[i].isolatedUntil = m_now + time; }

    // Submits an operation of the account to the host.
    void arrive(size_t i)
    {
        auto& host = m_hosts[i];
        if (m_now < host.upSince)
            return;
        ++asked;
        switch (admitOperation(host.own, kAccount, accounts.byName.at(kAccount).quota.value(), rule, m_hosts.size(), m_now)) {
        case Admission::Begin:
            begin(host);
            break;
        case Admission::Refuse:
            ++refused;
            break;
        case Admission::RequestGrant:
            ask(i);
        }
    }

    void runUntil(TimePoint until)
    {
        while (m_now < until) {
            m_now += milliseconds(5);
            while (!m_events.empty() && m_events.top().at <= m_now) {
                auto event = m_events.top();
                m_events.pop();
                event.run();
            }
            for (size_t i = 0; i < m_hosts.size(); ++i)
                sweep(i);
        }
    }
    TimePoint getNow() const { return m_now; }

    // Returns the maximum number of operations that began within any window.
    size_t getMaxInWindow() const
    {
        auto sorted = begun;
        std::ranges::sort(sorted);
        size_t most = 0;
        size_t first = 0;
        for (size_t i = 0; i < sorted.size(); ++i) {
            while (sorted[i] - sorted[first] >= rule.window)
                ++first;
            most = std::max(most, i - first + 1);
        }
        return most;
    }

private:
    struct Event {
        TimePoint at;
        uint64_t number;
        std::function<void()> run;
        bool operator<(const Event& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
    };

    QuotaConfiguration getConfiguration() const { return { rule, accounts, m_hosts.size() }; }

    void startHost(size_t i, TimePoint at)
    {
        auto& host = m_hosts[i];
        auto isolatedUntil = host.isolatedUntil;
        auto generation = host.generation + 1;
        host = Host { host.name };
        host.generation = generation;
        host.isolatedUntil = isolatedUntil;
        host.startedAt = at;
        host.upSince = at;
        host.own.startedAt = at;
        host.server.storedNearQuota = m_persisted;
    }

    bool isUp(size_t i) const { return m_now >= m_hosts[i].upSince; }
    bool isConnected(size_t a, size_t b) const { return a == b || (isUp(a) && isUp(b) && m_now >= m_hosts[a].isolatedUntil && m_now >= m_hosts[b].isolatedUntil); }

    // Delivers a message with a delay, unless either host is isolated or restarts before delivery.
    void send(size_t from, size_t to, std::function<void()> deliver)
    {
        if (from == to) {
            deliver();
            return;
        }
        if (!isConnected(from, to))
            return;
        auto delay = milliseconds(std::uniform_int_distribution<int>(1, 20)(random));
        m_events.push({ m_now + delay, ++m_lastEvent, [this, from, to, generations = std::pair(m_hosts[from].generation, m_hosts[to].generation), deliver = std::move(deliver)] {
                           if (isConnected(from, to) && generations == std::pair(m_hosts[from].generation, m_hosts[to].generation))
                               deliver();
                       } });
    }

    std::optional<size_t> findQuotaServer(size_t i) const
    {
        auto& host = m_hosts[i];
        for (size_t k = 0; k < m_hosts.size(); ++k) {
            auto unanswered = host.unansweredSince.find(k);
            bool hasTimedOut = unanswered != host.unansweredSince.end() && m_now - unanswered->second > milliseconds(600);
            bool isSkipped = hasTimedOut && m_now - host.sentAt.at(k) < milliseconds(2000);
            bool isIsolated = k == i && m_hosts.size() > 1 && !hasOtherReportingHost(host.server, host.name, m_now);
            if (!isSkipped && !isIsolated)
                return k;
        }
        return std::nullopt;
    }

    void begin(Host& host)
    {
        recordOperation(host.own, kAccount, m_now);
        begun.push_back(m_now);
    }

    void decideWithoutQuotaServer(Host& host)
    {
        if (mayBeginWithoutQuotaServer(host.own, kAccount, accounts.byName.at(kAccount).quota.value(), rule, m_hosts.size(), m_now))
            begin(host);
        else
            ++refused;
    }

    void ask(size_t i)
    {
        auto server = findQuotaServer(i);
        if (!server) {
            decideWithoutQuotaServer(m_hosts[i]);
            return;
        }
        auto k = *server;
        if (k != m_hosts[i].reportsTo)
            report(i);
        auto isDecided = std::make_shared<bool>(false);
        auto generation = m_hosts[i].generation;
        m_events.push({ m_now + milliseconds(150), ++m_lastEvent, [this, i, generation, isDecided] {
                           if (!*isDecided && m_hosts[i].generation == generation)
                               decideWithoutQuotaServer(m_hosts[i]);
                           *isDecided = true;
                       } });
        send(i, k, [this, i, k, isDecided] {
            auto grant = requestGrant(m_hosts[k].server, getConfiguration(), m_hosts[i].name, kAccount, m_now);
            send(k, i, [this, i, k, grant, isDecided] {
                if (*isDecided)
                    return;
                *isDecided = true;
                auto& host = m_hosts[i];
                if (!grant.isGranted) {
                    blockAccount(host.own, kAccount, grant.blockedFor, m_now);
                    ++refused;
                    return;
                }
                host.grantsTaken[k] = std::max(host.grantsTaken[k], grant.number);
                begin(host);
            });
        });
    }

    void sweep(size_t i)
    {
        auto& host = m_hosts[i];
        if (!isUp(i))
            return;
        auto used = host.own.accounts.find(kAccount);
        bool isChanged = used != host.own.accounts.end() && used->second.isUnreported;
        if (findQuotaServer(i) != host.reportsTo || m_now - host.reportedAt >= (isChanged ? kQuotaReportInterval : kQuotaIdleReportInterval))
            report(i);
        if (m_now.time_since_epoch() % milliseconds(250) != milliseconds(0))
            return;
        pruneUsage(host.own, rule, m_now);
        if (sweepQuotaServer(host.server, getConfiguration(), m_now))
            sendStrictAccounts(i);
        persistNearQuota(i);
    }

    void persistNearQuota(size_t i)
    {
        auto near = getNearQuotaAccounts(m_hosts[i].server, m_now);
        bool mayForget = m_hosts[i].reportsTo == i && m_now - m_hosts[i].startedAt > rule.window + milliseconds(1000);
        if (std::ranges::includes(m_persisted, near) && !mayForget)
            return;
        m_persisted = near;
        for (auto& it : m_hosts)
            it.server.storedNearQuota = m_persisted;
    }

    void report(size_t i)
    {
        auto& host = m_hosts[i];
        host.reportedAt = m_now;
        auto used = host.own.accounts.find(kAccount);
        auto server = findQuotaServer(i);
        bool isNew = server != host.reportsTo;
        host.reportsTo = server;
        if (!server)
            return;
        auto k = *server;
        bool isWhole = isNew || !host.sentWholeReport.contains(k) || host.unansweredSince.contains(k);
        QuotaReport report { host.name, std::max(host.startedAt, m_now - rule.window), isWhole, {} };
        if (used != host.own.accounts.end() && (used->second.isUnreported || isWhole)) {
            report.accounts.push_back({ kAccount, {}, host.grantsTaken[k] });
            for (auto& it : used->second.history) {
                if (m_now - it.at <= rule.window)
                    report.accounts[0].history.push_back(it);
            }
        }
        host.sentWholeReport.insert(k);
        host.unansweredSince.try_emplace(k, m_now);
        host.sentAt[k] = m_now;
        send(i, k, [this, i, k, sentAt = m_now, report] {
            auto result = applyReport(m_hosts[k].server, getConfiguration(), report, m_now);
            if (result.hasStrictChanged)
                sendStrictAccounts(k);
            if (result.hasNewNearQuota)
                persistNearQuota(k);
            auto strict = getStrictAccounts(m_hosts[k].server);
            send(k, i, [this, i, k, sentAt, strict, isAccepted = result.isAccepted] {
                if (!isAccepted)
                    m_hosts[i].sentWholeReport.erase(k);
                applyState(i, k, isAccepted ? std::optional(sentAt) : std::nullopt, strict);
            });
        });
        if (used != host.own.accounts.end())
            used->second.isUnreported = false;
    }

    void applyState(size_t i, size_t k, std::optional<TimePoint> sentAt, const std::vector<std::string>& strict)
    {
        auto& host = m_hosts[i];
        if (sentAt && *sentAt == host.sentAt[k])
            host.unansweredSince.erase(k);
        if (host.reportsTo != k)
            return;
        host.own.strictAccounts = { strict.begin(), strict.end() };
        if (sentAt)
            host.own.leaseStartedAt = std::max(host.own.leaseStartedAt, *sentAt);
    }

    void sendStrictAccounts(size_t k)
    {
        auto strict = getStrictAccounts(m_hosts[k].server);
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            if (m_hosts[i].sentAt.contains(k))
                send(k, i, [this, i, k, strict] { applyState(i, k, std::nullopt, strict); });
        }
    }

    std::vector<Host> m_hosts;
    std::set<std::string> m_persisted {}; // accounts, in the platform's store
    std::priority_queue<Event> m_events;
    uint64_t m_lastEvent { 0 };
    TimePoint m_now { kStart - milliseconds(8000) };
};

// Submits operations at a rate of `perSecond`, each to the host that `pick` returns.
void simulate(Fleet& fleet, milliseconds time, double perSecond, const std::function<size_t()>& pick)
{
    auto end = fleet.getNow() + time;
    auto next = fleet.getNow();
    while (fleet.getNow() < end) {
        fleet.runUntil(fleet.getNow() + milliseconds(5));
        while (next <= fleet.getNow()) {
            fleet.arrive(pick());
            next += duration_cast<microseconds>(std::chrono::duration<double>(std::exponential_distribution<>(perSecond)(fleet.random)));
        }
    }
}

double getHardLimit(const Fleet& fleet)
{
    return getQuotaLimits(*findQuota(fleet.accounts, kAccount), fleet.rule).hardLimit;
}

}

BOOST_AUTO_TEST_SUITE(quota)

BOOST_AUTO_TEST_CASE(limits_follow_from_rate_burst_and_tolerance)
{
    auto limits = getQuotaLimits({ 24, 24 }, {});
    BOOST_TEST(limits.hardLimit == 24 * 6 * 1.1 + 20);
    BOOST_TEST(limits.admissionLimit < limits.hardLimit);
    BOOST_TEST(limits.admissionLimit >= 24 * 6);
    BOOST_TEST(getQuotaLimits({ 0, 0 }, {}).hardLimit == 20);
}

BOOST_AUTO_TEST_CASE(usage_is_kept_in_buckets_and_expires_slightly_late_at_most)
{
    UsageHistory history;
    for (int ms = 0; ms < 1000; ++ms)
        addUsage(history, kStart + milliseconds(ms));
    BOOST_TEST(history.size() <= 20u);
    BOOST_TEST(countUsage(history, kStart - milliseconds(1), kStart + milliseconds(1000)) == 1000u);
    for (int ms = 0; ms < 1000; ms += 37) {
        auto counted = countUsage(history, kStart + milliseconds(ms), kStart + milliseconds(1000));
        BOOST_TEST(counted >= 1000u - static_cast<unsigned>(ms) - 1);
        BOOST_TEST(counted <= 1000u - static_cast<unsigned>(ms) + 200);
    }
    removeLatestUsage(history);
    BOOST_TEST(countUsage(history, kStart - milliseconds(1), kStart + milliseconds(1000)) == 999u);
}

BOOST_AUTO_TEST_CASE(an_account_is_strict_while_near_its_quota)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 2 };
    QuotaServer server;
    applyReport(server, configuration, makeReport("b", kStart, {}), kStart);
    BOOST_TEST(!applyReport(server, configuration, makeReport("a", kStart, { { 1000, 30 } }), kStart).hasStrictChanged);
    BOOST_TEST(applyReport(server, configuration, makeReport("b", kStart, { { 500, 30 } }), kStart).hasStrictChanged);
    BOOST_TEST(getStrictAccounts(server) == std::vector<std::string>({ kAccount }), boost::test_tools::per_element());
    applyReport(server, configuration, makeReport("b", kStart, { { 500, 30 } }), kStart); // a duplicate report is counted once
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, kStart).used == 60);
    for (int i = 1; i <= 50; ++i) { // both continue to report
        auto now = kStart + milliseconds(100 * i);
        for (auto* host : { "a", "b" })
            applyReport(server, configuration, QuotaReport { host, now - milliseconds(5000), false, {} }, now);
    }
    BOOST_TEST(sweepQuotaServer(server, configuration, kStart + milliseconds(5000)));
    BOOST_TEST(getStrictAccounts(server).empty());
}

BOOST_AUTO_TEST_CASE(grants_stop_at_the_admission_limit_and_are_counted_once)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 1 };
    QuotaServer server;
    applyReport(server, configuration, makeReport("a", kStart, {}), kStart);
    unsigned granted = 0;
    QuotaGrant last;
    while ((last = requestGrant(server, configuration, "a", kAccount, kStart)).isGranted)
        ++granted;
    auto limits = getQuotaLimits({ 10, 10 }, {});
    BOOST_TEST(granted <= limits.admissionLimit);
    BOOST_TEST(granted + 1 > limits.admissionLimit);
    BOOST_TEST(last.blockedFor.count() > 0);
    applyReport(server, configuration, makeReport("a", kStart, { { 0, granted } }, granted), kStart);
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, kStart).used == granted);
}

// Guards against granting the usage that a silent host may still begin: its last reported usage, and at least its share, until it expires.
BOOST_AUTO_TEST_CASE(usage_stays_reserved_for_a_silent_host)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 2 };
    auto admissionLimit = getQuotaLimits(kQuota, {}).admissionLimit;
    QuotaServer server;
    applyReport(server, configuration, makeReport("a", kStart, { { 100, 60 } }), kStart);
    applyReport(server, configuration, makeReport("b", kStart, {}), kStart);
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, kStart).used == 60);
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, kStart).limit == admissionLimit);
    auto later = kStart + milliseconds(6000);
    applyReport(server, configuration, makeReport("b", later, {}), later);
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, later).used == 0);
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, later).limit == admissionLimit - 60);
    later = kStart + kQuotaSilentHostTimeout;
    applyReport(server, configuration, makeReport("b", later, {}), later);
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, later).limit == admissionLimit / 2);
    configuration.hostCount = 1;
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, later).limit == admissionLimit);
}

BOOST_AUTO_TEST_CASE(an_unknown_host_needs_a_whole_report)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 1 };
    QuotaServer server;
    auto report = makeReport("a", kStart, { { 100, 5 } });
    report.isWhole = false;
    BOOST_TEST(!applyReport(server, configuration, report, kStart).isAccepted);
    BOOST_TEST(countReportingHosts(server, kStart) == 0u);
    report.isWhole = true;
    BOOST_TEST(applyReport(server, configuration, report, kStart).isAccepted);
    report.isWhole = false;
    BOOST_TEST(applyReport(server, configuration, report, kStart).isAccepted);
    BOOST_TEST(countReportingHosts(server, kStart) == 1u);
}

BOOST_AUTO_TEST_CASE(usage_reported_before_a_restart_still_counts)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 1 };
    QuotaServer server;
    applyReport(server, configuration, makeReport("a", kStart, { { 100, 20 } }), kStart);
    auto later = kStart + milliseconds(1000);
    applyReport(server, configuration, makeReport("a", later, { { 50, 3 } }, 0, milliseconds(400)), later);
    BOOST_TEST(getQuotaBudget(server, configuration, kAccount, kQuota, later).used == 23);
}

BOOST_AUTO_TEST_CASE(usage_before_a_host_started_is_estimated_for_a_window)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 10 };
    QuotaServer server;
    auto admissionLimit = getQuotaLimits(kQuota, {}).admissionLimit;
    auto reportAll = [&](int ms) {
        for (int i = 0; i < 10; ++i)
            applyReport(server, configuration, makeReport("h" + std::to_string(i), kStart + milliseconds(ms), {}, 0, milliseconds(ms)), kStart + milliseconds(ms));
        return getQuotaBudget(server, configuration, kAccount, kQuota, kStart + milliseconds(ms)).used;
    };
    BOOST_TEST(reportAll(0) > 0.45 * admissionLimit);
    BOOST_TEST(reportAll(0) < 0.7 * admissionLimit); // leaves room for operations
    BOOST_TEST(reportAll(4900) == reportAll(0));
    BOOST_TEST(reportAll(5000) == 0);
    server.hosts.clear();
    server.storedNearQuota = { kAccount }; // the whole quota may have been used before the restart
    BOOST_TEST(reportAll(0) > 0.99 * admissionLimit);
    BOOST_TEST(reportAll(4900) > 0.99 * admissionLimit);
    BOOST_TEST(reportAll(5000) == 0);
}

BOOST_AUTO_TEST_CASE(a_host_without_lease_is_limited_to_its_last_reported_usage)
{
    QuotaHost host;
    AccountQuota quota { 10, 10 };
    BOOST_TEST((admitOperation(host, kAccount, quota, {}, 91, kStart) == Admission::RequestGrant));
    host.leaseStartedAt = kStart;
    BOOST_TEST((admitOperation(host, kAccount, quota, {}, 91, kStart) == Admission::Begin));
    host.strictAccounts = { kAccount };
    BOOST_TEST((admitOperation(host, kAccount, quota, {}, 91, kStart) == Admission::RequestGrant));
    host.strictAccounts = {};
    for (int i = 0; i < 4; ++i)
        recordOperation(host, kAccount, kStart - milliseconds(100));
    auto alone = kStart + milliseconds(5500);
    BOOST_TEST((admitOperation(host, kAccount, quota, {}, 91, alone) == Admission::RequestGrant));
    unsigned begun = 0;
    while (begun < 20 && mayBeginWithoutQuotaServer(host, kAccount, quota, {}, 91, alone)) {
        recordOperation(host, kAccount, alone);
        ++begun;
    }
    BOOST_TEST(begun == 4u);
    blockAccount(host, kAccount, milliseconds(100), alone);
    BOOST_TEST((admitOperation(host, kAccount, quota, {}, 91, alone) == Admission::Refuse));
}

// An account at 90 % of its quota is hardly refused, whether its operations arrive at all hosts, at one host or at changing hosts.
BOOST_AUTO_TEST_CASE(an_account_below_its_quota_is_admitted)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        Fleet everywhere(seed, 91, 24, 24);
        everywhere.runUntil(kStart);
        simulate(everywhere, milliseconds(20000), 21.6, [&] { return everywhere.random() % 91; });
        BOOST_TEST(everywhere.refused <= everywhere.asked / 100, "seed " << seed << ": " << everywhere.refused << " of " << everywhere.asked);
        Fleet oneHost(seed, 91, 24, 24);
        oneHost.runUntil(kStart);
        simulate(oneHost, milliseconds(20000), 21.6, [] { return 7; });
        BOOST_TEST(oneHost.refused <= oneHost.asked / 100, "seed " << seed);
        Fleet moving(seed, 91, 24, 24);
        moving.runUntil(kStart);
        simulate(moving, milliseconds(20000), 21.6, [&] { return static_cast<size_t>((moving.getNow() - kStart) / milliseconds(1000)) % 91; });
        BOOST_TEST(moving.refused <= moving.asked / 100, "seed " << seed);
    }
}

// An account whose load jumps far above its quota is served at its quota, and no window exceeds the hard limit.
BOOST_AUTO_TEST_CASE(an_overloaded_account_gets_its_quota_and_no_more)
{
    for (size_t hosts : { 3, 91, 300 }) {
        for (double rate : { 2.0, 24.0, 128.0 }) {
            Fleet fleet(static_cast<unsigned>(hosts), hosts, rate, rate);
            fleet.runUntil(kStart);
            simulate(fleet, milliseconds(6000), rate / 1.6, [&] { return fleet.random() % hosts; });
            auto before = fleet.begun.size();
            simulate(fleet, milliseconds(10000), 7.5 * rate / 1.6, [&] { return fleet.random() % hosts; });
            BOOST_TEST(static_cast<double>(fleet.getMaxInWindow()) <= getHardLimit(fleet), hosts << " hosts, " << rate << "/s: " << fleet.getMaxInWindow() << " of " << getHardLimit(fleet));
            BOOST_TEST(static_cast<double>(fleet.begun.size() - before) >= 0.99 * 10 * rate, hosts << " hosts, " << rate << "/s: " << fleet.begun.size() - before);
        }
    }
}

// Kills, isolates and restarts random hosts under changing load; each host fails in each way with a probability of about 1/`rarity` per step.
// Returns whether no window exceeded the hard limit.
static bool simulateFailures(unsigned seed, int rarity)
{
    size_t hosts = 3 + seed % 40;
    double rate = 2 + seed % 7 * 12;
    Fleet fleet(seed, hosts, rate, rate);
    fleet.runUntil(kStart);
    auto pickInt = [&](int least, int most) { return std::uniform_int_distribution<int>(least, most)(fleet.random); };
    for (int step = 0; step < 20; ++step) {
        for (size_t i = 0; i < hosts; ++i) {
            auto time = milliseconds(pickInt(300, 3000));
            bool isNoticed = pickInt(0, 1) == 0;
            if (pickInt(0, rarity) == 0)
                fleet.kill(i, time, isNoticed);
            else if (pickInt(0, rarity) == 0)
                fleet.isolate(i, milliseconds(pickInt(500, 8000)));
        }
        if (pickInt(0, 25) == 0) {
            for (size_t i = 0; i < hosts; ++i)
                fleet.kill(i, milliseconds(pickInt(1300, 1600)), true);
        }
        std::vector<double> loadFactors { 0.1, 1, 1, 1, 2, 4.5, 7.5 };
        auto load = rate / 1.6 * loadFactors[static_cast<size_t>(pickInt(0, 6))];
        simulate(fleet, milliseconds(pickInt(200, 2500)), load, [&] { return fleet.random() % hosts; });
    }
    bool holds = static_cast<double>(fleet.getMaxInWindow()) <= getHardLimit(fleet);
    BOOST_TEST(holds, "seed " << seed << ": " << hosts << " hosts, " << rate << "/s: " << fleet.getMaxInWindow() << " of " << getHardLimit(fleet));
    return holds;
}

BOOST_AUTO_TEST_CASE(failures_now_and_then_let_no_window_pass_its_bound)
{
    for (unsigned seed = 1; seed <= 200; ++seed)
        simulateFailures(seed, 300);
}

// Several hosts fail at the same time, in a small fleet most of them.
BOOST_AUTO_TEST_CASE(no_chain_of_failures_lets_a_window_pass_its_bound)
{
    unsigned passed = 0;
    for (unsigned seed = 1; seed <= 200; ++seed)
        passed += simulateFailures(seed, 30) ? 1 : 0;
    BOOST_TEST(passed == 200u);
}

BOOST_AUTO_TEST_SUITE_END()
