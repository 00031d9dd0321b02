#include "decisions/quota.h"
#include <algorithm>
#include <chrono>

namespace alderward::decisions {

static constexpr milliseconds kUsageBucketWidth { 100 };
static constexpr double kSilentHostReserve = 0.6; // of the tolerance
static constexpr double kStrictEnterRatio = 0.6; // of the budget's limit; the rest absorbs operations that begin before all hosts know that the account is strict
static constexpr double kMaxUnreportedRatio = 0.35; // of the admission limit
static constexpr double kStrictLeaveRatio = 0.5; // below kStrictEnterRatio, so that accounts do not alternate between strict and not strict
static constexpr milliseconds kReportTimeout { 750 }; // longer than the report interval, shorter than the lease
static constexpr double kMaxUnknownRatio = 0.5; // of a host's share, assumed used where its history is unknown and the account was not near its quota
static constexpr milliseconds kNearQuotaRetention { 6000 }; // longer than the default window by the time that a write takes
static constexpr milliseconds kMinBlockTime { 20 };
static constexpr milliseconds kMaxBlockTime { 100 }; // kept short because the budget can grow in the meantime
static constexpr milliseconds kUnleasedUsageRetention { 20000 }; // on a host without a lease, which is limited by its usage in the window before the lease was lost

QuotaLimits getQuotaLimits(const AccountQuota& quota, const QuotaRule& rule)
{
    auto allowed = quota.perSecond * std::chrono::duration<double>(rule.window).count() + quota.burst;
    auto tolerance = allowed * rule.toleranceShare + rule.toleranceCount;
    return { allowed + tolerance, allowed + tolerance * (1 - kSilentHostReserve) };
}

//-----------------------------------------------------------------------------
// [SECTION] Usage
//-----------------------------------------------------------------------------

void addUsage(UsageHistory& history, TimePoint now)
{
    // A bucket carries the time of its last operation, so it expires slightly late rather than early.
    auto getStep = [](TimePoint at) { return at.time_since_epoch() / kUsageBucketWidth; };
    if (history.empty() || getStep(history.back().at) != getStep(now)) {
        history.push_back({ now, 1 });
        return;
    }
    history.back().at = now;
    ++history.back().count;
}

void removeLatestUsage(UsageHistory& history)
{
    if (history.empty())
        return;
    if (--history.back().count == 0)
        history.pop_back();
}

void pruneUsage(UsageHistory& history, TimePoint before)
{
    while (!history.empty() && history.front().at < before)
        history.pop_front();
}

unsigned countUsage(const UsageHistory& history, TimePoint after, TimePoint until)
{
    unsigned n = 0;
    for (auto& it : history)
        n += it.at > after && it.at <= until ? it.count : 0;
    return n;
}

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

enum class ReportingStatus {
    Reporting,
    Silent, // may have lost its lease; its reserved usage still counts
    Expired, // is down or reports to another quota server; nothing is reserved for it
};

static ReportingStatus getReportingStatus(const ReportingHost& host, TimePoint now)
{
    auto silentFor = now - host.lastReportAt;
    if (silentFor >= kQuotaSilentHostTimeout)
        return ReportingStatus::Expired;
    return silentFor <= kReportTimeout ? ReportingStatus::Reporting : ReportingStatus::Silent;
}

static double countReported(const HostUsage& usage, const QuotaRule& rule, TimePoint until, TimePoint now)
{
    auto grants = std::ranges::count_if(usage.grants, [&](auto& it) { return it.second > until - rule.window; });
    return countUsage(usage.history, until - rule.window, now) + static_cast<double>(grants);
}

size_t countReportingHosts(const QuotaServer& server, TimePoint now)
{
    return static_cast<size_t>(std::ranges::count_if(server.hosts, [&](auto& it) { return getReportingStatus(it.second, now) == ReportingStatus::Reporting; }));
}

bool hasOtherReportingHost(const QuotaServer& server, const std::string& self, TimePoint now)
{
    return std::ranges::any_of(server.hosts, [&](auto& it) { return it.first != self && getReportingStatus(it.second, now) == ReportingStatus::Reporting; });
}

// Estimates the operations that a host began before its history starts, if that is within the window: its whole share if the account was near its
// quota, else the part that an account far below its quota uses at most.
static double estimateUnknown(const ReportingHost& host, const QuotaRule& rule, bool wasNearQuota, double share, TimePoint now)
{
    if (host.historyStartsAt <= now - rule.window)
        return 0;
    return wasNearQuota ? share : kMaxUnknownRatio * share;
}

static bool isNearQuota(const TrackedAccount& tracked, milliseconds within, TimePoint now)
{
    return tracked.nearQuotaAt != TimePoint {} && now - tracked.nearQuotaAt < within;
}

QuotaBudget getQuotaBudget(const QuotaServer& server, const QuotaConfiguration& configuration, const std::string& account, const AccountQuota& quota, TimePoint now)
{
    auto admissionLimit = getQuotaLimits(quota, configuration.rule).admissionLimit;
    auto share = admissionLimit / static_cast<double>(std::max({ size_t { 1 }, configuration.hostCount, countReportingHosts(server, now) }));
    auto tracked = server.accounts.find(account);
    bool wasNearQuota = server.storedNearQuota.contains(account) || (tracked != server.accounts.end() && isNearQuota(tracked->second, configuration.rule.window, now));
    QuotaBudget budget;
    for (auto& [name, host] : server.hosts) {
        auto status = getReportingStatus(host, now);
        if (status == ReportingStatus::Expired)
            continue;
        bool isSilent = status == ReportingStatus::Silent;
        auto until = isSilent ? host.lastReportAt : now; // a silent host keeps the usage it had reported
        double reportedCount = 0;
        if (tracked != server.accounts.end()) {
            auto usage = tracked->second.hosts.find(name);
            reportedCount = usage == tracked->second.hosts.end() ? 0 : countReported(usage->second, configuration.rule, until, now);
        }
        if (isSilent) {
            budget.limit -= std::max(0.0, reportedCount - share);
            continue;
        }
        budget.limit += share;
        auto estimated = estimateUnknown(host, configuration.rule, wasNearQuota, share, now);
        budget.used += reportedCount + estimated;
        budget.estimated += estimated;
    }
    return budget;
}

// Returns whether the account became strict or stopped being strict.
static bool updateStrict(QuotaServer& server, const QuotaConfiguration& configuration, const std::string& account, TimePoint now)
{
    auto& tracked = server.accounts[account];
    auto* quota = findQuota(configuration.accounts, account);
    bool isStrict = false;
    if (quota) {
        auto budget = getQuotaBudget(server, configuration, account, *quota, now);
        isStrict = budget.used >= budget.limit * (tracked.isStrict ? kStrictLeaveRatio : kStrictEnterRatio);
        if (budget.used - budget.estimated >= kStrictEnterRatio * getQuotaLimits(*quota, configuration.rule).admissionLimit)
            tracked.nearQuotaAt = now;
    }
    bool hasChanged = isStrict != tracked.isStrict;
    tracked.isStrict = isStrict;
    return hasChanged;
}

// Replaces the usage that the report covers. Earlier usage stays: a previous process of the host reported it before a restart.
static void applyUsage(HostUsage& usage, const ReportedUsage& reported, TimePoint historyStartsAt)
{
    std::erase_if(usage.history, [&](const UsageBucket& it) { return it.at >= historyStartsAt; });
    usage.history.insert(usage.history.end(), reported.history.begin(), reported.history.end());
    std::erase_if(usage.grants, [&](auto& it) { return it.first <= reported.grantsTaken; });
}

ReportResult applyReport(QuotaServer& server, const QuotaConfiguration& configuration, const QuotaReport& report, TimePoint now)
{
    if (!report.isWhole && !server.hosts.contains(report.host))
        return { .isAccepted = false };
    auto& host = server.hosts.try_emplace(report.host, ReportingHost { now, report.historyStartsAt }).first->second;
    host.lastReportAt = now;
    ReportResult result;
    for (auto& reported : report.accounts) {
        applyUsage(server.accounts[reported.account].hosts[report.host], reported, report.historyStartsAt);
        result.hasStrictChanged = updateStrict(server, configuration, reported.account, now) || result.hasStrictChanged;
        bool isNewNearQuota = server.accounts[reported.account].nearQuotaAt == now && !server.storedNearQuota.contains(reported.account);
        result.hasNewNearQuota = result.hasNewNearQuota || isNewNearQuota;
    }
    return result;
}

bool sweepQuotaServer(QuotaServer& server, const QuotaConfiguration& configuration, TimePoint now)
{
    bool hasChanged = false;
    std::erase_if(server.hosts, [&](auto& it) { return now - it.second.lastReportAt > kQuotaSilentHostTimeout + configuration.rule.window; });
    for (auto& [account, tracked] : server.accounts) {
        for (auto& [host, usage] : tracked.hosts) {
            auto known = server.hosts.find(host);
            bool isSilent = known != server.hosts.end() && getReportingStatus(known->second, now) == ReportingStatus::Silent;
            auto windowStart = (isSilent ? known->second.lastReportAt : now) - configuration.rule.window;
            pruneUsage(usage.history, windowStart);
            std::erase_if(usage.grants, [&](auto& it) { return it.second < windowStart; });
        }
        std::erase_if(tracked.hosts, [](auto& it) { return it.second.history.empty() && it.second.grants.empty(); });
    }
    std::erase_if(server.accounts, [&](auto& it) { return it.second.hosts.empty() && !it.second.isStrict && !isNearQuota(it.second, kNearQuotaRetention, now); });
    for (auto& [name, tracked] : server.accounts) // all accounts, because silent hosts reduce the budget of each
        hasChanged = updateStrict(server, configuration, name, now) || hasChanged;
    return hasChanged;
}

std::vector<std::string> getStrictAccounts(const QuotaServer& server)
{
    std::vector<std::string> strict;
    for (auto& [name, tracked] : server.accounts) {
        if (tracked.isStrict)
            strict.push_back(name);
    }
    return strict;
}

std::set<std::string> getNearQuotaAccounts(const QuotaServer& server, TimePoint now)
{
    std::set<std::string> names;
    for (auto& [name, tracked] : server.accounts) {
        if (isNearQuota(tracked, kNearQuotaRetention, now))
            names.insert(name);
    }
    return names;
}

// The time until the oldest operation in the window expires, clamped.
static milliseconds getBlockTime(const TrackedAccount& tracked, const QuotaRule& rule, TimePoint now)
{
    auto first = now;
    for (auto& [name, usage] : tracked.hosts) {
        for (auto& it : usage.history) {
            if (it.at > now - rule.window) {
                first = std::min(first, it.at);
                break;
            }
        }
    }
    auto left = std::chrono::duration_cast<milliseconds>(first + rule.window - now);
    return std::clamp(left, kMinBlockTime, kMaxBlockTime);
}

QuotaGrant requestGrant(QuotaServer& server, const QuotaConfiguration& configuration, const std::string& host, const std::string& account, TimePoint now)
{
    auto* quota = findQuota(configuration.accounts, account);
    auto& tracked = server.accounts[account];
    auto& usage = tracked.hosts[host];
    bool isGranted = true;
    if (quota) {
        auto budget = getQuotaBudget(server, configuration, account, *quota, now);
        isGranted = budget.used + 1 <= budget.limit;
    }
    if (!isGranted)
        return { false, 0, getBlockTime(tracked, configuration.rule, now) };
    usage.grants[++server.lastGrantNumber] = now;
    return { true, server.lastGrantNumber, {} };
}

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

bool hasLease(const QuotaHost& host, TimePoint now)
{
    return host.leaseStartedAt != TimePoint {} && now - host.leaseStartedAt < kQuotaLeaseTime;
}

Admission admitOperation(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now)
{
    auto it = host.accounts.find(account);
    if (it != host.accounts.end() && now < it->second.blockedUntil)
        return Admission::Refuse;
    if (!hasLease(host, now) || host.strictAccounts.contains(account))
        return Admission::RequestGrant;
    // The quota server may have failed since the lease was renewed, so unreported operations of all hosts together must fit into the rest of the budget.
    auto maxUnreported = std::max(1.0, kMaxUnreportedRatio * getQuotaLimits(quota, rule).admissionLimit / static_cast<double>(std::max<size_t>(1, hostCount)));
    auto unreported = it == host.accounts.end() ? 0 : countUsage(it->second.history, host.leaseStartedAt, now);
    return unreported < maxUnreported ? Admission::Begin : Admission::RequestGrant;
}

bool mayBeginWithoutQuotaServer(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now)
{
    if (now - std::max(host.leaseStartedAt, host.startedAt) < kQuotaLeaseTime)
        return false;
    auto it = host.accounts.find(account);
    auto limits = getQuotaLimits(quota, rule);
    auto share = static_cast<unsigned>(limits.admissionLimit / static_cast<double>(std::max<size_t>(1, hostCount)));
    if (it == host.accounts.end())
        return share > 0;
    auto& history = it->second.history;
    bool isUsageReserved = host.leaseStartedAt != TimePoint {} && now - host.leaseStartedAt < kQuotaSilentHostTimeout;
    auto lastReported = !isUsageReserved ? 0 : countUsage(history, host.leaseStartedAt - rule.window, host.leaseStartedAt);
    return countUsage(history, now - rule.window, now) < std::max(lastReported, share);
}

void recordOperation(QuotaHost& host, const std::string& account, TimePoint now)
{
    auto& used = host.accounts[account];
    addUsage(used.history, now);
    used.isUnreported = true;
}

void revertOperation(QuotaHost& host, const std::string& account)
{
    auto it = host.accounts.find(account);
    if (it == host.accounts.end())
        return;
    removeLatestUsage(it->second.history);
    it->second.isUnreported = true;
}

void blockAccount(QuotaHost& host, const std::string& account, milliseconds blockedFor, TimePoint now)
{
    host.accounts[account].blockedUntil = now + blockedFor;
}

void pruneUsage(QuotaHost& host, const QuotaRule& rule, TimePoint now)
{
    auto retention = hasLease(host, now) ? rule.window : std::max(kUnleasedUsageRetention, rule.window);
    for (auto& [account, used] : host.accounts)
        pruneUsage(used.history, now - retention);
    std::erase_if(host.accounts, [&](auto& it) { return it.second.history.empty() && now >= it.second.blockedUntil && !it.second.isUnreported; });
}

}
