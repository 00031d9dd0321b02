// alderctl: the operators' tool. Reads and changes the records in the platform's store; shows hosts, groups and the timeline.
#include "ctl/commands.h"
#include <boost/asio/co_spawn.hpp>
#include <fmt/format.h>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace alderward;

constexpr const char* kCommands = R"(commands:
  config check FILE            check a record without contacting the platform
  config apply FILE            write the record (the file's name gives the group: orders.json is group orders)
  config get GROUP             show the record as stored
  config list                  list all records with versions
  config diff GROUP FILE       show what apply would change
  config history-of GROUP      show the last changes of a record
  status                       show hosts, groups, primaries, terms, ages, homes, records in force
  accounts ADDRESS...          show client accounts over hosts, by their metrics addresses; --account NAME: also by host
  configuration ADDRESS...     show what hosts have in force, by their metrics addresses, and what is not in force as written
  timeline [FILE...]           merge the timelines of all hosts; with files: the state changes in hosts' logs
  explain ID [FILE...]         explain one request from hosts' logs (standard input without files)
  replay FILE                  replay a recorded trace (GET /debug/trace?group=NAME) through this version's decisions)";

ctl::Options readOptions(int argc, char** argv)
{
    TCLAP::CmdLine command(std::string("alderctl: operators' tool of alderward.\n") + kCommands, ' ', ALDERWARD_VERSION);
    TCLAP::ValueArg<std::string> platform("p", "platform", "Address of the platform's key-value service", false, "127.0.0.1:7400", "ip:port", command);
    TCLAP::ValueArg<std::string> host("", "host", "Operators' address of any host, for status and timeline", false, "", "ip:port", command);
    TCLAP::ValueArg<std::string> by("", "by", "Your name, stored with each change", false, "operator", "name", command);
    TCLAP::ValueArg<std::string> onlyGroup("g", "group", "Timeline and status of this group only", false, "", "group", command);
    TCLAP::ValueArg<std::string> onlyHost("", "only-host", "Timeline of this host only", false, "", "host", command);
    TCLAP::ValueArg<std::string> onlyAccount("", "account", "Only this client account, also by host", false, "", "account", command);
    TCLAP::ValueArg<int> timeout("t", "timeout-ms", "Time limit of the command", false, 10000, "ms", command);
    TCLAP::SwitchArg wait("w", "wait", "After apply: wait until every live host has the record in force", command);
    TCLAP::UnlabeledMultiArg<std::string> arguments("command", "Command and its arguments", true, "command", command);
    command.parse(argc, argv);
    ctl::Options options;
    options.platform = { platform.getValue(), "alderctl" };
    options.hostAddress = host.getValue();
    options.changedBy = by.getValue();
    options.onlyGroup = onlyGroup.getValue();
    options.onlyHost = onlyHost.getValue();
    options.onlyAccount = onlyAccount.getValue();
    options.timeout = base::milliseconds(timeout.getValue());
    options.mustWait = wait.getValue();
    options.arguments = arguments.getValue();
    return options;
}

}

int main(int argc, char** argv)
{
    auto options = readOptions(argc, argv);
    boost::asio::io_context context(1);
    int code = ctl::kExitUsage;
    boost::asio::co_spawn(context, ctl::runCommand(options), [&](std::exception_ptr error, int result) {
        code = error ? ctl::kExitFailed : result;
    });
    context.run();
    if (code == ctl::kExitUsage)
        fmt::print(stderr, "{}\n", kCommands);
    return code;
}
