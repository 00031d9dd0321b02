#include "decisions/connections.h"
#include <algorithm>

namespace alderward::decisions {

static constexpr size_t kMaxWaitingPerBusyConnection = 2; // operations queued per busy connection above which another connection is opened
static constexpr milliseconds kMaxUnservedTime { 500 }; // an idle connection that has not served can be evicted after this, because the operation that it was opened for may have been cancelled

static bool canEvict(const PooledConnection& it, TimePoint now)
{
    return it.isIdle && (it.hasServed || now - it.lastUsedAt > kMaxUnservedTime);
}

static size_t countHeld(std::string_view account, const std::vector<PooledConnection>& pooled)
{
    return static_cast<size_t>(std::ranges::count(pooled, account, &PooledConnection::account));
}

// Whether the account's waiting operations protect its connections from eviction.
static bool isProtected(std::string_view account, const std::vector<PooledConnection>& pooled, const std::vector<AccountDemand>& demands)
{
    auto demand = std::ranges::find(demands, account, &AccountDemand::account);
    return demand != demands.end() && demand->waiting > 0 && countHeld(account, pooled) <= demand->kept;
}

// Finds the least recently used connection that can be evicted, among accounts that are not protected.
static std::optional<size_t> findLeastRecentlyUsed(const std::vector<PooledConnection>& pooled, const std::vector<AccountDemand>& demands, TimePoint now)
{
    std::optional<size_t> oldest;
    for (size_t i = 0; i < pooled.size(); ++i) {
        bool isOlder = !oldest || pooled[i].lastUsedAt < pooled[*oldest].lastUsedAt;
        if (isOlder && canEvict(pooled[i], now) && !isProtected(pooled[i].account, pooled, demands))
            oldest = i;
    }
    return oldest;
}

static bool needsConnection(const AccountDemand& demand, const std::vector<PooledConnection>& pooled)
{
    if (demand.waiting == 0 || demand.opening > 0)
        return false;
    bool hasIdle = std::ranges::any_of(pooled, [&](const PooledConnection& it) { return it.account == demand.account && it.isIdle; });
    auto busy = static_cast<size_t>(std::ranges::count_if(pooled, [&](const PooledConnection& it) { return it.account == demand.account && it.isRunningStatement; }));
    return !hasIdle && demand.waiting > kMaxWaitingPerBusyConnection * busy;
}

std::optional<OpeningPlan> planOpening(const std::vector<PooledConnection>& pooled, const std::vector<AccountDemand>& demands, const ConnectionCapacity& capacity, TimePoint now)
{
    if (capacity.opening >= capacity.maxOpening)
        return std::nullopt;
    for (auto& demand : demands) {
        if (!needsConnection(demand, pooled))
            continue;
        if (pooled.size() + capacity.opening < capacity.maxConnections)
            return OpeningPlan { std::string(demand.account), std::nullopt };
        if (countHeld(demand.account, pooled) >= demand.kept)
            continue;
        auto evicted = findLeastRecentlyUsed(pooled, demands, now);
        if (!evicted)
            return std::nullopt;
        return OpeningPlan { std::string(demand.account), evicted };
    }
    return std::nullopt;
}

}
