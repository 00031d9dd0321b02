// Invalid requests of callers: each gets its own error, runs nothing and does not end the process.
#include "harness/harness.h"
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;

namespace {

std::string makeHttp(const std::string& path, const std::string& body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}", path, body.size(), body);
}

std::string getWrite(const std::string& extraFields)
{
    return R"({"group":"orders","kind":"write","statement":"SET a 1","requestKey":"k")" + extraFields + "}";
}

struct BadRequest {
    std::string path;
    std::string body;
    std::string kind;
};

}

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(each_invalid_request_gets_its_own_error_and_runs_nothing)
{
    auto options = makeSmallOptions();
    options.extraSettings = "[limits]\nbody_limit_kb = 4\nrequest_timeout_ms = 300\n";
    Cluster cluster(options);
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    auto token = caller.read("orders", "GET a").status == 200 ? caller.getSession() : std::string();
    const std::vector<BadRequest> cases {
        { "/v1/statement", "{", "bad-request" },
        { "/v1/statement", "[]", "bad-request" },
        { "/v1/statement", "", "bad-request" },
        { "/v1/statement", getWrite(R"(,"colour":"red")"), "unknown-field" },
        { "/v1/statement", getWrite(R"(,"deadlineMs":0)"), "bad-deadline" },
        { "/v1/statement", getWrite(R"(,"deadlineMs":-5)"), "bad-deadline" },
        { "/v1/statement", getWrite(R"(,"deadlineMs":99999999)"), "bad-deadline" },
        { "/v1/statement", getWrite(R"(,"deadlineMs":"soon")"), "bad-request" },
        { "/v1/statement", getWrite(R"(,"session":"forged")"), "bad-token" },
        { "/v1/statement", getWrite(R"(,"session":")" + token.substr(0, token.size() / 2) + "\""), "bad-token" },
        { "/v1/statement", getWrite(R"(,"maximumAgeMs":5)"), "bad-request" },
        { "/v1/statement", R"({"group":"nobody","kind":"read","statement":"GET a"})", "unknown-group" },
        { "/v1/statement", R"({"group":"orders","kind":"write","statement":"SET a 1"})", "bad-request" },
        { "/v1/statement", R"({"group":"orders","kind":"read","statement":"GET a","readKind":"none"})", "bad-request" },
        { "/v1/statement", R"({"group":"orders","kind":"write","statement":"DROP a","requestKey":"d"})", "statement-refused" },
        { "/v1/transaction/commit", R"({"group":"orders","transaction":"h1.0"})", "transaction-unknown" },
        { "/v1/transaction/commit", R"({"group":"orders","transaction":"nobody.0"})", "transaction-unknown" },
        { "/v1/nothing", "{}", "unknown-path" },
        { "/v1/statement", getWrite(R"(,"statement2":")" + std::string(8000, 'x') + "\""), "body-too-large" },
    };
    for (auto& it : cases) {
        auto answer = Client(cluster.getCallerAddress(0)).sendRaw(makeHttp(it.path, it.body), milliseconds(3000));
        BOOST_CHECK_MESSAGE(answer.find("\"kind\":\"" + it.kind + "\"") != std::string::npos, (it.kind + " for " + it.body.substr(0, 100) + ", got " + answer));
        BOOST_TEST(answer.find("\"ran\":\"no\"") != std::string::npos, answer);
    }
    // A slow sender: the body is never completed.
    auto slow = Client(cluster.getCallerAddress(0)).sendRaw("POST /v1/statement HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{", milliseconds(3000));
    BOOST_TEST(slow.find("\"kind\":\"slow-sender\"") != std::string::npos, slow);
    auto notHttp = Client(cluster.getCallerAddress(0)).sendRaw("what is this\r\n\r\n", milliseconds(3000));
    BOOST_TEST(notHttp.find("\"kind\":\"bad-request\"") != std::string::npos, notHttp);
    BOOST_TEST(cluster.getMemberStats("orders-a")["position"].to_number<int>() == 1);
    BOOST_TEST(cluster.getHost(0).isRunning());
}

BOOST_AUTO_TEST_CASE(a_read_with_a_maximum_age_is_answered_within_that_age)
{
    Cluster cluster(makeSmallOptions());
    cluster.startAll();
    Caller caller(cluster.getCallerAddress(0));
    BOOST_REQUIRE_EQUAL(caller.write("orders", "SET a 1", "k1").status, 200);
    auto fresh = caller.read("orders", "GET a", 0);
    BOOST_TEST(fresh.status == 200u, json::serialize(fresh.body));
    BOOST_TEST(fresh.body.at("servedBy").at("role").get_string() == "primary");
    auto portal = caller.send("/v1/statement", { { "group", "orders" }, { "kind", "read" }, { "statement", "GET a" }, { "readKind", "portal" } });
    BOOST_TEST(portal.status == 200u, json::serialize(portal.body));
    BOOST_TEST(portal.body.at("servedBy").at("ageMs").to_number<int>() <= 2000);
}

BOOST_AUTO_TEST_CASE(a_host_without_platform_and_peers_reports_that_it_is_not_configured)
{
    auto options = makeSmallOptions();
    options.hosts = 1;
    Cluster cluster(options);
    cluster.startAll();
    cluster.getHost(0).kill();
    cluster.setPlatform({ { "down", true } });
    cluster.startHost(0);
    Caller caller(cluster.getCallerAddress(0));
    BOOST_TEST(waitUntil(milliseconds(5000), [&] { return getErrorKind(caller.read("orders", "GET a", std::nullopt, 500)) == "not-configured"; }));
    BOOST_TEST(Client(cluster.getOperatorAddress(0)).get("/healthz").status == 503u);
}

BOOST_AUTO_TEST_SUITE_END()
