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
    auto besides = allowed * rule.over + rule.slack;
    return { allowed + besides, allowed + besides * (1 - kSilentHostReserve) };
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

static double countReported(const HostUsage& told, const QuotaRule& rule, TimePoint until, TimePoint now)
{
    auto grants = std::ranges::count_if(told.grants, [&](auto& it) { return it.second > until - rule.window; });
    return countUsage(told.uses, until - rule.window, now) + static_cast<double>(grants);
}

size_t countReportingHosts(const QuotaCoordinator& keeper, TimePoint now)
{
    return static_cast<size_t>(std::ranges::count_if(keeper.hosts, [&](auto& it) { return getReportingStatus(it.second, now) == ReportingStatus::Reporting; }));
}

bool hasOtherReportingHost(const QuotaCoordinator& keeper, const std::string& self, TimePoint now)
{
    return std::ranges::any_of(keeper.hosts, [&](auto& it) { return it.first != self && getReportingStatus(it.second, now) == ReportingStatus::Reporting; });
}

// A host that started within the window may have begun something just before that it has forgotten: its part of what a calm account uses at most, or all of its
// share if the account came near to its quota.
static double estimateUnknown(const ReportingHost& host, const QuotaRule& rule, bool wasNearQuota, double share, TimePoint now)
{
    if (host.historyStartsAt <= now - rule.window)
        return 0;
    return wasNearQuota ? share : kMaxUnknownRatio * share;
}

static bool isNearQuota(const TrackedAccount& kept, milliseconds within, TimePoint now)
{
    return kept.nearQuotaAt != TimePoint {} && now - kept.nearQuotaAt < within;
}

Allowance getAllowance(const QuotaCoordinator& keeper, const QuotaView& view, const std::string& account, const AccountQuota& quota, TimePoint now)
{
    auto target = getQuotaLimits(quota, view.rule).target;
    auto share = target / static_cast<double>(std::max({ size_t { 1 }, view.hosts, countReportingHosts(keeper, now) }));
    auto kept = keeper.accounts.find(account);
    bool wasNearQuota = keeper.storedNearQuota.contains(account) || (kept != keeper.accounts.end() && isNearQuota(kept->second, view.rule.window, now));
    Allowance allowance;
    for (auto& [name, host] : keeper.hosts) {
        auto status = getReportingStatus(host, now);
        if (status == ReportingStatus::Expired)
            continue;
        bool isSilent = status == ReportingStatus::Silent;
        auto until = isSilent ? host.lastReportAt : now; // what a lost one had told is left to it
        double uses = 0;
        if (kept != keeper.accounts.end()) {
            auto told = kept->second.hosts.find(name);
            uses = told == kept->second.hosts.end() ? 0 : countReported(told->second, view.rule, until, now);
        }
        if (isSilent) {
            allowance.most -= std::max(0.0, uses - share);
            continue;
        }
        allowance.most += share;
        auto unknown = estimateUnknown(host, view.rule, wasNearQuota, share, now);
        allowance.used += uses + unknown;
        allowance.unknown += unknown;
    }
    return allowance;
}

// Whether that has changed.
static bool updateStrict(QuotaCoordinator& keeper, const QuotaView& view, const std::string& account, TimePoint now)
{
    auto& kept = keeper.accounts[account];
    auto* quota = findQuota(view.accounts, account);
    bool isStrict = false;
    if (quota) {
        auto allowance = getAllowance(keeper, view, account, *quota, now);
        isStrict = allowance.used >= allowance.most * (kept.isStrict ? kStrictLeaveRatio : kStrictEnterRatio);
        if (allowance.used - allowance.unknown >= kStrictEnterRatio * getQuotaLimits(*quota, view.rule).target)
            kept.nearQuotaAt = now;
    }
    bool hasChanged = isStrict != kept.isStrict;
    kept.isStrict = isStrict;
    return hasChanged;
}

// The process that reports may have started again within the window: what the one before had told still counts.
static void applyUsage(HostUsage& told, const ReportedUsage& reported, TimePoint historyStartsAt)
{
    std::erase_if(told.uses, [&](const UsageBucket& it) { return it.at >= historyStartsAt; });
    told.uses.insert(told.uses.end(), reported.uses.begin(), reported.uses.end());
    std::erase_if(told.grants, [&](auto& it) { return it.first <= reported.grantsTaken; });
}

ReportResult applyReport(QuotaCoordinator& keeper, const QuotaView& view, const QuotaReport& report, TimePoint now)
{
    if (!report.isWhole && !keeper.hosts.contains(report.host))
        return { .isAccepted = false };
    auto& host = keeper.hosts.try_emplace(report.host, ReportingHost { now, report.historyStartsAt }).first->second;
    host.lastReportAt = now;
    ReportResult result;
    for (auto& reported : report.uses) {
        applyUsage(keeper.accounts[reported.account].hosts[report.host], reported, report.historyStartsAt);
        result.hasStrictChanged = updateStrict(keeper, view, reported.account, now) || result.hasStrictChanged;
        bool isNewNearQuota = keeper.accounts[reported.account].nearQuotaAt == now && !keeper.storedNearQuota.contains(reported.account);
        result.hasNewNearQuota = result.hasNewNearQuota || isNewNearQuota;
    }
    return result;
}

bool sweepCoordinator(QuotaCoordinator& keeper, const QuotaView& view, TimePoint now)
{
    bool hasChanged = false;
    std::erase_if(keeper.hosts, [&](auto& it) { return now - it.second.lastReportAt > kQuotaSilentHostTimeout + view.rule.window; });
    for (auto& [account, kept] : keeper.accounts) {
        for (auto& [host, told] : kept.hosts) {
            auto known = keeper.hosts.find(host);
            bool isSilent = known != keeper.hosts.end() && getReportingStatus(known->second, now) == ReportingStatus::Silent;
            auto windowBegan = (isSilent ? known->second.lastReportAt : now) - view.rule.window;
            pruneUsage(told.uses, windowBegan);
            std::erase_if(told.grants, [&](auto& it) { return it.second < windowBegan; });
        }
        std::erase_if(kept.hosts, [](auto& it) { return it.second.uses.empty() && it.second.grants.empty(); });
    }
    std::erase_if(keeper.accounts, [&](auto& it) { return it.second.hosts.empty() && !it.second.isStrict && !isNearQuota(it.second, kNearQuotaRetention, now); });
    for (auto& [name, kept] : keeper.accounts) // all of them: hosts that are not heard any more take allowance away
        hasChanged = updateStrict(keeper, view, name, now) || hasChanged;
    return hasChanged;
}

std::vector<std::string> getStrictAccounts(const QuotaCoordinator& keeper)
{
    std::vector<std::string> strict;
    for (auto& [name, kept] : keeper.accounts) {
        if (kept.isStrict)
            strict.push_back(name);
    }
    return strict;
}

std::set<std::string> getNearQuotaAccounts(const QuotaCoordinator& keeper, TimePoint now)
{
    std::set<std::string> names;
    for (auto& [name, kept] : keeper.accounts) {
        if (isNearQuota(kept, kNearQuotaRetention, now))
            names.insert(name);
    }
    return names;
}

// When the first operation of the window leaves it.
static milliseconds getBlockTime(const TrackedAccount& kept, const QuotaRule& rule, TimePoint now)
{
    auto first = now;
    for (auto& [name, told] : kept.hosts) {
        for (auto& it : told.uses) {
            if (it.at > now - rule.window) {
                first = std::min(first, it.at);
                break;
            }
        }
    }
    auto left = std::chrono::duration_cast<milliseconds>(first + rule.window - now);
    return std::clamp(left, kMinBlockTime, kMaxBlockTime);
}

QuotaGrant requestGrant(QuotaCoordinator& keeper, const QuotaView& view, const std::string& host, const std::string& account, TimePoint now)
{
    auto* quota = findQuota(view.accounts, account);
    auto& kept = keeper.accounts[account];
    auto& told = kept.hosts[host];
    bool isGranted = true;
    if (quota) {
        auto allowance = getAllowance(keeper, view, account, *quota, now);
        isGranted = allowance.used + 1 <= allowance.most;
    }
    if (!isGranted)
        return { false, 0, getBlockTime(kept, view.rule, now) };
    told.grants[++keeper.lastGrantNumber] = now;
    return { true, keeper.lastGrantNumber, {} };
}

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

bool hasLease(const QuotaHost& host, TimePoint now)
{
    return host.leaseStartedAt != TimePoint {} && now - host.leaseStartedAt < kQuotaLeaseTime;
}

Admission admitOperation(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hosts, TimePoint now)
{
    auto it = host.accounts.find(account);
    if (it != host.accounts.end() && now < it->second.blockedUntil)
        return Admission::Refuse;
    if (!hasLease(host, now) || host.strict.contains(account))
        return Admission::Ask;
    // Keepers may have been lost since: all hosts together begin no more unseen than a calm account has left.
    auto maxUnreported = std::max(1.0, kMaxUnreportedRatio * getQuotaLimits(quota, rule).target / static_cast<double>(std::max<size_t>(1, hosts)));
    auto unreported = it == host.accounts.end() ? 0 : countUsage(it->second.uses, host.leaseStartedAt, now);
    return unreported < maxUnreported ? Admission::Begin : Admission::Ask;
}

bool mayBeginWithoutCoordinator(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hosts, TimePoint now)
{
    if (now - std::max(host.leaseStartedAt, host.beganAt) < kQuotaLeaseTime)
        return false;
    auto it = host.accounts.find(account);
    auto limits = getQuotaLimits(quota, rule);
    auto share = static_cast<unsigned>(limits.target / static_cast<double>(std::max<size_t>(1, hosts)));
    if (it == host.accounts.end())
        return share > 0;
    auto& uses = it->second.uses;
    bool isUsageReserved = host.leaseStartedAt != TimePoint {} && now - host.leaseStartedAt < kQuotaSilentHostTimeout;
    auto told = !isUsageReserved ? 0 : countUsage(uses, host.leaseStartedAt - rule.window, host.leaseStartedAt);
    return countUsage(uses, now - rule.window, now) < std::max(told, share);
}

void recordOperation(QuotaHost& host, const std::string& account, TimePoint now)
{
    auto& used = host.accounts[account];
    addUsage(used.uses, now);
    used.isChanged = true;
}

void revertOperation(QuotaHost& host, const std::string& account)
{
    auto it = host.accounts.find(account);
    if (it == host.accounts.end())
        return;
    removeLatestUsage(it->second.uses);
    it->second.isChanged = true;
}

void blockAccount(QuotaHost& host, const std::string& account, milliseconds blockedFor, TimePoint now)
{
    host.accounts[account].blockedUntil = now + blockedFor;
}

void pruneUsage(QuotaHost& host, const QuotaRule& rule, TimePoint now)
{
    auto kept = hasLease(host, now) ? rule.window : std::max(kUnleasedUsageRetention, rule.window);
    for (auto& [account, used] : host.accounts)
        pruneUsage(used.uses, now - kept);
    std::erase_if(host.accounts, [&](auto& it) { return it.second.uses.empty() && now >= it.second.blockedUntil && !it.second.isChanged; });
}

}
