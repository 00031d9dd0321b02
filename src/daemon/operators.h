// The operators' address: /healthz for the balancer, /status, /metrics, /timeline, and in test set-ups /debug/cut.
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
