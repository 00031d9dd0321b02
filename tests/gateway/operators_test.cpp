// What operators see of client accounts: GET /accounts, alderctl accounts, alderctl explain.
#include "harness/gateway_rig.h"
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace harness;

namespace {

struct ToolResult {
    int code;
    std::string output;
    milliseconds took;
};

ToolResult runTool(std::vector<std::string> arguments)
{
    static int number = 0;
    auto log = fmt::format("/tmp/alderctl-{}-{}.log", getpid(), ++number);
    arguments.insert(arguments.begin(), std::string(std::getenv("ALDERWARD_BINARIES")) + "/alderctl");
    auto startedAt = std::chrono::steady_clock::now();
    Process process(arguments, log);
    ToolResult result { process.wait(milliseconds(10000)).value_or(-1), {}, {} };
    result.took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startedAt);
    std::ifstream file(log);
    result.output.assign(std::istreambuf_iterator<char>(file), {});
    unlink(log.c_str());
    return result;
}

// Accepts connections into its backlog and never answers.
class SilentServer {
public:
    SilentServer()
        : m_acceptor(m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
    }
    std::string getAddress() const { return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port()); }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

}

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(accounts_are_shown_over_all_hosts_and_a_refused_operation_is_explained)
{
    RigOptions options;
    options.accounts = { { "mill", { "key-mill" }, 5, 5 }, { "shop", { "key-shop" } } };
    GatewayRig rig(options);
    rig.startHosts();
    std::string refusedId;
    LineCaller shop(rig.getCallerAddress(2), "db0-own", "key-shop");
    for (int i = 0; i < 60; ++i) {
        LineCaller mill(rig.getCallerAddress(static_cast<unsigned>(i) % 2), "db0-own", "key-mill");
        if (mill.ask("READ a").hasCode("BUSY"))
            refusedId = mill.getLastId();
        BOOST_TEST(shop.ask("READ a").isOk());
    }
    BOOST_REQUIRE(!refusedId.empty());

    uint64_t asked = 0;
    unsigned quotaServers = 0;
    unsigned connections = 0;
    for (unsigned i = 0; i < 3; ++i) {
        auto document = Client(rig.getMetricsAddress(i)).get("/accounts").body;
        BOOST_TEST(document.at("host").as_string() == fmt::format("h{}", i));
        auto* mill = document.at("accounts").as_object().if_contains("mill");
        if (!mill)
            continue;
        auto& counts = mill->at("counts").as_object();
        asked += counts.at("asked").to_number<uint64_t>();
        uint64_t refused = 0;
        for (auto& it : counts.at("refused").as_array())
            refused += it.at("count").to_number<uint64_t>();
        BOOST_TEST(counts.at("asked").to_number<uint64_t>() == counts.at("begun").to_number<uint64_t>() + refused);
        for (auto& it : mill->at("pools").as_object())
            connections += it.value().at("connections").to_number<unsigned>();
        if (auto* bucket = mill->as_object().if_contains("quotaServer")) {
            ++quotaServers;
            BOOST_TEST(bucket->at("level").to_number<double>() <= bucket->at("capacity").to_number<double>());
            BOOST_TEST(bucket->at("pace").to_number<double>() >= 5);
            BOOST_TEST(bucket->at("reportingHosts").to_number<unsigned>() == 3u);
            BOOST_TEST(bucket->at("reportAgeMs").to_number<unsigned>() < 1000u);
            BOOST_TEST(rig.getMetrics(i).find("alderward_quota_level{account=\"mill\"}") != std::string::npos);
            BOOST_TEST(rig.getMetrics(i).find("alderward_quota_grants_total{result=\"refused\"}") != std::string::npos);
        }
    }
    BOOST_TEST(asked >= 60u); // the rig's own sessions use this account as well
    BOOST_TEST(quotaServers == 1u);
    BOOST_TEST(connections > 0u);

    SilentServer silent;
    auto table = runTool({ "accounts", rig.getMetricsAddress(0), rig.getMetricsAddress(1), rig.getMetricsAddress(2), silent.getAddress(), "--account", "mill" });
    BOOST_TEST(table.code == 1);
    BOOST_TEST((table.took < milliseconds(2000)), table.took.count() << " ms");
    BOOST_TEST(table.output.find("3 of 4 hosts answered") != std::string::npos, table.output);
    BOOST_TEST(table.output.find(fmt::format("host at {} does not answer", silent.getAddress())) != std::string::npos);
    BOOST_TEST(table.output.find("  at h0") != std::string::npos);
    BOOST_TEST(table.output.find("  at h1") != std::string::npos);
    BOOST_TEST(table.output.find("times: the quota is used up") != std::string::npos);
    BOOST_TEST(table.output.find("shop") == std::string::npos);
    BOOST_TEST_MESSAGE(table.output);

    auto story = runTool({ "explain", refusedId, rig.getLogPath(0), rig.getLogPath(1), rig.getLogPath(2) });
    BOOST_TEST(story.code == 0);
    BOOST_TEST(story.output.find("refused by the quota of account mill: client account mill: the quota is used up") != std::string::npos, story.output);
    BOOST_TEST(story.output.find("level of the bucket at the quota server unknown") == std::string::npos);
    BOOST_TEST(story.output.find("quota-strict") != std::string::npos);
    BOOST_TEST_MESSAGE(story.output);
    for (auto* key : { "key-mill", "key-shop" })
        BOOST_TEST((table.output + story.output).find(key) == std::string::npos, key);
}

// The time-out of each host must not add up.
BOOST_AUTO_TEST_CASE(many_silent_hosts_are_queried_concurrently)
{
    std::vector<SilentServer> silent(300);
    std::vector<std::string> arguments { "accounts" };
    for (auto& it : silent)
        arguments.push_back(it.getAddress());
    auto table = runTool(arguments);
    BOOST_TEST(table.code == 1);
    BOOST_TEST((table.took < milliseconds(2000)), table.took.count() << " ms");
    BOOST_TEST(table.output.find("0 of 300 hosts answered") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
