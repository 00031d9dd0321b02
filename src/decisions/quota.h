// Distributed rate limiting: bounds the operations of a client account that begin on all hosts together within any time window.
//
// A few hosts act as quota servers. Each host reports the operations it has begun to one quota server and holds a lease while its reports are answered.
// Under a lease, operations begin without a request unless the account is strict, that is, near its quota: then each operation needs a grant.
// A host without a lease is limited to its equal share of the quota or to the usage it had last reported, whichever is more; quota servers reserve that much.
// docs/design/0011-accounts.md states the bound and its proof.
//
// COMMON MISTAKES
//   - Reporting increments. A lost or duplicated report would be missed or counted twice; each report holds the whole window.
//
// [SECTION] Limits        what a quota allows
// [SECTION] Usage         operations that have begun
// [SECTION] Server        counts for all hosts
// [SECTION] Host          admits operations on this host
#pragma once
#include "decisions/accounts.h"
#include "decisions/freshness.h"
#include <deque>
#include <map>
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
    double admissionLimit { 0 }; // operations that quota servers admit per window; the rest is reserved for unreachable hosts and for unreported operations
};

QuotaLimits getQuotaLimits(const AccountQuota& quota, const QuotaRule& rule);

//-----------------------------------------------------------------------------
// [SECTION] Usage
//-----------------------------------------------------------------------------

// Operations that began within the same short interval.
struct UsageBucket {
    TimePoint at {}; // when the last one began
    unsigned count { 0 };
    friend bool operator==(const UsageBucket&, const UsageBucket&) = default;
};

using UsageHistory = std::deque<UsageBucket>; // oldest first

void addUsage(UsageHistory& history, TimePoint now);
// Removes the latest operation, which was counted but did not begin.
void removeLatestUsage(UsageHistory& history);
void pruneUsage(UsageHistory& history, TimePoint before);
// Counts the operations in (after, until].
unsigned countUsage(const UsageHistory& history, TimePoint after, TimePoint until);

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

inline constexpr milliseconds kQuotaLeaseTime { 1250 }; // from the sending of an answered report; long enough to survive two lost answers
inline constexpr milliseconds kQuotaReportInterval { 250 }; // maximum delay before an operation is reported
inline constexpr milliseconds kQuotaIdleReportInterval { 500 }; // between reports while no operations begin
inline constexpr milliseconds kQuotaSilentHostTimeout { 12000 }; // how long usage stays reserved for a silent host; similar to the lifetime of its entry in the platform's store

// The usage of one account by one host, as known to a quota server.
struct HostUsage {
    UsageHistory history {};
    std::map<uint64_t, TimePoint> grants {}; // by number: granted and not yet reported in `history`
};

struct TrackedAccount {
    std::map<std::string, HostUsage> hosts {};
    bool isStrict { false };
    TimePoint nearQuotaAt {}; // when reported usage was last near the quota; estimates can make an account strict without it
};

struct ReportingHost {
    TimePoint lastReportAt {};
    TimePoint historyStartsAt {}; // its earlier operations are unknown
};

struct QuotaServer {
    std::map<std::string, TrackedAccount> accounts {};
    std::map<std::string, ReportingHost> hosts {};
    std::set<std::string> storedNearQuota {}; // accounts recently near their quotas, as persisted by the shard's quota servers
    uint64_t lastGrantNumber { 0 };
};

// The operations of one account that a host has begun within the window, in the quota server's time.
struct ReportedUsage {
    std::string account {};
    UsageHistory history {};
    uint64_t grantsTaken { 0 }; // grants up to this number are included in `history` or were returned
};

struct QuotaReport {
    std::string host {};
    TimePoint historyStartsAt {}; // the report covers operations since then
    bool isWhole { false }; // lists all accounts used within the window, not just those that changed
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
    bool hasNewNearQuota { false }; // an account near its quota is not persisted as such yet
};

ReportResult applyReport(QuotaServer& server, const QuotaConfiguration& configuration, const QuotaReport& report, TimePoint now);
// Re-evaluates all accounts and drops expired records. Returns whether an account became strict or stopped being strict. Call it every few hundred ms.
bool sweepQuotaServer(QuotaServer& server, const QuotaConfiguration& configuration, TimePoint now);
std::vector<std::string> getStrictAccounts(const QuotaServer& server);
// The accounts to persist, so that quota servers know after a restart of all hosts which accounts may have exhausted their quotas.
std::set<std::string> getNearQuotaAccounts(const QuotaServer& server, TimePoint now);
// Hosts whose last report is recent.
size_t countReportingHosts(const QuotaServer& server, TimePoint now);
// Whether any host other than `self` has reported recently.
bool hasOtherReportingHost(const QuotaServer& server, const std::string& self, TimePoint now);

// Usage and limit of one account in a window, over the hosts that report to the quota server.
struct QuotaBudget {
    double used { 0 }; // operations, including `estimated`
    double estimated { 0 }; // allowance for unknown operations of hosts that started within the window
    double limit { 0 };
};

QuotaBudget getQuotaBudget(const QuotaServer& server, const QuotaConfiguration& configuration, const std::string& account, const AccountQuota& quota, TimePoint now);

struct QuotaGrant {
    bool isGranted { false };
    uint64_t number { 0 }; // identifies the grant in the host's reports
    milliseconds blockedFor { 0 }; // if refused: no operation of the account is admitted for this long
};

QuotaGrant requestGrant(QuotaServer& server, const QuotaConfiguration& configuration, const std::string& host, const std::string& account, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

enum class Admission {
    Begin, // without a grant
    RequestGrant, // the quota server decides
    Refuse,
};

struct AccountUsage {
    UsageHistory history {};
    TimePoint blockedUntil {}; // as the quota server requested
    bool isUnreported { false }; // changed since the last report
};

// The quota state of a host for the accounts of one shard.
struct QuotaHost {
    TimePoint startedAt {}; // of the host's process
    std::map<std::string, AccountUsage> accounts {};
    std::set<std::string> strictAccounts {};
    TimePoint leaseStartedAt {}; // when the latest answered report was sent
};

bool hasLease(const QuotaHost& host, TimePoint now);
Admission admitOperation(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now);
// Whether an operation may begin while no quota server answers. None may before the lease has expired, because quota servers reserve nothing for the host until then.
bool mayBeginWithoutQuotaServer(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now);
void recordOperation(QuotaHost& host, const std::string& account, TimePoint now);
void revertOperation(QuotaHost& host, const std::string& account);
void blockAccount(QuotaHost& host, const std::string& account, milliseconds blockedFor, TimePoint now);
void pruneUsage(QuotaHost& host, const QuotaRule& rule, TimePoint now);

}
