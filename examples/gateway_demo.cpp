// Starts three gateway hosts with local stand-ins for the users' platform and one group of three members. A session writes and
// reads, the primary is killed and replaced, and a host stops as planned.
#include "harness/gateway_rig.h"
#include <csignal>
#include <fmt/format.h>

using namespace harness;

static void show(const std::string& what, const LineAnswer& answer)
{
    fmt::print("{:<44} {} {}\n", what, answer.result, answer.rows.empty() ? "" : answer.rows.front());
}

int main()
{
    GatewayRig rig;
    rig.startHosts();
    LineCaller caller(rig.getCallerAddress(0), "db0-own");
    show("write through h0", caller.ask("WRITE loan-17 sanctioned"));
    show("read through h0, by a replica if it has it", caller.ask("READ loan-17"));
    caller.ask("BEGIN");
    caller.ask("WRITE loan-18 sanctioned");
    show("commit of a transaction", caller.ask("COMMIT"));
    rig.call([&] { rig.getGroup().kill("g0-a"); });
    bool isServed = waitUntil(milliseconds(5000), [&] { return LineCaller(rig.getCallerAddress(1), "db0-primary").ask("WRITE loan-19 sanctioned").isOk(); });
    fmt::print("primary killed; new primary: {}\n", rig.call([&] { return rig.getGroup().getPrimary(); }));
    auto read = LineCaller(rig.getCallerAddress(2), "db0-primary").ask("READ loan-17");
    show("read of the first sanction through h2", read);
    rig.getHost(2).signal(SIGTERM);
    auto code = rig.getHost(2).wait(milliseconds(6000));
    fmt::print("h2 stopped as planned, exit status {}\n", code.value_or(-1));
    bool isSuccessful = isServed && read.isOk() && !read.rows.empty() && read.rows.front() == "sanctioned" && code == 0;
    fmt::print("{}\n", isSuccessful ? "gateway demo done" : "gateway demo FAILED");
    return isSuccessful ? 0 : 1;
}
