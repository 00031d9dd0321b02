#include "decisions/quota.h"
#include <algorithm>
#include <chrono>

namespace alderward::decisions {

static constexpr milliseconds kUsageBucketWidth { 100 }; // operations within one such step are told as one slot
static constexpr double kSilentHostReserve = 0.6; // of what may pass besides the quota
static constexpr double kStrictEnterRatio = 0.6; // of the target: what is left lasts for the 0.3 s until all hosts know, at 7.5 times the usual demand
static constexpr double kMaxUnreportedRatio = 0.35; // of the target
static constexpr double kStrictLeaveRatio = 0.5;
static constexpr milliseconds kReportTimeout { 750 }; // a host reports each half second at least; one that has not may have lost its lease
static constexpr double kMaxUnknownRatio = 0.5; // of the target, where nothing at all is known of the window and the account was not near to its quota: as much is left to it as it usually needs
static constexpr milliseconds kNearQuotaRetention { 6000 }; // an account is written down for this long after it was last near to its quota: a window, and what a write takes
static constexpr milliseconds kMinBlockTime { 20 };
static constexpr milliseconds kMaxBlockTime { 100 }; // more may be allowed meanwhile: hosts follow the keeper that did not, or the limit is raised
static constexpr milliseconds kUnleasedUsageRetention { 20000 }; // at the host: its window when it lost its lease is looked at for as long as it has none

QuotaLimits getQuotaLimits(const AccountQuota& quota, const QuotaRule& rule)
{
    auto allowed = quota.perSecond * std::chrono::duration<double>(rule.window).count() + quota.burst;
    auto tolerance = allowed * rule.toleranceShare + rule.toleranceCount;
    return { allowed + tolerance, allowed + tolerance * (1 - kSilentHostReserve) };
}

//-----------------------------------------------------------------------------
// [SECTION] Uses
//-----------------------------------------------------------------------------

void addUsage(UsageHistory& uses, TimePoint now)
{
    // A slot is as old as its last operation: it counts for a little too long rather than too short.
    auto getStep = [](TimePoint at) { return at.time_since_epoch() / kUsageBucketWidth; };
    if (uses.empty() || getStep(uses.back().at) != getStep(now)) {
        uses.push_back({ now, 1 });
        return;
    }
    uses.back().at = now;
    ++uses.back().count;
}

void removeLatestUsage(UsageHistory& uses)
{
    if (uses.empty())
        return;
    if (--uses.back().count == 0)
        uses.pop_back();
}

void pruneUsage(UsageHistory& uses, TimePoint before)
{
    while (!uses.empty() && uses.front().at < before)
        uses.pop_front();
}

unsigned countUsage(const UsageHistory& uses, TimePoint after, TimePoint until)
{
    unsigned n = 0;
    for (auto& it : uses)
        n += it.at > after && it.at <= until ? it.count : 0;
    return n;
}

//-----------------------------------------------------------------------------
// [SECTION] Keeper
//-----------------------------------------------------------------------------

enum class ReportingStatus {
    Reporting,
    Silent, // it followed, and may go on to begin what is left to it
    Expired, // silent for so long that it is gone, or follows another keeper
};

static ReportingStatus getReportingStatus(const ReportingHost& host, TimePoint now)
{
    auto silent = now - host.lastReportAt;
    if (silent >= kQuotaSilentHostTimeout)
        return ReportingStatus::Expired;
    return silent <= kReportTimeout ? ReportingStatus::Reporting : ReportingStatus::Silent;
}

static double countReported(const HostUsage& usage, const QuotaRule& rule, TimePoint until, TimePoint now)
{
    auto grants = std::ranges::count_if(usage.grants, [&](auto& it) { return it.second > until - rule.window; });
    return countUsage(usage.uses, until - rule.window, now) + static_cast<double>(grants);
}

size_t countReportingHosts(const QuotaCoordinator& coordinator, TimePoint now)
{
    return static_cast<size_t>(std::ranges::count_if(coordinator.hosts, [&](auto& it) { return getReportingStatus(it.second, now) == ReportingStatus::Reporting; }));
}

bool hasOtherReportingHost(const QuotaCoordinator& coordinator, const std::string& self, TimePoint now)
{
    return std::ranges::any_of(coordinator.hosts, [&](auto& it) { return it.first != self && getReportingStatus(it.second, now) == ReportingStatus::Reporting; });
}

// A host that started within the window may have begun something just before that it has forgotten: its part of what a calm account uses at most, or all of its
// share if the account came near to its quota.
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

QuotaBudget getQuotaBudget(const QuotaCoordinator& coordinator, const QuotaView& view, const std::string& account, const AccountQuota& quota, TimePoint now)
{
    auto admissionLimit = getQuotaLimits(quota, view.rule).admissionLimit;
    auto share = admissionLimit / static_cast<double>(std::max({ size_t { 1 }, view.hostCount, countReportingHosts(coordinator, now) }));
    auto tracked = coordinator.accounts.find(account);
    bool wasNearQuota = coordinator.storedNearQuota.contains(account) || (tracked != coordinator.accounts.end() && isNearQuota(tracked->second, view.rule.window, now));
    QuotaBudget budget;
    for (auto& [name, host] : coordinator.hosts) {
        auto status = getReportingStatus(host, now);
        if (status == ReportingStatus::Expired)
            continue;
        bool isSilent = status == ReportingStatus::Silent;
        auto until = isSilent ? host.lastReportAt : now; // what a lost one had told is left to it
        double uses = 0;
        if (tracked != coordinator.accounts.end()) {
            auto usage = tracked->second.hosts.find(name);
            uses = usage == tracked->second.hosts.end() ? 0 : countReported(usage->second, view.rule, until, now);
        }
        if (isSilent) {
            budget.limit -= std::max(0.0, uses - share);
            continue;
        }
        budget.limit += share;
        auto estimated = estimateUnknown(host, view.rule, wasNearQuota, share, now);
        budget.used += uses + estimated;
        budget.estimated += estimated;
    }
    return budget;
}

// Whether that has changed.
static bool updateStrict(QuotaCoordinator& coordinator, const QuotaView& view, const std::string& account, TimePoint now)
{
    auto& tracked = coordinator.accounts[account];
    auto* quota = findQuota(view.accounts, account);
    bool isStrict = false;
    if (quota) {
        auto budget = getQuotaBudget(coordinator, view, account, *quota, now);
        isStrict = budget.used >= budget.limit * (tracked.isStrict ? kStrictLeaveRatio : kStrictEnterRatio);
        if (budget.used - budget.estimated >= kStrictEnterRatio * getQuotaLimits(*quota, view.rule).admissionLimit)
            tracked.nearQuotaAt = now;
    }
    bool hasChanged = isStrict != tracked.isStrict;
    tracked.isStrict = isStrict;
    return hasChanged;
}

// The process that reports may have started again within the window: what the one before had told still counts.
static void applyUsage(HostUsage& usage, const ReportedUsage& reported, TimePoint historyStartsAt)
{
    std::erase_if(usage.uses, [&](const UsageBucket& it) { return it.at >= historyStartsAt; });
    usage.uses.insert(usage.uses.end(), reported.uses.begin(), reported.uses.end());
    std::erase_if(usage.grants, [&](auto& it) { return it.first <= reported.grantsTaken; });
}

ReportResult applyReport(QuotaCoordinator& coordinator, const QuotaView& view, const QuotaReport& report, TimePoint now)
{
    if (!report.isWhole && !coordinator.hosts.contains(report.host))
        return { .isAccepted = false };
    auto& host = coordinator.hosts.try_emplace(report.host, ReportingHost { now, report.historyStartsAt }).first->second;
    host.lastReportAt = now;
    ReportResult result;
    for (auto& reported : report.accounts) {
        applyUsage(coordinator.accounts[reported.account].hosts[report.host], reported, report.historyStartsAt);
        result.hasStrictChanged = updateStrict(coordinator, view, reported.account, now) || result.hasStrictChanged;
        bool isNewNearQuota = coordinator.accounts[reported.account].nearQuotaAt == now && !coordinator.storedNearQuota.contains(reported.account);
        result.hasNewNearQuota = result.hasNewNearQuota || isNewNearQuota;
    }
    return result;
}

bool sweepCoordinator(QuotaCoordinator& coordinator, const QuotaView& view, TimePoint now)
{
    bool hasChanged = false;
    std::erase_if(coordinator.hosts, [&](auto& it) { return now - it.second.lastReportAt > kQuotaSilentHostTimeout + view.rule.window; });
    for (auto& [account, tracked] : coordinator.accounts) {
        for (auto& [host, usage] : tracked.hosts) {
            auto known = coordinator.hosts.find(host);
            bool isSilent = known != coordinator.hosts.end() && getReportingStatus(known->second, now) == ReportingStatus::Silent;
            auto windowStart = (isSilent ? known->second.lastReportAt : now) - view.rule.window;
            pruneUsage(usage.uses, windowStart);
            std::erase_if(usage.grants, [&](auto& it) { return it.second < windowStart; });
        }
        std::erase_if(tracked.hosts, [](auto& it) { return it.second.uses.empty() && it.second.grants.empty(); });
    }
    std::erase_if(coordinator.accounts, [&](auto& it) { return it.second.hosts.empty() && !it.second.isStrict && !isNearQuota(it.second, kNearQuotaRetention, now); });
    for (auto& [name, tracked] : coordinator.accounts) // all of them: hosts that are not heard any more take allowance away
        hasChanged = updateStrict(coordinator, view, name, now) || hasChanged;
    return hasChanged;
}

std::vector<std::string> getStrictAccounts(const QuotaCoordinator& coordinator)
{
    std::vector<std::string> strict;
    for (auto& [name, tracked] : coordinator.accounts) {
        if (tracked.isStrict)
            strict.push_back(name);
    }
    return strict;
}

std::set<std::string> getNearQuotaAccounts(const QuotaCoordinator& coordinator, TimePoint now)
{
    std::set<std::string> names;
    for (auto& [name, tracked] : coordinator.accounts) {
        if (isNearQuota(tracked, kNearQuotaRetention, now))
            names.insert(name);
    }
    return names;
}

// When the first operation of the window leaves it.
static milliseconds getBlockTime(const TrackedAccount& tracked, const QuotaRule& rule, TimePoint now)
{
    auto first = now;
    for (auto& [name, usage] : tracked.hosts) {
        for (auto& it : usage.uses) {
            if (it.at > now - rule.window) {
                first = std::min(first, it.at);
                break;
            }
        }
    }
    auto left = std::chrono::duration_cast<milliseconds>(first + rule.window - now);
    return std::clamp(left, kMinBlockTime, kMaxBlockTime);
}

QuotaGrant requestGrant(QuotaCoordinator& coordinator, const QuotaView& view, const std::string& host, const std::string& account, TimePoint now)
{
    auto* quota = findQuota(view.accounts, account);
    auto& tracked = coordinator.accounts[account];
    auto& usage = tracked.hosts[host];
    bool isGranted = true;
    if (quota) {
        auto budget = getQuotaBudget(coordinator, view, account, *quota, now);
        isGranted = budget.used + 1 <= budget.limit;
    }
    if (!isGranted)
        return { false, 0, getBlockTime(tracked, view.rule, now) };
    usage.grants[++coordinator.lastGrantNumber] = now;
    return { true, coordinator.lastGrantNumber, {} };
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
        return Admission::Ask;
    // Keepers may have been lost since: all hosts together begin no more unseen than a calm account has left.
    auto maxUnreported = std::max(1.0, kMaxUnreportedRatio * getQuotaLimits(quota, rule).admissionLimit / static_cast<double>(std::max<size_t>(1, hostCount)));
    auto unreported = it == host.accounts.end() ? 0 : countUsage(it->second.uses, host.leaseStartedAt, now);
    return unreported < maxUnreported ? Admission::Begin : Admission::Ask;
}

bool mayBeginWithoutCoordinator(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now)
{
    if (now - std::max(host.leaseStartedAt, host.startedAt) < kQuotaLeaseTime)
        return false;
    auto it = host.accounts.find(account);
    auto limits = getQuotaLimits(quota, rule);
    auto share = static_cast<unsigned>(limits.admissionLimit / static_cast<double>(std::max<size_t>(1, hostCount)));
    if (it == host.accounts.end())
        return share > 0;
    auto& uses = it->second.uses;
    bool isUsageReserved = host.leaseStartedAt != TimePoint {} && now - host.leaseStartedAt < kQuotaSilentHostTimeout;
    auto lastReported = !isUsageReserved ? 0 : countUsage(uses, host.leaseStartedAt - rule.window, host.leaseStartedAt);
    return countUsage(uses, now - rule.window, now) < std::max(lastReported, share);
}

void recordOperation(QuotaHost& host, const std::string& account, TimePoint now)
{
    auto& used = host.accounts[account];
    addUsage(used.uses, now);
    used.isUnreported = true;
}

void revertOperation(QuotaHost& host, const std::string& account)
{
    auto it = host.accounts.find(account);
    if (it == host.accounts.end())
        return;
    removeLatestUsage(it->second.uses);
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
        pruneUsage(used.uses, now - retention);
    std::erase_if(host.accounts, [&](auto& it) { return it.second.uses.empty() && now >= it.second.blockedUntil && !it.second.isUnreported; });
}

}
