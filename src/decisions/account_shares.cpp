#include "decisions/account_shares.h"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace alderward::decisions {

// Lead of an account, in ms for each slot: it delays other accounts' less urgent operations by as much, because within a rank the more urgent
// ones go first. An eighth of an objective of about 1.2 s is a tolerable wait.
static constexpr double kToleratedLeadMs = 150;
// Multiple of the free places for transactions that one account may hold. A single account then leaves a fifth of the places to others, whose
// transactions would otherwise wait until it ends its own.
static constexpr size_t kHeldPerFreePlace = 4;
// Bound of the refused operations that count for an account's retry time, as a multiple of the longest retry time. Without it, the times stay long
// for minutes after an overload. A multiple of 1 is too short: callers of an account that keeps sending too much are told to retry too soon.
static constexpr double kMaxRefusedWaits = 5;

uint32_t getAccountNumber(AccountShares& shares, const std::string& name)
{
    if (name.empty())
        return 0;
    auto it = std::ranges::find(shares.accounts, name, &AccountShare::name);
    if (it != shares.accounts.end())
        return static_cast<uint32_t>(it - shares.accounts.begin());
    shares.accounts.push_back({ .name = name, .finish = shares.virtualTime });
    return static_cast<uint32_t>(shares.accounts.size() - 1);
}

static double getLeadMs(const AccountShares& shares, const AccountShare& account)
{
    return (account.finish - shares.virtualTime) * account.weight;
}

void advanceShares(AccountShares& shares, unsigned slots, double workMs, TimePoint now)
{
    auto elapsedMs = shares.updatedAt == TimePoint {} ? 0 : std::max(0.0, std::chrono::duration<double, std::milli>(now - shares.updatedAt).count());
    auto availableMs = elapsedMs * shares.slots;
    if (shares.activeWeight > 0)
        shares.virtualTime += availableMs / shares.activeWeight;
    double activeWeight = 0;
    for (auto& it : shares.accounts) {
        if (it.waiting > 0 || it.finish > shares.virtualTime)
            activeWeight += it.weight;
    }
    shares.updatedAt = now;
    shares.activeWeight = activeWeight;
    shares.slots = std::max(1U, slots);
    shares.leadMs = shares.slots * std::max(kToleratedLeadMs, workMs); // at least one statement in each slot
    for (auto& it : shares.accounts) {
        it.finish = std::max(it.finish, shares.virtualTime);
        it.rank = static_cast<unsigned>(std::min<double>(kMaxShareRank, getLeadMs(shares, it) / shares.leadMs));
        if (it.refusedMs > 0)
            it.refusedMs = std::max(0.0, it.refusedMs - availableMs * it.weight / std::max(it.weight, activeWeight));
    }
}

double chargeAccount(AccountShares& shares, uint32_t account, double ms)
{
    auto& it = shares.accounts.at(account);
    // Bounded, so that an account that used idle capacity for long is not held back for as long.
    auto maxFinish = shares.virtualTime + (kMaxShareRank + 1) * shares.leadMs / it.weight;
    auto before = it.finish;
    it.finish = std::clamp(it.finish + ms / it.weight, shares.virtualTime, std::max(shares.virtualTime, maxFinish));
    return (it.finish - before) * it.weight;
}

double getCapacityShare(const AccountShares& shares, uint32_t account)
{
    auto& it = shares.accounts.at(account);
    return it.weight / std::max(it.weight, shares.activeWeight);
}

unsigned getShareRank(const AccountShares& shares, uint32_t account)
{
    return shares.isCompeting ? shares.accounts[account].rank : 0;
}

double getRefusedWaitMs(AccountShares& shares, uint32_t account, double ms, double maxWaitMs)
{
    auto& it = shares.accounts.at(account);
    auto capacity = getCapacityShare(shares, account) * shares.slots; // slot time per ms
    auto waitMs = (it.refusedMs + std::max(0.0, getLeadMs(shares, it) - shares.leadMs)) / capacity;
    it.refusedMs = std::min(it.refusedMs + ms, kMaxRefusedWaits * maxWaitMs * capacity);
    return std::min(waitMs, maxWaitMs);
}

static size_t getPlaceShare(const AccountShares& shares, const AccountShare& account, size_t places)
{
    double weight = 0;
    for (auto& it : shares.accounts) {
        if (it.openTransactions > 0 || it.waitingTransactions > 0)
            weight += it.weight;
    }
    return std::max<size_t>(1, static_cast<size_t>(static_cast<double>(places) * account.weight / std::max(weight, account.weight)));
}

bool canBeginTransaction(const AccountShares& shares, uint32_t account, size_t places, size_t open)
{
    if (open >= places)
        return false;
    auto& it = shares.accounts.at(account);
    if (!shares.isEnabled || it.openTransactions == 0 || it.openTransactions < kHeldPerFreePlace * (places - open))
        return true;
    return it.openTransactions < getPlaceShare(shares, it, places)
        && std::ranges::any_of(shares.accounts, [&](const AccountShare& other) { return &other != &it && other.waitingTransactions > 0; });
}

size_t getKeptConnections(const AccountShares& shares, uint32_t account, size_t maxConnections)
{
    if (getShareRank(shares, account) == 0)
        return std::numeric_limits<size_t>::max();
    return std::max<size_t>(1, static_cast<size_t>(getCapacityShare(shares, account) * static_cast<double>(maxConnections)));
}

}
