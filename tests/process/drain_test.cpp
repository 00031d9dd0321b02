// Planned stops: no request in flight is aborted.
#include "harness/harness.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace harness;

BOOST_AUTO_TEST_SUITE(drain)

// The test plays the load balancer: it polls /healthz, and callers move to hosts that are ready.
BOOST_AUTO_TEST_CASE(rolling_restart_under_load_fails_no_request)
{
    auto options = makeSmallOptions();
    options.hosts = 4;
    Cluster cluster(options);
    cluster.startAll();
    cluster.setMember("orders-a", { { "serviceMs", 2 } });
    std::vector<std::atomic<bool>> isReady(4);
    for (auto& it : isReady)
        it = true;
    std::atomic<bool> mustStop { false };
    std::atomic<int> served { 0 };
    std::mutex mutex;
    std::vector<std::string> failures;
    std::vector<std::thread> callers;
    for (int n = 0; n < 8; ++n) {
        callers.emplace_back([&, n] {
            size_t hostIndex = static_cast<size_t>(n) % 4;
            Caller caller(cluster.getCallerAddress(hostIndex));
            for (int i = 0; !mustStop; ++i) {
                if (!isReady[hostIndex]) {
                    while (!isReady[hostIndex])
                        hostIndex = (hostIndex + 1) % 4;
                    caller.switchHost(cluster.getCallerAddress(hostIndex));
                }
                auto key = "c" + std::to_string(n) + "-" + std::to_string(i);
                auto answer = i % 2 ? caller.read("orders", "GET x") : caller.write("orders", "SET x " + key, key);
                if (answer.status == 200) {
                    ++served;
                    continue;
                }
                std::lock_guard lock(mutex);
                failures.push_back(key + " at h" + std::to_string(hostIndex + 1) + ": " + std::to_string(answer.status) + " " + json::serialize(answer.body));
            }
        });
    }
    for (size_t i = 0; i < 4; ++i) {
        std::this_thread::sleep_for(milliseconds(300));
        cluster.getHost(i).signal(SIGTERM);
        waitUntil(milliseconds(400), [&] { return Client(cluster.getOperatorAddress(i)).get("/healthz").status == 503; });
        isReady[i] = false;
        auto code = cluster.getHost(i).wait(milliseconds(20000));
        BOOST_TEST(code.value_or(-1) == 0);
        cluster.startHost(i);
        BOOST_TEST(waitUntil(milliseconds(10000), [&] { return Client(cluster.getOperatorAddress(i)).get("/healthz").status == 200; }));
        isReady[i] = true;
    }
    std::this_thread::sleep_for(milliseconds(300));
    mustStop = true;
    for (auto& it : callers)
        it.join();
    for (auto& it : failures)
        BOOST_TEST_MESSAGE(it);
    BOOST_TEST(failures.size() == 0u, (failures.empty() ? "" : failures.front()));
    BOOST_TEST(served > 200);
}

BOOST_AUTO_TEST_CASE(stop_waits_for_open_transactions)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto begun = caller.send("/v1/transaction/begin", { { "group", "orders" } });
    auto name = std::string(begun.body.at("transaction").get_string());
    cluster.getHost(0).signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(1200));
    BOOST_TEST(cluster.getHost(0).isRunning());
    caller.switchHost(cluster.getCallerAddress(1));
    auto written = caller.send("/v1/statement", { { "group", "orders" }, { "kind", "write" }, { "statement", "SET a 1" }, { "transaction", name } });
    BOOST_TEST(written.status == 200u, json::serialize(written.body));
    auto committed = caller.send("/v1/transaction/commit", { { "group", "orders" }, { "transaction", name } });
    BOOST_TEST(committed.status == 200u, json::serialize(committed.body));
    BOOST_TEST(cluster.getHost(0).wait(milliseconds(10000)).value_or(-1) == 0);
    BOOST_TEST(getResult(caller.read("orders", "GET a")) == "1");
}

BOOST_AUTO_TEST_CASE(second_signal_ends_the_drain_immediately)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    caller.send("/v1/transaction/begin", { { "group", "orders" } });
    cluster.getHost(0).signal(SIGTERM);
    BOOST_TEST(!cluster.getHost(0).wait(milliseconds(1500)).has_value());
    cluster.getHost(0).signal(SIGTERM);
    BOOST_TEST(cluster.getHost(0).wait(milliseconds(3000)).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
