// Statements of a session pass through separate processes, also after the caller switches hosts.
#include "harness/harness.h"
#include <boost/test/unit_test.hpp>

using namespace harness;

BOOST_AUTO_TEST_SUITE(thin_path)

BOOST_AUTO_TEST_CASE(session_reads_its_write_through_another_host_while_replicas_lag)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    // One replica acknowledges writes quickly; the other lags.
    cluster.setMember("orders-c", { { "lagMs", 3000 } });
    Caller caller(cluster.getCallerAddress(0));
    for (int i = 0; i < 20; ++i) {
        auto value = "v" + std::to_string(i);
        auto written = caller.write("orders", "SET loan " + value, "key-" + std::to_string(i));
        BOOST_REQUIRE_EQUAL(written.status, 200);
        caller.switchHost(cluster.getCallerAddress((i + 1) % 3));
        auto read = caller.read("orders", "GET loan");
        BOOST_REQUIRE_EQUAL(read.status, 200);
        BOOST_TEST(getResult(read) == value);
    }
}

BOOST_AUTO_TEST_SUITE_END()
