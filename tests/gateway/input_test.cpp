// Malformed and excessive input of callers must not execute anything, crash a host or use unbounded memory.
#include "harness/gateway_rig.h"
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace harness;

// Raises the limit of file descriptors for this process and its children. Returns how many sessions it allows, at most `wanted`.
static unsigned raiseDescriptorLimit(unsigned wanted)
{
    constexpr rlim_t kOtherDescriptors = 200; // of the test itself and a host
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(limit.rlim_max, std::max<rlim_t>(limit.rlim_cur, wanted + kOtherDescriptors));
    setrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<unsigned>(std::min<rlim_t>(wanted, limit.rlim_cur - kOtherDescriptors));
}

BOOST_AUTO_TEST_SUITE(input)

BOOST_AUTO_TEST_CASE(malformed_messages_close_the_connection_and_execute_nothing)
{
    RigOptions options;
    options.hosts = 1;
    GatewayRig rig(options);
    rig.startHosts();
    auto before = rig.call([&] { return rig.getGroup().getExecutedStatements().size(); });
    for (auto& bytes : std::vector<std::string> { "GET / HTTP/1.1\r\n\r\n", "QUERY\r\n", "QUERY a\r\n", "QUERY - READ x\r\n", "READ x\n", "\r\n", "\n", std::string("\0\1\2\r\n", 5), "CONNECT\r\n", "QUERY a READ x\r\n" }) {
        LineCaller caller(rig.getCallerAddress(0), "");
        caller.sendRaw(bytes);
        BOOST_TEST(caller.isClosed(milliseconds(2000)), "not closed after: " << bytes);
    }
    LineCaller inside(rig.getCallerAddress(0), "db0-primary");
    BOOST_TEST(inside.ask("FROBNICATE x").hasCode("MALFORMED"));
    BOOST_TEST(inside.ask("READ x").isOk());
    inside.sendRaw(std::string(2 << 20, 'x'));
    BOOST_TEST(inside.isClosed(milliseconds(3000)));
    BOOST_TEST(rig.call([&] { return rig.getGroup().getExecutedStatements().size(); }) == before + 1);
    BOOST_TEST(rig.getHost(0).isRunning());
}

BOOST_AUTO_TEST_CASE(messages_of_almost_one_megabyte_are_served)
{
    RigOptions options;
    options.hosts = 2;
    GatewayRig rig(options);
    rig.startHosts();
    std::string data(1000 * 1000, 'y');
    for (unsigned i = 0; i < 2; ++i) {
        LineCaller caller(rig.getCallerAddress(i), "db0-primary");
        BOOST_TEST(caller.ask("WRITE big " + data).isOk());
        BOOST_TEST(caller.ask("READ big").rows.at(0).size() == data.size());
    }
}

BOOST_AUTO_TEST_CASE(idle_sessions_and_incomplete_messages_use_little_memory)
{
    auto sessions = raiseDescriptorLimit(3000);
    BOOST_REQUIRE(sessions >= 900u);
    RigOptions options;
    options.hosts = 1;
    GatewayRig rig(options);
    rig.startHosts();
    auto before = getResidentKb(rig.getHost(0).getId());
    std::vector<std::unique_ptr<LineCaller>> idle;
    for (unsigned i = 0; i < sessions; ++i) {
        idle.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(0), "db0-bounded"));
        if (i % 3 == 0)
            idle.back()->sendRaw("QUERY a READ");
    }
    LineCaller caller(rig.getCallerAddress(0), "db0-primary");
    BOOST_TEST(caller.ask("READ x").isOk());
    auto grownKb = getResidentKb(rig.getHost(0).getId()) - before;
    BOOST_TEST(grownKb < sessions * 16, "grew by " << grownKb << " KB for " << sessions << " sessions"); // idle sessions must release their buffers
}

BOOST_AUTO_TEST_SUITE_END()
