// Shares a member's slots, connections and places for transactions between the client accounts that compete for them. Weighted fair
// queueing: a virtual clock advances at the rate at which each active account may use the member, and each account has a finish time that
// advances by the slot time that it uses. An account whose finish time is ahead of the clock has used more than its share.
//
// Accounts are ranked coarsely, by multiples of a lead that delays others by no more than callers tolerate. Within a rank the order of the
// queue decides, so that priorities and objectives hold between accounts that keep to their shares.
//
// COMMON MISTAKES
//   - Ranking accounts by their exact virtual times. An urgent operation would then wait for less urgent ones of every account that has used a little less.
//   - Counting unused capacity as an account's share. Idle capacity is used by any account, and is not owed to those that did not request it.
//
// [SECTION] Slots         order and refusals
// [SECTION] Resources     limits on what an account holds: connections and transactions
#pragma once
#include "decisions/freshness.h"
#include <string>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Slots
//-----------------------------------------------------------------------------

inline constexpr unsigned kMaxShareRank = 8;

struct AccountShare {
    std::string name {};
    double weight { 1 }; // above 0
    double finish { 0 }; // virtual time, in ms of slot time for each unit of weight
    unsigned rank { 0 }; // 0: within its share; otherwise multiples of the tolerated lead, at most kMaxShareRank
    unsigned waiting { 0 }; // queued statements
    unsigned waitingTransactions { 0 }; // of these, first statements of transactions
    unsigned openTransactions { 0 }; // maintained by the pool
    double refusedMs { 0 }; // slot time of refused operations whose callers are expected to retry; decreases at the rate of the account's share
};

struct AccountShares {
    bool isEnabled { false };
    bool isCompeting { false }; // some statement waits longer than callers tolerate, so the ranks apply
    std::vector<AccountShare> accounts { {} }; // by account number; 0 stands for requests without an account
    double virtualTime { 0 };
    double activeWeight { 0 }; // of the accounts that are queued or ahead of the clock
    double slots { 1 }; // statements sent to the member at a time
    double leadMs { 1 }; // slot time by which an account may be ahead of its share within rank 0
    TimePoint updatedAt {};
};

// Returns the number of the account, adding it if necessary. Numbers are never reused.
uint32_t getAccountNumber(AccountShares& shares, const std::string& name);
// Advances the clock and recomputes the ranks from the counts of queued statements. `workMs` is the typical time of one statement.
void advanceShares(AccountShares& shares, unsigned slots, double workMs, TimePoint now);
// Adds slot time used by the account; negative if an estimate was too high. Returns the time added, which is less where the lead reaches its bound.
double chargeAccount(AccountShares& shares, uint32_t account, double ms);
// Returns the part of the member's capacity that the account may use while all active accounts compete, in [0, 1].
double getCapacityShare(const AccountShares& shares, uint32_t account);
// Returns the rank by which entries of the account are ordered; 0 while accounts do not compete.
unsigned getShareRank(const AccountShares& shares, uint32_t account);
// Records a refused operation that costs `ms`, and returns the time until the account's share has capacity for it, at most `maxWaitMs`.
double getRefusedWaitMs(AccountShares& shares, uint32_t account, double ms, double maxWaitMs);

//-----------------------------------------------------------------------------
// [SECTION] Resources
//-----------------------------------------------------------------------------

// Whether the account may begin another transaction, where `places` transactions may be open in total.
bool canBeginTransaction(const AccountShares& shares, uint32_t account, size_t places, size_t open);
// Returns the number of connections, at least 1, that the account keeps while others wait for one. Accounts within their share keep any number.
size_t getKeptConnections(const AccountShares& shares, uint32_t account, size_t maxConnections);

}
