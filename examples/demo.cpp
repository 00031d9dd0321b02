// Starts 3 hosts with local stand-ins for the platform and 3 groups of 3 members, moves a session between hosts, kills a primary and
// prints the timeline. With --stay it runs until Enter is pressed, for the curl examples of docs/CALLERS.md.
#include "harness/harness.h"
#include <fmt/format.h>
#include <iostream>

using namespace harness;

static void show(const std::string& what, const Answer& answer)
{
    fmt::print("{:<46} {} {}\n", what, answer.status, json::serialize(answer.body));
}

int main(int argc, char** argv)
{
    Cluster cluster(makeSahyogOptions(3));
    cluster.startAll();
    fmt::print("3 hosts serve ledger1, ledger2 and ledger3; callers' address of h1: {}\n\n", cluster.getCallerAddress(0));
    for (auto& it : cluster.getOptions().groups.front().members)
        cluster.setMember(it, { { "lagMs", 200 } });
    Caller caller(cluster.getCallerAddress(0));
    show("write through h1, replicas lag by 200 ms", caller.write("ledger1", "SET loan-17 sanctioned", "sanction-17"));
    caller.switchHost(cluster.getCallerAddress(1));
    show("read through h2 with h1's token", caller.read("ledger1", "GET loan-17"));
    show("the same sanction again through h2", caller.write("ledger1", "SET loan-17 sanctioned", "sanction-17"));
    cluster.getMember("ledger1-a").kill();
    caller.switchHost(cluster.getCallerAddress(2));
    show("primary killed; write through h3", caller.write("ledger1", "SET loan-18 sanctioned", "sanction-18"));
    show("read of the first sanction", caller.read("ledger1", "GET loan-17"));
    fmt::print("\nalderctl timeline --group ledger1\n{}", cluster.runTool({ "timeline", "--group", "ledger1" }).output);
    fmt::print("\nalderctl status --group ledger1\n{}", cluster.runTool({ "status", "--group", "ledger1" }).output);
    if (argc > 1 && std::string(argv[1]) == "--stay") {
        fmt::print("\nrunning; callers: {}  operators: {}  platform: {}\npress Enter to end\n", cluster.getCallerAddress(0), cluster.getOperatorAddress(0), cluster.getPlatformAddress());
        std::fflush(stdout);
        std::cin.get();
    }
    auto ok = getResult(caller.read("ledger1", "GET loan-17")) == "sanctioned";
    fmt::print("\n{}\n", ok ? "demo done" : "demo FAILED: the first sanction is gone");
    return ok ? 0 : 1;
}
