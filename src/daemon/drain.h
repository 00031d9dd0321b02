// Planned stop: the balancer's check turns first, peers are told, new work goes to other hosts, what is in flight is
// finished, then the process ends. docs/OPERATIONS.md describes it for operators.
#pragma once
#include "controllers/groups.h"
#include "controllers/hosts.h"
#include "links/http.h"
#include <atomic>

namespace alderward::daemon {

struct DrainState {
    std::atomic<bool> isDraining { false }; // /healthz says so
    std::atomic<bool> mustStopNow { false }; // a second signal: stop waiting
    std::atomic<size_t> inFlight { 0 }; // callers' and peers' requests being served
    std::atomic<int64_t> lastRequestMs { 0 }; // monotonic time of the last request's arrival
};

// Runs the stop to its end; the caller ends the process afterwards.
boost::asio::awaitable<void> drain(controllers::Node& node, DrainState& state, controllers::HostsController& hosts, controllers::GroupsController& groups, links::HttpServer& callers);

}
