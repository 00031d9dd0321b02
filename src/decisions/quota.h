// Distributed rate limiting: bounds the operations of a client account that begin on all hosts together within any time window. Answers an account that sends
// several times its usual load through all hosts, also while hosts restart or cannot reach each other, without refusing accounts below their quotas for longer than a moment.
//
// A few hosts act as quota servers. Each keeps a token bucket for each account. Its refill rate and capacity scale with the share of the hosts that report to
// it, so the buckets of all quota servers add up to one bucket of the whole quota. Each host reports the operations it has begun to one quota server and holds a
// lease while its reports are answered. Under a lease, operations begin without a request unless the account is strict, that is, its bucket is low: then each
// operation needs a grant. A host without a lease has a bucket of its own with its equal share of the quota.
//
// A quota server that has just started begins with empty buckets. It needs no knowledge of earlier operations: what they used is no longer in any bucket.
// docs/design/0012-paced-quotas.md states the bound and its proof.
//
// COMMON MISTAKES
//   - Reporting increments. A lost or duplicated report would be missed or counted twice; reports hold counts that only grow.
//   - Filling a bucket at its start, or when a host joins. Each restart would then admit another burst within the same window.
//   - Returning the token of an operation that was counted long ago as if it were new. Without the operation the bucket could have been full since.
//
// [SECTION] Limits        what a quota allows
// [SECTION] Bucket        the token bucket of one account
// [SECTION] Server        counts for all hosts
// [SECTION] Host          admits operations on this host
#pragma once
#include "decisions/accounts.h"
#include "decisions/freshness.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

// Settings for enforcing quotas, common to all accounts.
struct QuotaRule {
    milliseconds window { 5000 };
    double toleranceShare { 0.1 }; // of the quota, allowed in excess of it
    double toleranceCount { 20 }; // operations allowed in excess of the quota, in addition to toleranceShare
    friend bool operator==(const QuotaRule&, const QuotaRule&) = default;
};

struct QuotaLimits {
    double hardLimit { 0 }; // guaranteed maximum of operations in any window
    double pace { 0 }; // refill rate of the bucket, in operations per second
    double capacity { 0 }; // of the bucket, in operations; at least the quota's burst
    double reserve { 0 }; // operations of a window that are left for operations missing from the count
    friend bool operator==(const QuotaLimits&, const QuotaLimits&) = default;
};

QuotaLimits getQuotaLimits(const AccountQuota& quota, const QuotaRule& rule);

//-----------------------------------------------------------------------------
// [SECTION] Bucket
//-----------------------------------------------------------------------------

// Level of a token bucket at a point in time. A negative level is a debt: operations that began before they were charged.
struct TokenBucket {
    double level { 0 }; // operations
    TimePoint updatedAt {};
    friend bool operator==(const TokenBucket&, const TokenBucket&) = default;
};

// Refills the bucket until `now` and cuts its level to the capacity.
TokenBucket refillBucket(TokenBucket bucket, double pace, double capacity, TimePoint now);

// Exponentially smoothed rate of events.
struct EventRate {
    double perSecond { 0 }; // at `countedAt`
    TimePoint countedAt {};
    friend bool operator==(const EventRate&, const EventRate&) = default;
};

EventRate countEvent(const EventRate& rate, TimePoint now);
double getPerSecond(const EventRate& rate, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

inline constexpr milliseconds kQuotaLeaseTime { 1250 }; // from the sending of an answered report; long enough to survive two lost answers
inline constexpr milliseconds kQuotaReportInterval { 250 }; // maximum delay before an operation is reported
inline constexpr milliseconds kQuotaIdleReportInterval { 500 }; // between reports while no operations begin
inline constexpr milliseconds kQuotaReportTimeout { 750 }; // without a report for this long, a host's share leaves the buckets; longer than the report interval, shorter than the lease

// Operations of one account since the start of a host's process. The counts only grow.
struct UsageCounts {
    uint64_t begun { 0 }; // without a grant
    uint64_t returned { 0 }; // counted or granted, but not begun
    friend bool operator==(const UsageCounts&, const UsageCounts&) = default;
};

// The requests of one priority for grants of an account. 0 is the highest priority.
struct PriorityDemand {
    EventRate asked {};
    EventRate refused {}; // these callers are expected to retry
    TokenBucket guaranteed {}; // keeps a less urgent priority from starving while more urgent ones take all tokens
};

// The least room that a bucket had below its capacity, from `startedAt` to the start of the next slice.
struct HeadroomSlice {
    TimePoint startedAt {};
    double least { 0 }; // operations
};

struct TrackedAccount {
    TokenBucket bucket {};
    std::deque<HeadroomSlice> headroom {}; // of the bucket, the oldest slice first
    std::map<std::string, UsageCounts> chargedByHost {}; // counts already charged, for the current process of each host
    std::map<int, PriorityDemand> demands {}; // by priority
    bool isStrict { false };
    TimePoint lastRefusedAt {}; // the account is contended for a while after it
};

struct ReportingHost {
    uint64_t incarnation { 0 }; // of its process
    TimePoint lastReportAt {};
    bool hasLeft { false }; // it reports to another quota server, or its connection has ended
};

struct QuotaServer {
    std::map<std::string, TrackedAccount> accounts {}; // all accounts of the configuration that have a quota
    std::map<std::string, ReportingHost> hosts {};
    double share { 0 }; // of the quotas, in [0, 1]: the part of the system's hosts that reported at the last update
};

// The operations of one account that a host has begun.
struct ReportedUsage {
    std::string account {};
    UsageCounts counts {};
    UsageCounts charged {}; // as acknowledged by any quota server
    milliseconds returnedAge { 0 }; // time since the oldest of the returned operations that are not acknowledged was counted
};

struct QuotaReport {
    std::string host {};
    uint64_t incarnation { 0 }; // of the host's process
    bool isWhole { false }; // lists all accounts used since the process started, not just those that changed
    bool isLeaving { false }; // the host's next report goes to another quota server
    std::vector<ReportedUsage> accounts {};
};

// Configuration that a quota server applies.
struct QuotaConfiguration {
    QuotaRule rule {};
    const Accounts& accounts;
    size_t hostCount { 1 }; // in the system, this one included
};

struct ReportResult {
    bool isAccepted { true }; // false: the quota server does not know the host and needs a whole report
    bool hasStrictChanged { false }; // an account became strict or stopped being strict
};

ReportResult applyReport(QuotaServer& server, const QuotaConfiguration& configuration, const QuotaReport& report, TimePoint now);
// Removes a host whose connection has ended. Returns whether an account became strict or stopped being strict.
bool removeHost(QuotaServer& server, const QuotaConfiguration& configuration, const std::string& host, TimePoint now);
// Updates all buckets and drops silent hosts. Returns whether an account became strict or stopped being strict. Call it every few hundred ms.
bool sweepQuotaServer(QuotaServer& server, const QuotaConfiguration& configuration, TimePoint now);
std::vector<std::string> getStrictAccounts(const QuotaServer& server);
// Hosts whose last report is recent.
size_t countReportingHosts(const QuotaServer& server, TimePoint now);
// Whether any host other than `self` has reported recently.
bool hasOtherReportingHost(const QuotaServer& server, const std::string& self, TimePoint now);

struct QuotaGrant {
    bool isGranted { false };
    milliseconds startAfter { 0 }; // if granted: the operation must not begin before its token is there
    milliseconds blockedFor { 0 }; // if refused: the host requests no grant of this priority or a less urgent one meanwhile
    milliseconds retryAfter { 0 }; // if refused: when a retry is likely to be granted
    double level { 0 }; // of the bucket, before the decision
    friend bool operator==(const QuotaGrant&, const QuotaGrant&) = default;
};

// Decides whether one operation may begin, now or soon, and charges it if so.
QuotaGrant requestGrant(QuotaServer& server, const QuotaConfiguration& configuration, const std::string& account, int priority, TimePoint now);

// State of one account at a quota server, for operators.
struct AccountStatus {
    std::string account {};
    double level { 0 };
    double capacity { 0 };
    double pace { 0 }; // operations per second
    bool isStrict { false };
    bool isContended { false };
    std::map<int, double> askedPerSecond {}; // grants, by priority
};

// nullopt: no host reports to this one.
std::optional<milliseconds> getNewestReportAge(const QuotaServer& server, TimePoint now);
std::vector<AccountStatus> getAccountStatus(const QuotaServer& server, const QuotaConfiguration& configuration, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

enum class Admission {
    Begin, // without a grant
    RequestGrant, // the quota server decides
    Refuse,
};

// A refusal by a quota server that still applies to requests of its priority and less urgent ones.
struct QuotaBlock {
    TimePoint until {};
    TimePoint retryAt {};
    double level { 0 }; // of the account's bucket when the quota server refused
};

struct AccountUsage {
    UsageCounts counts {};
    UsageCounts charged {}; // as acknowledged by any quota server
    std::map<int, QuotaBlock> blocks {}; // by priority
    TokenBucket ownBucket {}; // used while no quota server answers
    bool isUnreported { false }; // changed since the last report
    // When the oldest of the returned operations was counted that no report contains yet, and that are in a report without acknowledgement; zero: there are none.
    TimePoint unreportedReturnFrom {};
    TimePoint reportedReturnFrom {};
};

// The quota state of a host for the accounts of one shard.
struct QuotaHost {
    TimePoint startedAt {}; // of the host's process
    std::map<std::string, AccountUsage> accounts {};
    std::set<std::string> strictAccounts {};
    TimePoint leaseStartedAt {}; // when the latest answered report was sent
};

bool hasLease(const QuotaHost& host, TimePoint now);
Admission admitOperation(const QuotaHost& host, const std::string& account, int priority, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now);
// The time after which a caller that admitOperation() refused should retry.
milliseconds getRetryAfter(const QuotaHost& host, const std::string& account, int priority, TimePoint now);
// The block that ends last of those that apply to the priority, or nullptr.
const QuotaBlock* findBlock(const QuotaHost& host, const std::string& account, int priority);
// Takes a token from the host's own bucket while no quota server answers. None is available before the lease has expired, because until then a quota
// server may grant the host's share to other hosts.
bool beginWithoutQuotaServer(QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now);
// Counts an operation that begins under the lease or a grant.
void recordOperation(QuotaHost& host, const std::string& account, bool isGranted, TimePoint now);
// Returns an operation that was admitted but did not begin. `isOwnBucket`: beginWithoutQuotaServer() admitted it. `countedAt`: when it was admitted, or earlier.
void revertOperation(QuotaHost& host, const std::string& account, bool isOwnBucket, TimePoint countedAt);
void blockAccount(QuotaHost& host, const std::string& account, int priority, const QuotaGrant& refusal, TimePoint now);
// Returns the account's entry for a report that is sent now.
ReportedUsage takeUsageReport(AccountUsage& usage, const std::string& account, TimePoint now);
// Records that a quota server has charged the account's operations up to `counts`, which are those of the latest report.
void acknowledgeReport(QuotaHost& host, const std::string& account, const UsageCounts& counts);

}
