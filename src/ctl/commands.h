// The commands of alderctl. Each returns the process's exit code.
#pragma once
#include "links/platform.h"
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace alderward::ctl {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailed = 1; // could not be done, or could not be found out
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3; // another operator changed the record first: nothing was written
inline constexpr int kExitInvalid = 4; // the record fails its checks: nothing was written
inline constexpr int kExitNotInForce = 5; // written, but not in force everywhere within the time limit

struct Options {
    links::PlatformClient platform {};
    std::string hostAddress {}; // operators' address of any host; empty: taken from the platform's host list
    std::string changedBy { "operator" }; // kept with each change
    std::string onlyGroup {};
    std::string onlyHost {};
    base::milliseconds timeout { 10000 };
    bool mustWait { false };
    std::vector<std::string> arguments {};
};

boost::asio::awaitable<int> runCommand(Options options);

// Operators' addresses of all hosts that are not leaving, by the platform's list or the membership of `hostAddress`.
boost::asio::awaitable<std::vector<std::string>> findHosts(const Options& options);

boost::asio::awaitable<int> runConfig(Options options);
boost::asio::awaitable<int> showStatus(Options options);
boost::asio::awaitable<int> showTimeline(Options options);
// The story of one request from hosts' log files (standard input if none): beliefs, events of its group, its own lines.
int explainRequest(const std::string& id, const std::vector<std::string>& paths);
// Changes of state from hosts' log files, in one order.
int showLogTimeline(const std::vector<std::string>& paths, const std::string& onlyGroup, const std::string& onlyHost);
// Replays a trace; kExitFailed if this version decides otherwise than the one that recorded it.
int replayFile(const std::string& path);

}
