// Bad input of callers: a clear answer or a close, nothing run, no growth of memory.
#include "harness/gateway_rig.h"
#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace harness;

// Raises the limit of descriptors for this process and those it starts. Returns how many sessions it allows, `wanted` at most.
static unsigned allowDescriptors(unsigned wanted)
{
    constexpr rlim_t kOther = 200; // of the test and of a host
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(limit.rlim_max, std::max<rlim_t>(limit.rlim_cur, wanted + kOther));
    setrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<unsigned>(std::min<rlim_t>(wanted, limit.rlim_cur - kOther));
}

BOOST_AUTO_TEST_SUITE(input)

BOOST_AUTO_TEST_CASE(broken_messages_end_the_connection_and_run_nothing)
{
    RigShape shape;
    shape.hosts = 1;
    GatewayRig rig(shape);
    rig.beginHosts();
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

BOOST_AUTO_TEST_CASE(a_message_of_almost_a_megabyte_is_served)
{
    RigShape shape;
    shape.hosts = 2;
    GatewayRig rig(shape);
    rig.beginHosts();
    std::string data(1000 * 1000, 'y');
    for (unsigned i = 0; i < 2; ++i) {
        LineCaller caller(rig.getCallerAddress(i), "db0-primary");
        BOOST_TEST(caller.ask("WRITE big " + data).isOk());
        BOOST_TEST(caller.ask("READ big").rows.at(0).size() == data.size());
    }
}

BOOST_AUTO_TEST_CASE(half_messages_and_thousands_of_idle_sessions_cost_little)
{
    auto sessions = allowDescriptors(3000);
    BOOST_REQUIRE(sessions >= 900u);
    RigShape shape;
    shape.hosts = 1;
    GatewayRig rig(shape);
    rig.beginHosts();
    auto before = getResidentKb(rig.getHost(0).getId());
    std::vector<std::unique_ptr<LineCaller>> idle;
    for (unsigned i = 0; i < sessions; ++i) {
        idle.push_back(std::make_unique<LineCaller>(rig.getCallerAddress(0), "db0-bounded"));
        if (i % 3 == 0)
            idle.back()->sendRaw("QUERY a READ");
    }
    LineCaller caller(rig.getCallerAddress(0), "db0-primary");
    BOOST_TEST(caller.ask("READ x").isOk());
    auto grown = getResidentKb(rig.getHost(0).getId()) - before;
    BOOST_TEST(grown < sessions * 16, "grew by " << grown << " KB for " << sessions << " sessions"); // a session's buffers are given back
}

BOOST_AUTO_TEST_SUITE_END()
