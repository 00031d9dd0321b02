#include "decisions/connections.h"
#include <algorithm>

namespace alderward::decisions {

static constexpr size_t kWaitingPerBusy = 2; // operations that wait for each connection that comes free by itself, before another one pays
static constexpr milliseconds kUnservedFor { 500 }; // the operation that a connection was opened for may have gone; it is kept no longer than this for it

static bool mayBeGivenUp(const HeldConnection& it, TimePoint now)
{
    return it.isIdle && (it.hasServed || now - it.usedAt > kUnservedFor);
}

static bool isWanted(std::string_view account, const std::vector<AccountDemand>& demands)
{
    return std::ranges::any_of(demands, [&](const AccountDemand& it) { return it.account == account && it.waiting > 0; });
}

// The one that was used longest ago, of accounts that want none now.
static std::optional<size_t> findLeastUsed(const std::vector<HeldConnection>& held, const std::vector<AccountDemand>& demands, TimePoint now)
{
    std::optional<size_t> best;
    for (size_t i = 0; i < held.size(); ++i) {
        bool isBetter = !best || held[i].usedAt < held[*best].usedAt;
        if (isBetter && mayBeGivenUp(held[i], now) && !isWanted(held[i].account, demands))
            best = i;
    }
    return best;
}

static bool needsAnother(const AccountDemand& demand, const std::vector<HeldConnection>& held)
{
    if (demand.waiting == 0 || demand.opening > 0)
        return false;
    bool hasIdle = std::ranges::any_of(held, [&](const HeldConnection& it) { return it.account == demand.account && it.isIdle; });
    auto soon = static_cast<size_t>(std::ranges::count_if(held, [&](const HeldConnection& it) { return it.account == demand.account && it.isSoonFree; }));
    return !hasIdle && demand.waiting > kWaitingPerBusy * soon;
}

std::optional<ConnectionStep> planOpening(const std::vector<HeldConnection>& held, const std::vector<AccountDemand>& demands, const ConnectionRoom& room, TimePoint now)
{
    if (room.opening >= room.openingMost)
        return std::nullopt;
    for (auto& demand : demands) {
        if (!needsAnother(demand, held))
            continue;
        if (held.size() + room.opening < room.most)
            return ConnectionStep { std::string(demand.account), std::nullopt };
        auto givenUp = findLeastUsed(held, demands, now);
        if (!givenUp)
            return std::nullopt;
        return ConnectionStep { std::string(demand.account), givenUp };
    }
    return std::nullopt;
}

}
