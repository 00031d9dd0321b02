#include "decisions/quota.h"
#include <algorithm>
#include <chrono>
#include <cmath>

namespace alderward::decisions {

static constexpr double kPaceToleranceShare = 0.15; // of the tolerance of a window, added to the refill rate; keeps short fluctuations of an account just below its quota from being refused
static constexpr double kCapacityToleranceShare = 0.45; // of the tolerance, added to the burst; the rest is the reserve
static constexpr double kStrictEnterRatio = 0.5; // of the capacity; the rest absorbs operations that begin before all hosts know that the account is strict
static constexpr double kStrictLeaveRatio = 0.8; // above kStrictEnterRatio, so that accounts do not alternate between strict and not strict
static constexpr double kMaxUnreportedRatio = 0.35; // of the capacity, over all hosts; these operations are missing from the count if hosts die
static constexpr milliseconds kSilentHostRetention { 12000 }; // similar to the lifetime of a host's entry in the platform's store
static constexpr milliseconds kHeadroomSlice { 250 };
static constexpr milliseconds kHeadroomRetention { 10000 }; // must exceed the time for which statements wait; operations returned later get no token back
static constexpr milliseconds kRateTimeConstant { 1000 };
static constexpr milliseconds kContentionMemory { 1000 }; // without a refusal; must exceed the time in which refused callers retry
static constexpr milliseconds kUrgentReserveTime { 500 }; // of requests that a less urgent priority leaves tokens for; about the time in which it refills
static constexpr double kUrgentReserveDeviations = 3; // standard deviations of the number of requests in that time, added to its mean
static constexpr double kMaxUrgentReserve = 0.5; // of the capacity
static constexpr double kGuaranteedShare = 0.3; // of the pace, divided among all priorities but the most urgent one
static constexpr milliseconds kMaxGrantDelay { 100 }; // callers below their quota wait this long for a bucket that was just started; well below latency objectives
static constexpr milliseconds kMinBlockTime { 20 };
static constexpr milliseconds kMaxBlockTime { 100 }; // kept short because the bucket's refill rate can grow in the meantime

static double getSeconds(TimePoint::duration time)
{
    return std::chrono::duration<double>(time).count();
}

// The time in which `count` operations are refilled, at most an hour.
static milliseconds getRefillTime(double count, double pace)
{
    static constexpr milliseconds kLongest { std::chrono::hours(1) };
    auto seconds = count / std::max(pace, 1e-9);
    return seconds >= getSeconds(kLongest) ? kLongest : milliseconds(static_cast<int64_t>(std::ceil(seconds * 1000)));
}

QuotaLimits getQuotaLimits(const AccountQuota& quota, const QuotaRule& rule)
{
    auto window = getSeconds(rule.window);
    auto allowed = quota.perSecond * window + quota.burst;
    auto tolerance = allowed * rule.toleranceShare + rule.toleranceCount;
    auto pace = quota.perSecond + kPaceToleranceShare * tolerance / window;
    auto capacity = quota.burst + kCapacityToleranceShare * tolerance;
    return { allowed + tolerance, pace, capacity, (1 - kPaceToleranceShare - kCapacityToleranceShare) * tolerance };
}

//-----------------------------------------------------------------------------
// [SECTION] Bucket
//-----------------------------------------------------------------------------

TokenBucket refillBucket(TokenBucket bucket, double pace, double capacity, TimePoint now)
{
    auto elapsed = std::max(TimePoint::duration::zero(), now - bucket.updatedAt);
    return { std::min(capacity, bucket.level + pace * getSeconds(elapsed)), std::max(now, bucket.updatedAt) };
}

double getPerSecond(const EventRate& rate, TimePoint now)
{
    auto elapsed = std::max(TimePoint::duration::zero(), now - rate.countedAt);
    return rate.perSecond * std::exp(-getSeconds(elapsed) / getSeconds(kRateTimeConstant));
}

EventRate countEvent(const EventRate& rate, TimePoint now)
{
    return { getPerSecond(rate, now) + 1 / getSeconds(kRateTimeConstant), std::max(now, rate.countedAt) };
}

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

static bool isReporting(const ReportingHost& host, TimePoint now)
{
    return !host.hasLeft && now - host.lastReportAt <= kQuotaReportTimeout;
}

size_t countReportingHosts(const QuotaServer& server, TimePoint now)
{
    return static_cast<size_t>(std::ranges::count_if(server.hosts, [&](auto& it) { return isReporting(it.second, now); }));
}

bool hasOtherReportingHost(const QuotaServer& server, const std::string& self, TimePoint now)
{
    return std::ranges::any_of(server.hosts, [&](auto& it) { return it.first != self && isReporting(it.second, now); });
}

// Limits of the bucket at a quota server that has this share of the quota. A bucket that holds less than one operation would never grant any.
static QuotaLimits scaleLimits(QuotaLimits limits, double share)
{
    limits.pace *= share;
    limits.capacity = share > 0 ? std::max(1.0, limits.capacity * share) : 0;
    return limits;
}

// Returns whether the account became strict or stopped being strict.
static bool updateStrict(TrackedAccount& tracked, const QuotaLimits& limits)
{
    bool isStrict = limits.capacity == 0 || tracked.bucket.level < limits.capacity * (tracked.isStrict ? kStrictLeaveRatio : kStrictEnterRatio);
    bool hasChanged = isStrict != tracked.isStrict;
    tracked.isStrict = isStrict;
    return hasChanged;
}

// Refills the account's bucket and records its headroom.
static void refillAccount(TrackedAccount& tracked, double pace, double capacity, TimePoint now)
{
    tracked.bucket = refillBucket(tracked.bucket, pace, capacity, now);
    auto& slices = tracked.headroom;
    auto headroom = capacity - tracked.bucket.level;
    if (slices.empty() || now - slices.back().startedAt >= kHeadroomSlice)
        slices.push_back({ now, headroom });
    slices.back().least = std::min(slices.back().least, headroom);
    while (now - slices.front().startedAt > kHeadroomRetention)
        slices.pop_front();
}

// Gives the tokens of operations back that were counted at `countedAt` and did not begin. The level becomes what it would be without them: a token does not count
// if the bucket would have been full since. Nothing is given back for operations counted before the first slice, which another quota server may have charged.
static void returnTokens(TrackedAccount& tracked, double count, TimePoint countedAt)
{
    auto& slices = tracked.headroom;
    if (slices.empty() || countedAt < slices.front().startedAt)
        return;
    auto first = std::prev(std::ranges::upper_bound(slices, countedAt, {}, &HeadroomSlice::startedAt));
    for (auto it = first; it != slices.end(); ++it)
        count = std::min(count, std::max(0.0, it->least));
    for (auto it = first; it != slices.end(); ++it)
        it->least -= count;
    tracked.bucket.level += count;
}

// Updates the share of the hosts that report, and all buckets. Between two updates the smaller share applies, so that a host that
// moves between quota servers is not counted by both.
static bool updateBuckets(QuotaServer& server, const QuotaConfiguration& configuration, TimePoint now)
{
    auto reporting = countReportingHosts(server, now);
    auto share = static_cast<double>(reporting) / static_cast<double>(std::max({ size_t { 1 }, configuration.hostCount, reporting }));
    auto pastShare = std::min(share, server.share);
    server.share = share;
    std::erase_if(server.accounts, [&](auto& it) { return !findQuota(configuration.accounts, it.first); });
    bool hasChanged = false;
    for (auto& [name, account] : configuration.accounts.byName) {
        if (!account.quota)
            continue;
        auto& tracked = server.accounts.try_emplace(name, TrackedAccount { .bucket = { 0, now } }).first->second;
        auto limits = getQuotaLimits(*account.quota, configuration.rule);
        auto scaled = scaleLimits(limits, share);
        refillAccount(tracked, limits.pace * pastShare, scaled.capacity, now);
        hasChanged = updateStrict(tracked, scaled) || hasChanged;
    }
    return hasChanged;
}

// Charges what the report adds to the operations charged so far, and refunds what it returns. The first report of a host adds nothing: its operations began
// under a lease of another quota server, whose bucket had room for them and is lost. Charged to the new, empty bucket they would refuse accounts below their quota.
static void chargeUsage(TrackedAccount& tracked, const std::string& host, const ReportedUsage& reported, bool isFirst, TimePoint now)
{
    auto& charged = tracked.chargedByHost[host];
    if (isFirst)
        charged = reported.counts;
    charged = { std::max(charged.begun, reported.charged.begun), std::max(charged.returned, reported.charged.returned) };
    auto begun = static_cast<double>(std::max(charged.begun, reported.counts.begun) - charged.begun);
    auto returned = static_cast<double>(std::max(charged.returned, reported.counts.returned) - charged.returned);
    tracked.bucket.level -= begun;
    returnTokens(tracked, returned, now - reported.returnedAge);
    charged = { std::max(charged.begun, reported.counts.begun), std::max(charged.returned, reported.counts.returned) };
}

static void forgetHost(QuotaServer& server, const std::string& host)
{
    for (auto& [name, tracked] : server.accounts)
        tracked.chargedByHost.erase(host);
}

ReportResult applyReport(QuotaServer& server, const QuotaConfiguration& configuration, const QuotaReport& report, TimePoint now)
{
    auto known = server.hosts.find(report.host);
    bool isSameProcess = known != server.hosts.end() && known->second.incarnation == report.incarnation;
    if (!isSameProcess && !report.isWhole)
        return { .isAccepted = false };
    if (!isSameProcess)
        forgetHost(server, report.host);
    bool wasReporting = isSameProcess && isReporting(known->second, now);
    server.hosts[report.host] = { report.incarnation, now, report.isLeaving };
    ReportResult result;
    if (wasReporting == report.isLeaving)
        result.hasStrictChanged = updateBuckets(server, configuration, now);
    for (auto& it : report.accounts) {
        auto* quota = findQuota(configuration.accounts, it.account);
        auto tracked = server.accounts.find(it.account);
        if (!quota || tracked == server.accounts.end())
            continue;
        auto limits = scaleLimits(getQuotaLimits(*quota, configuration.rule), server.share);
        refillAccount(tracked->second, limits.pace, limits.capacity, now);
        chargeUsage(tracked->second, report.host, it, !isSameProcess, now);
        result.hasStrictChanged = updateStrict(tracked->second, limits) || result.hasStrictChanged;
    }
    return result;
}

bool removeHost(QuotaServer& server, const QuotaConfiguration& configuration, const std::string& host, TimePoint now)
{
    auto it = server.hosts.find(host);
    if (it == server.hosts.end() || it->second.hasLeft)
        return false;
    it->second.hasLeft = true;
    return updateBuckets(server, configuration, now);
}

bool sweepQuotaServer(QuotaServer& server, const QuotaConfiguration& configuration, TimePoint now)
{
    std::erase_if(server.hosts, [&](auto& it) {
        bool isExpired = now - it.second.lastReportAt > kSilentHostRetention;
        if (isExpired)
            forgetHost(server, it.first);
        return isExpired;
    });
    return updateBuckets(server, configuration, now);
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

static bool isContended(const TrackedAccount& tracked, TimePoint now)
{
    return tracked.lastRefusedAt != TimePoint {} && now - tracked.lastRefusedAt < kContentionMemory;
}

// Sums a rate of all priorities that are more urgent than `priority`.
static double sumMoreUrgent(const TrackedAccount& tracked, int priority, EventRate PriorityDemand::*rate, TimePoint now)
{
    double sum = 0;
    for (auto& [other, demand] : tracked.demands)
        sum += other < priority ? getPerSecond(demand.*rate, now) : 0;
    return sum;
}

// The tokens that a request of the priority leaves in the bucket for more urgent ones. Without contention they are at most what the capacity
// exceeds the burst by, so that a burst of any priority is admitted from a full bucket.
static double getUrgentReserve(const TrackedAccount& tracked, int priority, double capacity, double burst, TimePoint now)
{
    auto expected = sumMoreUrgent(tracked, priority, &PriorityDemand::asked, now) * getSeconds(kUrgentReserveTime);
    auto wanted = expected + kUrgentReserveDeviations * std::sqrt(expected);
    auto most = isContended(tracked, now) ? kMaxUrgentReserve * (capacity - 1) : capacity - std::max(1.0, burst);
    return std::min(wanted, std::max(0.0, most));
}

// Takes a token that is kept for the priority, if it is not the most urgent one.
static bool takeGuaranteed(TrackedAccount& tracked, int priority, double pace, TimePoint now)
{
    if (tracked.demands.begin()->first == priority)
        return false;
    auto share = kGuaranteedShare * pace / static_cast<double>(tracked.demands.size() - 1);
    auto& bucket = tracked.demands[priority].guaranteed;
    bucket = refillBucket(bucket, share, std::max(1.0, share), now);
    if (bucket.level < 1)
        return false;
    bucket.level -= 1;
    return true;
}

// Callers of the same or a more urgent priority that were refused before are expected to retry first.
static QuotaGrant refuseGrant(TrackedAccount& tracked, const QuotaConfiguration& configuration, int priority, const QuotaLimits& limits, double missing, TimePoint now)
{
    auto& refused = tracked.demands[priority].refused;
    auto retrying = sumMoreUrgent(tracked, priority + 1, &PriorityDemand::refused, now) * getSeconds(kRateTimeConstant);
    refused = countEvent(refused, now);
    tracked.lastRefusedAt = now;
    auto urgent = sumMoreUrgent(tracked, priority, &PriorityDemand::asked, now);
    auto available = std::max(limits.pace - urgent, kGuaranteedShare * limits.pace);
    auto window = configuration.rule.window;
    auto getWait = [&](double tokens) { return std::min(window, getRefillTime(tokens, available)); };
    auto blockedFor = std::clamp(getWait(missing), kMinBlockTime, kMaxBlockTime);
    return { .blockedFor = blockedFor, .retryAfter = std::max(blockedFor, getWait(missing + retrying)), .level = tracked.bucket.level };
}

QuotaGrant requestGrant(QuotaServer& server, const QuotaConfiguration& configuration, const std::string& account, int priority, TimePoint now)
{
    auto* quota = findQuota(configuration.accounts, account);
    if (!quota)
        return { .isGranted = true };
    auto& tracked = server.accounts.try_emplace(account, TrackedAccount { .bucket = { 0, now }, .isStrict = true }).first->second;
    auto limits = scaleLimits(getQuotaLimits(*quota, configuration.rule), server.share);
    refillAccount(tracked, limits.pace, limits.capacity, now);
    auto& demand = tracked.demands.try_emplace(priority, PriorityDemand { .guaranteed = { 0, now } }).first->second;
    demand.asked = countEvent(demand.asked, now);
    auto needed = 1 + getUrgentReserve(tracked, priority, limits.capacity, quota->burst * server.share, now);
    auto missing = std::max(0.0, needed - tracked.bucket.level);
    auto startAfter = missing == 0 ? milliseconds(0) : getRefillTime(missing, limits.pace);
    bool isSoon = startAfter <= kMaxGrantDelay && !isContended(tracked, now);
    bool isGranted = missing == 0 || isSoon;
    if (!isGranted && tracked.bucket.level >= 1 && takeGuaranteed(tracked, priority, limits.pace, now)) {
        isGranted = true;
        startAfter = {};
    }
    if (!isGranted)
        return refuseGrant(tracked, configuration, priority, limits, missing, now);
    auto level = tracked.bucket.level;
    tracked.bucket.level -= 1;
    return { .isGranted = true, .startAfter = startAfter, .level = level };
}

std::optional<milliseconds> getNewestReportAge(const QuotaServer& server, TimePoint now)
{
    std::optional<milliseconds> newest;
    for (auto& [name, host] : server.hosts) {
        auto age = std::chrono::duration_cast<milliseconds>(now - host.lastReportAt);
        if (!host.hasLeft && (!newest || age < *newest))
            newest = age;
    }
    return newest;
}

std::vector<AccountStatus> getAccountStatus(const QuotaServer& server, const QuotaConfiguration& configuration, TimePoint now)
{
    std::vector<AccountStatus> statuses;
    for (auto& [name, tracked] : server.accounts) {
        auto* quota = findQuota(configuration.accounts, name);
        if (!quota)
            continue;
        auto limits = scaleLimits(getQuotaLimits(*quota, configuration.rule), server.share);
        AccountStatus status { name, refillBucket(tracked.bucket, limits.pace, limits.capacity, now).level, limits.capacity, limits.pace, tracked.isStrict, isContended(tracked, now), {} };
        for (auto& [priority, demand] : tracked.demands)
            status.askedPerSecond[priority] = getPerSecond(demand.asked, now);
        statuses.push_back(std::move(status));
    }
    return statuses;
}

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

bool hasLease(const QuotaHost& host, TimePoint now)
{
    return host.leaseStartedAt != TimePoint {} && now - host.leaseStartedAt < kQuotaLeaseTime;
}

static bool isBlocked(const AccountUsage& usage, int priority, TimePoint now)
{
    return std::ranges::any_of(usage.blocks, [&](auto& it) { return it.first <= priority && now < it.second.until; });
}

Admission admitOperation(const QuotaHost& host, const std::string& account, int priority, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now)
{
    auto it = host.accounts.find(account);
    if (it != host.accounts.end() && isBlocked(it->second, priority, now))
        return Admission::Refuse;
    if (!hasLease(host, now) || host.strictAccounts.contains(account))
        return Admission::RequestGrant;
    // The quota server may have failed since the lease was renewed. Its successor does not count the unreported operations, so those of all hosts are limited.
    auto maxUnreported = std::max(1.0, kMaxUnreportedRatio * getQuotaLimits(quota, rule).capacity / static_cast<double>(std::max<size_t>(1, hostCount)));
    auto unreported = it == host.accounts.end() ? 0 : it->second.counts.begun - std::min(it->second.counts.begun, it->second.charged.begun);
    return static_cast<double>(unreported) < maxUnreported ? Admission::Begin : Admission::RequestGrant;
}

const QuotaBlock* findBlock(const QuotaHost& host, const std::string& account, int priority)
{
    auto it = host.accounts.find(account);
    const QuotaBlock* last = nullptr;
    if (it == host.accounts.end())
        return nullptr;
    for (auto& [blocked, block] : it->second.blocks) {
        if (blocked <= priority && (!last || block.retryAt > last->retryAt))
            last = &block;
    }
    return last;
}

milliseconds getRetryAfter(const QuotaHost& host, const std::string& account, int priority, TimePoint now)
{
    auto* block = findBlock(host, account, priority);
    return block ? std::chrono::ceil<milliseconds>(std::max(now, block->retryAt) - now) : milliseconds(0);
}

bool beginWithoutQuotaServer(QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now)
{
    auto leaseEnd = std::max(host.leaseStartedAt, host.startedAt) + kQuotaLeaseTime;
    auto limits = getQuotaLimits(quota, rule);
    auto hosts = static_cast<double>(std::max<size_t>(1, hostCount));
    // Each host can have saved one operation, so with too many hosts the saved operations alone could exceed the bound.
    if (now < leaseEnd || hosts > limits.capacity + limits.reserve)
        return false;
    auto& bucket = host.accounts[account].ownBucket;
    if (bucket.updatedAt < leaseEnd)
        bucket = { 0, leaseEnd };
    bucket = refillBucket(bucket, limits.pace / hosts, std::max(1.0, limits.capacity / hosts), now);
    if (bucket.level < 1)
        return false;
    bucket.level -= 1;
    return true;
}

void recordOperation(QuotaHost& host, const std::string& account, bool isGranted, TimePoint)
{
    if (isGranted) // charged by the quota server already
        return;
    auto& usage = host.accounts[account];
    ++usage.counts.begun;
    usage.isUnreported = true;
}

static TimePoint getEarlier(TimePoint a, TimePoint b)
{
    return a == TimePoint {} || (b != TimePoint {} && b < a) ? b : a;
}

void revertOperation(QuotaHost& host, const std::string& account, bool isOwnBucket, TimePoint countedAt)
{
    auto& usage = host.accounts[account];
    if (isOwnBucket) {
        usage.ownBucket.level += 1;
        return;
    }
    ++usage.counts.returned;
    usage.unreportedReturnFrom = getEarlier(usage.unreportedReturnFrom, countedAt);
    usage.isUnreported = true;
}

ReportedUsage takeUsageReport(AccountUsage& usage, const std::string& account, TimePoint now)
{
    usage.reportedReturnFrom = getEarlier(usage.reportedReturnFrom, usage.unreportedReturnFrom);
    usage.unreportedReturnFrom = {};
    usage.isUnreported = false;
    auto age = usage.reportedReturnFrom == TimePoint {} ? TimePoint::duration::zero() : std::max(TimePoint::duration::zero(), now - usage.reportedReturnFrom);
    return { account, usage.counts, usage.charged, std::chrono::ceil<milliseconds>(age) };
}

void blockAccount(QuotaHost& host, const std::string& account, int priority, const QuotaGrant& refusal, TimePoint now)
{
    host.accounts[account].blocks[priority] = { now + refusal.blockedFor, now + refusal.retryAfter, refusal.level };
}

void acknowledgeReport(QuotaHost& host, const std::string& account, const UsageCounts& counts)
{
    auto it = host.accounts.find(account);
    if (it == host.accounts.end())
        return;
    auto& charged = it->second.charged;
    charged = { std::max(charged.begun, counts.begun), std::max(charged.returned, counts.returned) };
    it->second.reportedReturnFrom = {};
}

}
