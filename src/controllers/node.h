// The services that all controllers of a process share. Their owner is the daemon (daemon/main.cpp).
#pragma once
#include "base/clock.h"
#include "base/contexts.h"
#include "base/settings.h"
#include "links/peer.h"
#include "links/platform.h"

namespace alderward::controllers {

struct Node {
    const base::Settings& settings;
    base::IoContextPool& contexts;
    base::TimerService& timers;
    links::PeerClient& peers;
    links::PlatformClient platform;
};

}
