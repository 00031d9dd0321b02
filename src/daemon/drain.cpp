#include "daemon/drain.h"
#include "base/timeline.h"
#include <fmt/format.h>

namespace alderward::daemon {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;

static constexpr milliseconds kPollInterval { 10 };
static constexpr milliseconds kIdleThreshold { 500 }; // connections are closed only after this time without a request

static bool areCallersIdle(const DrainState& state)
{
    auto now = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
    return now - state.lastRequestMs.load() >= kIdleThreshold.count();
}

asio::awaitable<void> drain(controllers::Node& node, DrainState& state, controllers::HostsController& hosts, controllers::GroupsController& groups, links::HttpServer& callerServer)
{
    auto startedAt = Clock::now();
    auto limit = milliseconds(node.settings.drainLimitMs);
    auto isOver = [&] { return state.mustStopNow || Clock::now() - startedAt >= limit; };
    state.isDraining = true;
    base::getTimeline().add("drain-began", "", "planned stop");
    co_await hosts.announceLeaving();
    // Keeps accepting connections until the load balancer has had time to notice the failing health check.
    while (!state.mustStopNow && Clock::now() - startedAt < milliseconds(node.settings.drainNoticeMs))
        co_await base::sleepFor(kPollInterval);
    callerServer.stopAccepting();
    while (!isOver() && (state.requestsInFlight > 0 || groups.getOpenTransactions() > 0 || (callerServer.getConnectionCount() > 0 && !areCallersIdle(state))))
        co_await base::sleepFor(kPollInterval);
    callerServer.closeIdle();
    while (!isOver() && callerServer.getConnectionCount() > 0)
        co_await base::sleepFor(kPollInterval);
    auto summary = fmt::format("{} requests and {} transactions cut off", state.requestsInFlight.load(), groups.getOpenTransactions());
    base::getTimeline().add("drain-ended", "", summary);
}

}
