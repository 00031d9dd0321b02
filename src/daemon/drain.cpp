#include "daemon/drain.h"
#include "base/timeline.h"
#include <fmt/format.h>

namespace alderward::daemon {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;

static constexpr milliseconds kPoll { 10 };
static constexpr milliseconds kQuietFor { 500 }; // idle connections are closed only after this long without a request

static bool isQuiet(const DrainState& state)
{
    auto now = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
    return now - state.lastRequestMs.load() >= kQuietFor.count();
}

asio::awaitable<void> drain(controllers::Node& node, DrainState& state, controllers::HostsController& hosts, controllers::GroupsController& groups, links::HttpServer& callers)
{
    auto began = Clock::now();
    auto limit = milliseconds(node.settings.drainLimitMs);
    auto isOver = [&] { return state.mustHurry || Clock::now() - began >= limit; };
    state.isDraining = true;
    base::getTimeline().add("drain-began", "", "planned stop");
    co_await hosts.announceLeaving();
    // The balancer needs a moment to see the check turn; until then new connections are still welcome.
    while (!state.mustHurry && Clock::now() - began < milliseconds(node.settings.drainNoticeMs))
        co_await base::sleepFor(kPoll);
    callers.stopAccepting();
    while (!isOver() && (state.inFlight > 0 || groups.getOpenTransactions() > 0 || (callers.getConnectionCount() > 0 && !isQuiet(state))))
        co_await base::sleepFor(kPoll);
    callers.closeIdle();
    while (!isOver() && callers.getConnectionCount() > 0)
        co_await base::sleepFor(kPoll);
    auto cut = fmt::format("{} requests and {} transactions cut off", state.inFlight.load(), groups.getOpenTransactions());
    base::getTimeline().add("drain-ended", "", cut);
}

}
