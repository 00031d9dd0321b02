// Planned stop: fails the load balancer's health check, announces the stop to peers, stops accepting connections and finishes
// work in flight. docs/OPERATIONS.md describes it for operators.
#pragma once
#include "controllers/groups.h"
#include "controllers/hosts.h"
#include "links/http.h"
#include <atomic>

namespace alderward::daemon {

struct DrainState {
    std::atomic<bool> isDraining { false }; // /healthz reports not ready
    std::atomic<bool> mustStopNow { false }; // set by a second signal: ends the drain without waiting
    std::atomic<size_t> requestsInFlight { 0 }; // requests of callers and peers being served
    std::atomic<int64_t> lastRequestMs { 0 }; // monotonic time of the last request's arrival
};

// Completes when the drain has ended; the process must then exit.
boost::asio::awaitable<void> drain(controllers::Node& node, DrainState& state, controllers::HostsController& hosts, controllers::GroupsController& groups, links::HttpServer& callerServer);

}
