// What every controller of one process shares. Plain references; main.cpp owns everything.
#pragma once
#include "base/clock.h"
#include "base/settings.h"
#include "links/peer.h"
#include "links/platform.h"
#include <boost/asio/io_context.hpp>

namespace alderward::controllers {

struct Node {
    const base::Settings& settings;
    boost::asio::io_context& context;
    base::TimerService& timers;
    links::PeerClient& peers;
    links::PlatformClient platform;
};

}
