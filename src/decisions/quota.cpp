#include "decisions/quota.h"
#include <algorithm>
#include <chrono>

namespace alderward::decisions {

static constexpr milliseconds kUsageBucketWidth { 100 }; // operations within one such step are told as one slot
static constexpr double kKeptForUnheard = 0.6; // of what may pass besides the quota
static constexpr double kStrictAt = 0.6; // of the target: what is left lasts for the 0.3 s until all hosts know, at 7.5 times the usual demand
static constexpr double kUnseenMost = 0.35; // of the target
static constexpr double kCalmAt = 0.5;
static constexpr milliseconds kSilentAfter { 750 }; // a host reports each half second at least; one that has not may have lost its lease
static constexpr double kUnknownMost = 0.5; // of the target, where nothing at all is known of the window and the account was not near to its quota: as much is left to it as it usually needs
static constexpr milliseconds kNearKept { 6000 }; // an account is written down for this long after it was last near to its quota: a window, and what a write takes
static constexpr milliseconds kMinBlockTime { 20 };
static constexpr milliseconds kMaxBlockTime { 100 }; // more may be allowed meanwhile: hosts follow the keeper that did not, or the limit is raised
static constexpr milliseconds kUnleasedUsageRetention { 20000 }; // at the host: its window when it lost its lease is looked at for as long as it has none

QuotaLimits getQuotaLimits(const AccountQuota& quota, const QuotaRule& rule)
{
    auto allowed = quota.perSecond * std::chrono::duration<double>(rule.window).count() + quota.burst;
    auto besides = allowed * rule.over + rule.slack;
    return { allowed + besides, allowed + besides * (1 - kKeptForUnheard) };
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

enum class Standing {
    Follows,
    Lost, // it followed, and may go on to begin what is left to it
    Gone, // silent for so long that it is gone, or follows another keeper
};

static Standing getStanding(const ReportingHost& host, TimePoint now)
{
    auto silent = now - host.heardAt;
    if (silent >= kQuotaLostFor)
        return Standing::Gone;
    return silent <= kSilentAfter ? Standing::Follows : Standing::Lost;
}

static double countTold(const HostUsage& told, const QuotaRule& rule, TimePoint until, TimePoint now)
{
    auto grants = std::ranges::count_if(told.grants, [&](auto& it) { return it.second > until - rule.window; });
    return countUsage(told.uses, until - rule.window, now) + static_cast<double>(grants);
}

size_t countFollowers(const QuotaCoordinator& keeper, TimePoint now)
{
    return static_cast<size_t>(std::ranges::count_if(keeper.hosts, [&](auto& it) { return getStanding(it.second, now) == Standing::Follows; }));
}

bool hasOtherFollower(const QuotaCoordinator& keeper, const std::string& self, TimePoint now)
{
    return std::ranges::any_of(keeper.hosts, [&](auto& it) { return it.first != self && getStanding(it.second, now) == Standing::Follows; });
}

// A host that started within the window may have begun something just before that it has forgotten: its part of what a calm account uses at most, or all of its
// share if the account came near to its quota.
static double countUnknown(const ReportingHost& host, const QuotaRule& rule, bool wasNear, double share, TimePoint now)
{
    if (host.coveredSince <= now - rule.window)
        return 0;
    return wasNear ? share : kUnknownMost * share;
}

static bool isNear(const TrackedAccount& kept, milliseconds within, TimePoint now)
{
    return kept.nearAt != TimePoint {} && now - kept.nearAt < within;
}

Allowance getAllowance(const QuotaCoordinator& keeper, const QuotaView& view, const std::string& account, const AccountQuota& quota, TimePoint now)
{
    auto target = getQuotaLimits(quota, view.rule).target;
    auto share = target / static_cast<double>(std::max({ size_t { 1 }, view.hosts, countFollowers(keeper, now) }));
    auto kept = keeper.accounts.find(account);
    bool wasNear = keeper.lastNear.contains(account) || (kept != keeper.accounts.end() && isNear(kept->second, view.rule.window, now));
    Allowance allowance;
    for (auto& [name, host] : keeper.hosts) {
        auto standing = getStanding(host, now);
        if (standing == Standing::Gone)
            continue;
        bool isLost = standing == Standing::Lost;
        auto until = isLost ? host.heardAt : now; // what a lost one had told is left to it
        double uses = 0;
        if (kept != keeper.accounts.end()) {
            auto told = kept->second.hosts.find(name);
            uses = told == kept->second.hosts.end() ? 0 : countTold(told->second, view.rule, until, now);
        }
        if (isLost) {
            allowance.most -= std::max(0.0, uses - share);
            continue;
        }
        allowance.most += share;
        auto unknown = countUnknown(host, view.rule, wasNear, share, now);
        allowance.used += uses + unknown;
        allowance.unknown += unknown;
    }
    return allowance;
}

// Whether that has changed.
static bool decideStrict(QuotaCoordinator& keeper, const QuotaView& view, const std::string& account, TimePoint now)
{
    auto& kept = keeper.accounts[account];
    auto* quota = findQuota(view.accounts, account);
    bool isStrict = false;
    if (quota) {
        auto allowance = getAllowance(keeper, view, account, *quota, now);
        isStrict = allowance.used >= allowance.most * (kept.isStrict ? kCalmAt : kStrictAt);
        if (allowance.used - allowance.unknown >= kStrictAt * getQuotaLimits(*quota, view.rule).target)
            kept.nearAt = now;
    }
    bool hasChanged = isStrict != kept.isStrict;
    kept.isStrict = isStrict;
    return hasChanged;
}

// The process that reports may have started again within the window: what the one before had told still counts.
static void takeUses(HostUsage& told, const ReportedUsage& reported, TimePoint coveredSince)
{
    std::erase_if(told.uses, [&](const UsageBucket& it) { return it.at >= coveredSince; });
    told.uses.insert(told.uses.end(), reported.uses.begin(), reported.uses.end());
    std::erase_if(told.grants, [&](auto& it) { return it.first <= reported.grantsTaken; });
}

ReportTaken takeReport(QuotaCoordinator& keeper, const QuotaView& view, const QuotaReport& report, TimePoint now)
{
    if (!report.isWhole && !keeper.hosts.contains(report.host))
        return { .isKnown = false };
    auto& host = keeper.hosts.try_emplace(report.host, ReportingHost { now, report.coveredSince }).first->second;
    host.heardAt = now;
    ReportTaken taken;
    for (auto& reported : report.uses) {
        takeUses(keeper.accounts[reported.account].hosts[report.host], reported, report.coveredSince);
        taken.hasChanged = decideStrict(keeper, view, reported.account, now) || taken.hasChanged;
        bool isNewlyNear = keeper.accounts[reported.account].nearAt == now && !keeper.lastNear.contains(reported.account);
        taken.isNear = taken.isNear || isNewlyNear;
    }
    return taken;
}

bool sweepCoordinator(QuotaCoordinator& keeper, const QuotaView& view, TimePoint now)
{
    bool hasChanged = false;
    std::erase_if(keeper.hosts, [&](auto& it) { return now - it.second.heardAt > kQuotaLostFor + view.rule.window; });
    for (auto& [account, kept] : keeper.accounts) {
        for (auto& [host, told] : kept.hosts) {
            auto known = keeper.hosts.find(host);
            bool isLost = known != keeper.hosts.end() && getStanding(known->second, now) == Standing::Lost;
            auto windowBegan = (isLost ? known->second.heardAt : now) - view.rule.window;
            pruneUsage(told.uses, windowBegan);
            std::erase_if(told.grants, [&](auto& it) { return it.second < windowBegan; });
        }
        std::erase_if(kept.hosts, [](auto& it) { return it.second.uses.empty() && it.second.grants.empty(); });
    }
    std::erase_if(keeper.accounts, [&](auto& it) { return it.second.hosts.empty() && !it.second.isStrict && !isNear(it.second, kNearKept, now); });
    for (auto& [name, kept] : keeper.accounts) // all of them: hosts that are not heard any more take allowance away
        hasChanged = decideStrict(keeper, view, name, now) || hasChanged;
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

std::set<std::string> getAccountsToWrite(const QuotaCoordinator& keeper, TimePoint now)
{
    std::set<std::string> names;
    for (auto& [name, kept] : keeper.accounts) {
        if (isNear(kept, kNearKept, now))
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
    told.grants[++keeper.lastGrant] = now;
    return { true, keeper.lastGrant, {} };
}

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

bool hasLease(const QuotaHost& host, TimePoint now)
{
    return host.leaseSentAt != TimePoint {} && now - host.leaseSentAt < kQuotaLease;
}

Admission admitOperation(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hosts, TimePoint now)
{
    auto it = host.accounts.find(account);
    if (it != host.accounts.end() && now < it->second.blockedUntil)
        return Admission::Refuse;
    if (!hasLease(host, now) || host.strict.contains(account))
        return Admission::Ask;
    // Keepers may have been lost since: all hosts together begin no more unseen than a calm account has left.
    auto unseenMost = std::max(1.0, kUnseenMost * getQuotaLimits(quota, rule).target / static_cast<double>(std::max<size_t>(1, hosts)));
    auto unseen = it == host.accounts.end() ? 0 : countUsage(it->second.uses, host.leaseSentAt, now);
    return unseen < unseenMost ? Admission::Begin : Admission::Ask;
}

bool mayBeginWithoutCoordinator(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hosts, TimePoint now)
{
    if (now - std::max(host.leaseSentAt, host.beganAt) < kQuotaLease)
        return false;
    auto it = host.accounts.find(account);
    auto limits = getQuotaLimits(quota, rule);
    auto share = static_cast<unsigned>(limits.target / static_cast<double>(std::max<size_t>(1, hosts)));
    if (it == host.accounts.end())
        return share > 0;
    auto& uses = it->second.uses;
    bool isCountedFor = host.leaseSentAt != TimePoint {} && now - host.leaseSentAt < kQuotaLostFor;
    auto told = !isCountedFor ? 0 : countUsage(uses, host.leaseSentAt - rule.window, host.leaseSentAt);
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
