// Tests the quota rules one by one, and the quota protocol between hosts under failures in virtual time.
#include "decisions/quota.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
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

// A whole report of a host whose process has begun `begun` operations of the account without a grant, of which quota servers have charged `charged`.
QuotaReport makeReport(const std::string& host, uint64_t begun, uint64_t charged = 0, uint64_t returned = 0, uint64_t incarnation = 1)
{
    return { host, incarnation, true, false, { { kAccount, { begun, returned }, { charged, 0 } } } };
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
    std::map<int, size_t> askedByPriority {};
    std::map<int, size_t> refusedByPriority {};
    size_t requests { 0 }; // for grants

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
            removeHost(it.server, getConfiguration(), m_hosts[i].name, m_now);
        }
    }
    void isolate(size_t i, milliseconds time) { m_hosts[i].isolatedUntil = m_now + time; }

    // Submits an operation of the account to the host.
    void arrive(size_t i, int priority = 0)
    {
        auto& host = m_hosts[i];
        if (m_now < host.upSince)
            return;
        ++asked;
        ++askedByPriority[priority];
        switch (admitOperation(host.own, kAccount, priority, accounts.byName.at(kAccount).quota.value(), rule, m_hosts.size(), m_now)) {
        case Admission::Begin:
            begin(host, false);
            break;
        case Admission::Refuse:
            refuse(priority);
            break;
        case Admission::RequestGrant:
            ask(i, priority);
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

    void refuse(int priority)
    {
        ++refused;
        ++refusedByPriority[priority];
    }

    void begin(Host& host, bool isGranted)
    {
        recordOperation(host.own, kAccount, isGranted, m_now);
        begun.push_back(m_now);
    }

    void decideWithoutQuotaServer(Host& host, int priority)
    {
        if (beginWithoutQuotaServer(host.own, kAccount, accounts.byName.at(kAccount).quota.value(), rule, m_hosts.size(), m_now))
            begun.push_back(m_now);
        else
            refuse(priority);
    }

    void ask(size_t i, int priority)
    {
        ++requests;
        auto server = findQuotaServer(i);
        if (!server) {
            decideWithoutQuotaServer(m_hosts[i], priority);
            return;
        }
        auto k = *server;
        if (k != m_hosts[i].reportsTo)
            report(i);
        auto isDecided = std::make_shared<bool>(false);
        auto generation = m_hosts[i].generation;
        m_events.push({ m_now + milliseconds(150), ++m_lastEvent, [this, i, priority, generation, isDecided] {
                           if (!*isDecided && m_hosts[i].generation == generation)
                               decideWithoutQuotaServer(m_hosts[i], priority);
                           *isDecided = true;
                       } });
        send(i, k, [this, i, k, priority, isDecided] {
            auto grant = requestGrant(m_hosts[k].server, getConfiguration(), kAccount, priority, m_now);
            send(k, i, [this, i, priority, grant, isDecided] {
                if (*isDecided)
                    return;
                *isDecided = true;
                auto& host = m_hosts[i];
                if (!grant.isGranted) {
                    blockAccount(host.own, kAccount, priority, grant, m_now);
                    refuse(priority);
                    return;
                }
                m_events.push({ m_now + grant.startAfter, ++m_lastEvent, [this, i, generation = host.generation] {
                                   if (m_hosts[i].generation == generation)
                                       begin(m_hosts[i], true);
                               } });
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
        if (sweepQuotaServer(host.server, getConfiguration(), m_now))
            sendStrictAccounts(i);
    }

    void report(size_t i)
    {
        auto& host = m_hosts[i];
        host.reportedAt = m_now;
        auto used = host.own.accounts.find(kAccount);
        auto server = findQuotaServer(i);
        bool isNew = server != host.reportsTo;
        if (isNew && host.reportsTo)
            sendLeavingReport(i, *host.reportsTo);
        host.reportsTo = server;
        if (!server)
            return;
        auto k = *server;
        bool isWhole = isNew || !host.sentWholeReport.contains(k) || host.unansweredSince.contains(k);
        QuotaReport report { host.name, host.generation, isWhole, false, {} };
        if (used != host.own.accounts.end() && (used->second.isUnreported || isWhole))
            report.accounts.push_back(takeUsageReport(used->second, kAccount, m_now));
        host.sentWholeReport.insert(k);
        host.unansweredSince.try_emplace(k, m_now);
        host.sentAt[k] = m_now;
        send(i, k, [this, i, k, sentAt = m_now, report] {
            auto result = applyReport(m_hosts[k].server, getConfiguration(), report, m_now);
            if (result.hasStrictChanged)
                sendStrictAccounts(k);
            auto strict = getStrictAccounts(m_hosts[k].server);
            send(k, i, [this, i, k, sentAt, strict, report, isAccepted = result.isAccepted] {
                if (!isAccepted)
                    m_hosts[i].sentWholeReport.erase(k);
                for (auto& it : report.accounts) {
                    if (isAccepted)
                        acknowledgeReport(m_hosts[i].own, it.account, it.counts);
                }
                applyState(i, k, isAccepted ? std::optional(sentAt) : std::nullopt, strict);
            });
        });
    }

    void sendLeavingReport(size_t i, size_t k)
    {
        QuotaReport report { m_hosts[i].name, m_hosts[i].generation, false, true, {} };
        send(i, k, [this, k, report] {
            if (applyReport(m_hosts[k].server, getConfiguration(), report, m_now).hasStrictChanged)
                sendStrictAccounts(k);
        });
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
    BOOST_TEST(limits.pace >= 24);
    BOOST_TEST(limits.capacity >= 24);
    BOOST_TEST(limits.pace * 5 + limits.capacity + limits.reserve <= limits.hardLimit + 1e-9);
    BOOST_TEST(getQuotaLimits({ 0, 0 }, {}).hardLimit == 20);
}

// Guards against an account that stays strict, or never becomes strict, and against charging a repeated report twice.
BOOST_AUTO_TEST_CASE(an_account_is_strict_while_its_bucket_is_low)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 2 };
    QuotaServer server;
    auto reportAt = [&](TimePoint now, uint64_t begun) {
        bool hasChanged = applyReport(server, configuration, makeReport("a", begun), now).hasStrictChanged;
        return applyReport(server, configuration, makeReport("b", 0), now).hasStrictChanged || hasChanged;
    };
    BOOST_TEST(reportAt(kStart, 0));
    BOOST_TEST(getStrictAccounts(server) == std::vector<std::string>({ kAccount }), boost::test_tools::per_element());
    auto now = kStart;
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(250);
        reportAt(now, 0);
        sweepQuotaServer(server, configuration, now);
    }
    BOOST_TEST(getStrictAccounts(server).empty());
    auto limits = getQuotaLimits(kQuota, {});
    auto begun = static_cast<uint64_t>(limits.capacity * 0.6);
    BOOST_TEST(reportAt(now, begun));
    auto level = server.accounts.at(kAccount).bucket.level;
    BOOST_TEST(!reportAt(now, begun));
    BOOST_TEST(server.accounts.at(kAccount).bucket.level == level);
}

BOOST_AUTO_TEST_CASE(grants_stop_when_the_bucket_is_empty_and_resume_at_the_pace)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 1 };
    auto limits = getQuotaLimits(kQuota, {});
    QuotaServer server;
    unsigned granted = 0;
    auto takeAll = [&](TimePoint now) {
        QuotaGrant last;
        while ((last = requestGrant(server, configuration, kAccount, 0, now)).isGranted) {
            BOOST_TEST(last.startAfter.count() > 0);
            ++granted;
        }
        return last;
    };
    applyReport(server, configuration, makeReport("a", 0), kStart);
    BOOST_TEST(takeAll(kStart).blockedFor.count() > 0);
    BOOST_TEST(granted <= 0.1 * limits.pace); // a quota server that has just started knows nothing of earlier operations; these wait for their tokens
    for (int ms = 100; ms <= 2000; ms += 100) {
        applyReport(server, configuration, makeReport("a", 0), kStart + milliseconds(ms));
        sweepQuotaServer(server, configuration, kStart + milliseconds(ms));
        while (requestGrant(server, configuration, kAccount, 0, kStart + milliseconds(ms)).isGranted)
            ++granted;
    }
    BOOST_TEST(granted <= 2 * limits.pace);
    BOOST_TEST(granted + 1 >= 2 * limits.pace);
}

// Guards against admitting a share twice: one of two hosts moves to another quota server or goes silent.
BOOST_AUTO_TEST_CASE(the_bucket_shrinks_with_the_hosts_that_report)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 2 };
    auto capacity = getQuotaLimits(kQuota, {}).capacity;
    QuotaServer server;
    auto now = kStart;
    auto level = [&] { return server.accounts.at(kAccount).bucket.level; };
    auto runFor = [&](int ms, const std::vector<std::string>& hosts) {
        for (int i = 0; i < ms; i += 250) {
            now += milliseconds(250);
            for (auto& it : hosts)
                applyReport(server, configuration, makeReport(it, 0), now);
            sweepQuotaServer(server, configuration, now);
        }
    };
    runFor(5000, { "a", "b" });
    BOOST_TEST(level() == capacity);
    runFor(1250, { "a" });
    BOOST_TEST(level() == capacity / 2);
    BOOST_TEST(countReportingHosts(server, now) == 1u);
    runFor(250, { "a", "b" });
    BOOST_TEST(level() < capacity * 0.6); // a host that joins brings no tokens
    runFor(5000, { "a", "b" });
    auto leaving = makeReport("b", 0);
    leaving.isLeaving = true;
    applyReport(server, configuration, leaving, now);
    BOOST_TEST(level() == capacity / 2);
    runFor(5000, { "a", "b" });
    removeHost(server, configuration, "a", now);
    BOOST_TEST(level() == capacity / 2);
}

BOOST_AUTO_TEST_CASE(an_unknown_process_needs_a_whole_report)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 1 };
    QuotaServer server;
    auto report = makeReport("a", 5);
    report.isWhole = false;
    BOOST_TEST(!applyReport(server, configuration, report, kStart).isAccepted);
    BOOST_TEST(countReportingHosts(server, kStart) == 0u);
    report.isWhole = true;
    BOOST_TEST(applyReport(server, configuration, report, kStart).isAccepted);
    report.isWhole = false;
    BOOST_TEST(applyReport(server, configuration, report, kStart).isAccepted);
    BOOST_TEST(countReportingHosts(server, kStart) == 1u);
    report.incarnation = 2;
    BOOST_TEST(!applyReport(server, configuration, report, kStart).isAccepted);
}

// Guards against charging operations that began under a lease of another quota server or that it has charged, and against refunding one operation twice.
BOOST_AUTO_TEST_CASE(operations_are_charged_once_over_all_quota_servers)
{
    auto accounts = makeAccounts(10, 10);
    QuotaConfiguration configuration { {}, accounts, 1 };
    QuotaServer server;
    auto level = [&] { return server.accounts.at(kAccount).bucket.level; };
    applyReport(server, configuration, makeReport("a", 17, 14), kStart);
    BOOST_TEST(level() == 0);
    applyReport(server, configuration, makeReport("a", 20, 17), kStart);
    BOOST_TEST(level() == -3);
    applyReport(server, configuration, makeReport("a", 22, 17), kStart); // the acknowledgement of the report before was lost
    BOOST_TEST(level() == -5);
    applyReport(server, configuration, makeReport("a", 30, 28), kStart); // another quota server has charged 6
    BOOST_TEST(level() == -7);
    applyReport(server, configuration, makeReport("a", 30, 30, 2), kStart);
    applyReport(server, configuration, makeReport("a", 30, 30, 2), kStart);
    BOOST_TEST(level() == -5);
    applyReport(server, configuration, makeReport("a", 0, 0, 0, 2), kStart); // a new process counts from 0
    applyReport(server, configuration, makeReport("a", 4, 0, 0, 2), kStart);
    BOOST_TEST(level() == -9);
}

// Guards against an age that never falls again, which would make all later returns worthless, and against one that is lost with a report.
BOOST_AUTO_TEST_CASE(a_report_tells_the_age_of_the_returns_that_are_not_acknowledged)
{
    QuotaHost host;
    auto ageAt = [&](int ms) { return takeUsageReport(host.accounts[kAccount], kAccount, kStart + milliseconds(ms)).returnedAge.count(); };
    BOOST_TEST(ageAt(0) == 0);
    revertOperation(host, kAccount, false, kStart);
    BOOST_TEST(ageAt(1000) == 1000);
    revertOperation(host, kAccount, false, kStart + milliseconds(1100));
    BOOST_TEST(ageAt(1200) == 1200); // the first report was not acknowledged
    revertOperation(host, kAccount, false, kStart + milliseconds(1150)); // after the report that is acknowledged now
    acknowledgeReport(host, kAccount, { 0, 2 });
    BOOST_TEST(ageAt(1250) == 100);
    acknowledgeReport(host, kAccount, { 0, 3 });
    BOOST_TEST(ageAt(1300) == 0);
}

BOOST_AUTO_TEST_CASE(a_host_without_lease_runs_its_own_share)
{
    QuotaHost host;
    AccountQuota quota { 10, 10 };
    host.startedAt = kStart;
    auto admit = [&](TimePoint now) { return admitOperation(host, kAccount, 0, quota, {}, 4, now); };
    BOOST_TEST((admit(kStart) == Admission::RequestGrant));
    host.leaseStartedAt = kStart;
    BOOST_TEST((admit(kStart) == Admission::Begin));
    host.strictAccounts = { kAccount };
    BOOST_TEST((admit(kStart) == Admission::RequestGrant));
    host.strictAccounts = {};
    auto alone = kStart + kQuotaLeaseTime;
    BOOST_TEST((admit(alone) == Admission::RequestGrant));
    unsigned begun = 0;
    for (int ms = -1000; ms <= 4000; ms += 50)
        begun += beginWithoutQuotaServer(host, kAccount, quota, {}, 4, alone + milliseconds(ms)) ? 1 : 0;
    BOOST_TEST(begun <= getQuotaLimits(quota, {}).pace);
    BOOST_TEST(begun + 1 >= getQuotaLimits(quota, {}).pace);
    BOOST_TEST(!beginWithoutQuotaServer(host, kAccount, quota, {}, 300, alone + milliseconds(60000))); // one operation each would pass the bound
}

BOOST_AUTO_TEST_CASE(a_refusal_blocks_its_priority_and_less_urgent_ones)
{
    QuotaHost host;
    AccountQuota quota { 10, 10 };
    host.leaseStartedAt = kStart;
    blockAccount(host, kAccount, 1, { .blockedFor = milliseconds(100), .retryAfter = milliseconds(700) }, kStart);
    auto now = kStart + milliseconds(50);
    BOOST_TEST((admitOperation(host, kAccount, 0, quota, {}, 4, now) == Admission::Begin));
    BOOST_TEST((admitOperation(host, kAccount, 1, quota, {}, 4, now) == Admission::Refuse));
    BOOST_TEST((admitOperation(host, kAccount, 2, quota, {}, 4, now) == Admission::Refuse));
    BOOST_TEST(getRetryAfter(host, kAccount, 2, now).count() == 650);
    BOOST_TEST((admitOperation(host, kAccount, 2, quota, {}, 4, kStart + milliseconds(100)) == Admission::Begin));
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

// Guards against refusing an account after a restart of all hosts because earlier operations are unknown: one below its quota is admitted, one far above it gets
// its quota at once and steadily.
BOOST_AUTO_TEST_CASE(a_restart_of_all_hosts_refuses_nothing_below_the_quota)
{
    for (double load : { 0.625, 3.0 }) {
        for (double rate : { 2.0, 24.0, 128.0 }) {
            size_t hosts = 74;
            Fleet fleet(7, hosts, rate, rate);
            fleet.runUntil(kStart);
            auto pick = [&] { return fleet.random() % hosts; };
            simulate(fleet, milliseconds(6000), load * rate, pick);
            for (size_t i = 0; i < hosts; ++i)
                fleet.kill(i, milliseconds(500), false); // nobody is left to notice
            simulate(fleet, milliseconds(1500), load * rate, pick);
            for (int window = 0; window < 4; ++window) {
                auto refused = fleet.refused;
                auto before = fleet.begun.size();
                simulate(fleet, milliseconds(2000), load * rate, pick);
                auto owed = 0.95 * 2 * rate;
                if (load < 1)
                    BOOST_TEST(fleet.refused == refused, rate << "/s, window " << window << ": " << fleet.refused - refused << " refused");
                else
                    BOOST_TEST(static_cast<double>(fleet.begun.size() - before + 1) >= owed, rate << "/s, window " << window << ": " << fleet.begun.size() - before << " of " << owed);
            }
            BOOST_TEST(static_cast<double>(fleet.getMaxInWindow()) <= getHardLimit(fleet));
        }
    }
}

// Three kinds of operations of an account above its quota: the most urgent one is refused nothing while it fits, and the least urgent one does not starve.
BOOST_AUTO_TEST_CASE(an_account_above_its_quota_serves_its_urgent_operations)
{
    for (double load : { 1.2, 2.0, 4.7, 7.5 }) {
        double rate = 40;
        size_t hosts = 74;
        Fleet fleet(11, hosts, rate, rate);
        fleet.runUntil(kStart);
        auto run = [&](milliseconds time) {
            auto end = fleet.getNow() + time;
            auto next = fleet.getNow();
            while (fleet.getNow() < end) {
                fleet.runUntil(fleet.getNow() + milliseconds(5));
                while (next <= fleet.getNow()) {
                    auto kind = std::uniform_real_distribution<>()(fleet.random);
                    fleet.arrive(fleet.random() % hosts, kind < 0.13 ? 0 : kind < 0.76 ? 1
                                                                                       : 2);
                    next += duration_cast<microseconds>(std::chrono::duration<double>(std::exponential_distribution<>(load * rate / 1.6)(fleet.random)));
                }
            }
        };
        run(milliseconds(1500));
        fleet.askedByPriority.clear();
        fleet.refusedByPriority.clear();
        run(milliseconds(10000));
        auto served = [&](int priority) { return 1 - static_cast<double>(fleet.refusedByPriority[priority]) / static_cast<double>(fleet.askedByPriority[priority]); };
        BOOST_TEST_MESSAGE(load << " times: served " << served(0) << " " << served(1) << " " << served(2) << ", " << fleet.requests << " requests");
        BOOST_TEST(fleet.refusedByPriority[0] == 0u, load << " times");
        BOOST_TEST(served(2) >= 0.02, load << " times: " << served(2));
        if (load == 1.2)
            BOOST_TEST(fleet.refused == 0u);
        BOOST_TEST(static_cast<double>(fleet.getMaxInWindow()) <= getHardLimit(fleet));
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

// One operation at each host at the same time, after a time without load: each host may begin one without a grant. Guards against hosts that together begin more
// than the reserve covers.
BOOST_AUTO_TEST_CASE(operations_at_all_hosts_at_once_stay_within_the_bound)
{
    for (double rate : { 2.0, 24.0, 128.0 }) {
        size_t hosts = 74;
        Fleet fleet(3, hosts, rate, rate);
        fleet.runUntil(kStart);
        for (int round = 0; round < 25; ++round) {
            for (size_t i = 0; i < hosts; ++i)
                fleet.arrive(i);
            fleet.runUntil(fleet.getNow() + milliseconds(200));
        }
        BOOST_TEST(static_cast<double>(fleet.getMaxInWindow()) <= getHardLimit(fleet), rate << "/s: " << fleet.getMaxInWindow() << " of " << getHardLimit(fleet));
    }
}

// Operations that are returned long after they were granted, as while members fail and statements wait for their whole deadline. Guards against refunds that bring
// tokens of an earlier window into the present one.
BOOST_AUTO_TEST_CASE(operations_returned_late_do_not_raise_a_window_above_its_bound)
{
    for (double rate : { 2.0, 24.0, 128.0 }) {
        for (int returnedAfterMs : { 250, 1000, 2000, 4000 }) {
            auto accounts = makeAccounts(rate, rate);
            QuotaConfiguration configuration { {}, accounts, 1 };
            auto limits = getQuotaLimits(*findQuota(accounts, kAccount), {});
            QuotaServer server;
            QuotaHost host;
            std::deque<TimePoint> waiting; // granted operations that will be returned
            std::vector<TimePoint> begun;
            auto recoversAt = kStart + milliseconds(10000);
            for (auto now = kStart; now < kStart + milliseconds(20000); now += milliseconds(5)) {
                while (!waiting.empty() && waiting.front() <= now) {
                    revertOperation(host, kAccount, false, waiting.front() - milliseconds(returnedAfterMs));
                    waiting.pop_front();
                }
                if ((now - kStart) % milliseconds(250) == milliseconds(0)) {
                    auto usage = takeUsageReport(host.accounts[kAccount], kAccount, now);
                    applyReport(server, configuration, { "a", 1, true, false, { usage } }, now);
                    acknowledgeReport(host, kAccount, usage.counts);
                    sweepQuotaServer(server, configuration, now);
                }
                while (requestGrant(server, configuration, kAccount, 0, now).isGranted) {
                    if (now < recoversAt)
                        waiting.push_back(now + milliseconds(returnedAfterMs));
                    else
                        begun.push_back(now);
                }
            }
            size_t most = 0;
            for (size_t i = 0, first = 0; i < begun.size(); ++i) {
                while (begun[i] - begun[first] >= milliseconds(5000))
                    ++first;
                most = std::max(most, i - first + 1);
            }
            BOOST_TEST(static_cast<double>(most) <= limits.hardLimit, rate << "/s, returned after " << returnedAfterMs << " ms: " << most << " of " << limits.hardLimit);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
