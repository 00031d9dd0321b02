// The commands of alderctl. Each returns the process's exit code.
#pragma once
#include "links/platform.h"
#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace alderward::ctl {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailed = 1; // the command failed, or its outcome is unknown
inline constexpr int kExitUsage = 2;
inline constexpr int kExitConflict = 3; // the record was changed concurrently; nothing was written
inline constexpr int kExitInvalid = 4; // the record, trace or configuration is invalid; nothing was written
inline constexpr int kExitNotInForce = 5; // written, but not in force everywhere within the time limit

struct Options {
    links::PlatformClient platform {};
    std::string hostAddress {}; // operators' address of any host; empty: use the platform's host list
    std::string changedBy { "operator" }; // stored with each change
    std::string onlyGroup {};
    std::string onlyHost {};
    std::string onlyAccount {};
    base::milliseconds timeout { 10000 };
    bool mustWait { false };
    std::vector<std::string> arguments {};
};

boost::asio::awaitable<int> runCommand(Options options);

// Returns the operators' addresses of all hosts that are not leaving, from the membership of `hostAddress` if set, else from the
// platform's list. Empty if the source does not answer.
boost::asio::awaitable<std::vector<std::string>> findHosts(const Options& options);

boost::asio::awaitable<int> runConfig(Options options);
boost::asio::awaitable<int> showStatus(Options options);
boost::asio::awaitable<int> showTimeline(Options options);
// Prints one table of the client accounts over the hosts whose metrics addresses are the arguments.
boost::asio::awaitable<int> showAccounts(Options options);
// Prints what each host has in force of the operators' configuration, by metrics addresses. kExitInvalid: on some host not all of it as written.
boost::asio::awaitable<int> showConfiguration(Options options);
// Prints, from hosts' log files (standard input if none), the state of the host at a request, events of its group, and the
// request's own lines.
int explainRequest(const std::string& id, const std::vector<std::string>& paths);
// Prints the state changes in hosts' log files, merged in order of time.
int showLogTimeline(const std::vector<std::string>& paths, const std::string& onlyGroup, const std::string& onlyHost);
// Replays a trace. Returns kExitFailed if this version's decisions differ from the recorded ones.
int replayFile(const std::string& path);

}
