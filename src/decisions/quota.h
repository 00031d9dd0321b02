// Quotas of client accounts over all hosts: how many operations of an account may begin in any window of time, wherever they come in.
//
// The load that this answers: an account that sends several times its quota from one moment to the next, through all hosts, each of which sees little of it.
// A few hosts, the keepers, count for all. Each host follows one keeper, tells it what it has begun, and holds a lease while it answers: under it,
// operations of accounts that are far below their quota begin at once. An account that comes near to its quota is strict: each of its operations is
// asked for before it begins. A keeper may give out the equal shares of the hosts that follow it. A host without a lease begins no more than its own share, or what it
// had told when its lease was renewed last, and keepers leave it that.
// docs/design/0011-accounts.md has the bound and its proof.
//
// COMMON MISTAKES
//   - Telling what was begun since the last time. A report that is lost or comes twice would be lost or counted twice: a host tells all of its window.
//
// [SECTION] Limits   what a quota allows
// [SECTION] Uses     operations that began
// [SECTION] Keeper   counts for all hosts
// [SECTION] Host     decides what begins here
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

// How strictly operators hold quotas, the same for all accounts.
struct QuotaRule {
    milliseconds window { 5000 };
    double toleranceShare { 0.1 }; // share of the quota that may pass besides
    double toleranceCount { 20 }; // operations that may pass besides
    friend bool operator==(const QuotaRule&, const QuotaRule&) = default;
};

struct QuotaLimits {
    double hardLimit { 0 }; // operations in any window; more breaks the promise
    double admissionLimit { 0 }; // that keepers let begin; what lies between is for hosts that they do not hear and for what is under way
};

QuotaLimits getQuotaLimits(const AccountQuota& quota, const QuotaRule& rule);

//-----------------------------------------------------------------------------
// [SECTION] Uses
//-----------------------------------------------------------------------------

// Operations that began close to each other.
struct UsageBucket {
    TimePoint at {}; // the last of them
    unsigned count { 0 };
    friend bool operator==(const UsageBucket&, const UsageBucket&) = default;
};

using UsageHistory = std::deque<UsageBucket>; // oldest first

void addUsage(UsageHistory& uses, TimePoint now);
// The newest one did not begin after all.
void removeLatestUsage(UsageHistory& uses);
void pruneUsage(UsageHistory& uses, TimePoint before);
// Those behind `after`, up to `until`.
unsigned countUsage(const UsageHistory& uses, TimePoint after, TimePoint until);

//-----------------------------------------------------------------------------
// [SECTION] Keeper
//-----------------------------------------------------------------------------

inline constexpr milliseconds kQuotaLeaseTime { 1250 }; // from the moment at which a report was sent that a keeper answered: two answers may be lost
inline constexpr milliseconds kQuotaReportInterval { 250 }; // at most, between an operation's begin and the word of it
inline constexpr milliseconds kQuotaIdleReportInterval { 500 }; // between two reports where nothing began
inline constexpr milliseconds kQuotaSilentHostTimeout { 12000 }; // what a silent host may begin is counted this long; its entry in the platform's store lapses after about as much

// What one host says of one account, as a keeper has it.
struct HostUsage {
    UsageHistory uses {};
    std::map<uint64_t, TimePoint> grants {}; // given, and not in `uses` yet: by number
};

struct TrackedAccount {
    std::map<std::string, HostUsage> hosts {};
    bool isStrict { false };
    TimePoint nearQuotaAt {}; // when it was last known to have come near to its quota; it can be strict for what is not known, too
};

struct ReportingHost {
    TimePoint lastReportAt {};
    TimePoint historyStartsAt {}; // what it has begun before this is not known
};

struct QuotaCoordinator {
    std::map<std::string, TrackedAccount> accounts {};
    std::map<std::string, ReportingHost> hosts {};
    std::set<std::string> storedNearQuota {}; // accounts that came near to their quotas lately, as the shard's keepers have written it down
    uint64_t lastGrantNumber { 0 };
};

// What a host has begun of one account within the window, on the keeper's clock.
struct ReportedUsage {
    std::string account {};
    UsageHistory uses {};
    uint64_t grantsTaken { 0 }; // grants up to this number are in `uses`, or were given back
};

struct QuotaReport {
    std::string host {};
    TimePoint historyStartsAt {}; // the host's process has begun nothing before this that it knows of
    bool isWhole { false }; // it names all accounts of which the host has begun something in the window, not only what has changed
    std::vector<ReportedUsage> accounts {};
};

// What a keeper goes by besides what it was told.
struct QuotaView {
    QuotaRule rule {};
    const Accounts& accounts;
    size_t hostCount { 1 }; // that there are, this one included
};

struct ReportResult {
    bool isAccepted { true }; // false: the keeper lacks what the host told before, and takes only a whole report
    bool hasStrictChanged { false }; // an account has become strict, or is strict no longer
    bool hasNewNearQuota { false }; // an account that came near to its quota is not written down as one yet
};

ReportResult applyReport(QuotaCoordinator& coordinator, const QuotaView& view, const QuotaReport& report, TimePoint now);
// Looks at all accounts, and forgets what is too old to matter. Returns whether one has become strict, or is strict no longer. Call it every few hundred ms.
bool sweepCoordinator(QuotaCoordinator& coordinator, const QuotaView& view, TimePoint now);
std::vector<std::string> getStrictAccounts(const QuotaCoordinator& coordinator);
// What is to be written down where it outlasts all hosts, so that those that start anew know which accounts may have used their quotas up.
std::set<std::string> getNearQuotaAccounts(const QuotaCoordinator& coordinator, TimePoint now);
// Hosts that follow the keeper and reported lately.
size_t countReportingHosts(const QuotaCoordinator& coordinator, TimePoint now);
// Whether any host but `self` does.
bool hasOtherReportingHost(const QuotaCoordinator& coordinator, const std::string& self, TimePoint now);

// Of the hosts that follow the keeper.
struct QuotaBudget {
    double used { 0 }; // operations of the window, and what may have begun unseen
    double estimated { 0 }; // of these, the latter
    double limit { 0 };
};

QuotaBudget getQuotaBudget(const QuotaCoordinator& coordinator, const QuotaView& view, const std::string& account, const AccountQuota& quota, TimePoint now);

struct QuotaGrant {
    bool isGranted { false };
    uint64_t number { 0 }; // of the grant, for the host's report
    milliseconds blockedFor { 0 }; // refused: no operation of the account can begin before
};

QuotaGrant requestGrant(QuotaCoordinator& coordinator, const QuotaView& view, const std::string& host, const std::string& account, TimePoint now);

//-----------------------------------------------------------------------------
// [SECTION] Host
//-----------------------------------------------------------------------------

enum class Admission {
    Begin, // at once
    Ask, // a keeper decides
    Refuse,
};

struct AccountUsage {
    UsageHistory uses {};
    TimePoint blockedUntil {}; // as a keeper said
    bool isUnreported { false }; // since it was last told
};

// What a host knows of quotas, for the accounts of one shard.
struct QuotaHost {
    TimePoint startedAt {}; // when its process began
    std::map<std::string, AccountUsage> accounts {};
    std::set<std::string> strictAccounts {};
    TimePoint leaseStartedAt {}; // when the newest report was sent that a keeper answered
};

bool hasLease(const QuotaHost& host, TimePoint now);
// `hosts`: that there are.
Admission admitOperation(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now);
// Whether an operation may begin though no keeper answers. None may until the lease has ended: keepers have left it nothing before.
bool mayBeginWithoutCoordinator(const QuotaHost& host, const std::string& account, const AccountQuota& quota, const QuotaRule& rule, size_t hostCount, TimePoint now);
void recordOperation(QuotaHost& host, const std::string& account, TimePoint now);
void revertOperation(QuotaHost& host, const std::string& account);
void blockAccount(QuotaHost& host, const std::string& account, milliseconds blockedFor, TimePoint now);
void pruneUsage(QuotaHost& host, const QuotaRule& rule, TimePoint now);

}
