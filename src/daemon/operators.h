// HTTP interface for operators: /healthz for the load balancer, /status, /metrics, /timeline, /debug/trace and, if faults are
// allowed by the settings, /debug/cut.
#pragma once
#include "controllers/groups.h"
#include "daemon/drain.h"
#include "links/http.h"
#include "links/peer.h"

namespace alderward::daemon {

struct OperatorServices {
    controllers::Node& node;
    controllers::ConfigurationController& configuration;
    controllers::HostsController& hosts;
    controllers::GroupsController& groups;
    DrainState& drainState;
    links::BlockedPeers& blockedPeers;
};

links::HttpResponse answerOperator(const OperatorServices& services, const links::HttpRequest& request);

}
