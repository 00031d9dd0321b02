// An item of the operators' configuration that cannot be used as written costs itself and nothing else (docs/design/0016-unusable-items.md). Accounts:
// accounts_test.cpp.
#include "mutation.h"
#include "platform/accounts.h"
#include "platform/configuration.h"
#include "standins/odd_entries.h"
#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <limits>

using namespace alderward;
using base::milliseconds;
using decisions::Consistency;
using links::GroupLimits;
using links::ItemUse;
namespace json = boost::json;

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr milliseconds kTenYears = std::chrono::hours(24 * 3650);

json::object makeRoute(const std::string& database)
{
    return { { "Name", "r" }, { "Host", database }, { "Prefix", "/" }, { "RouteType", "bounded_staleness" }, { "TimeoutMs", 800 }, { "SloMs", 400 }, { "Priority", 2 }, { "Service", "ledger" }, { "MaxStalenessMs", 1500 } };
}

json::object makeService(const std::string& name)
{
    return { { "Name", name }, { "MaxConns", 16 }, { "SyncReplicas", 0 } };
}

// Version 7 with the routes bookings and others, and the service ledger.
json::object makeConfiguration()
{
    json::array routes { makeRoute("bookings"), makeRoute("others") };
    json::array services { makeService("ledger") };
    return { { "Version", 7 }, { "Routes", routes }, { "Services", services }, { "Limits", { { "TxIdleMs", 3000 } } } };
}

tl::expected<links::GatewayConfiguration, std::string> read(const json::object& configuration)
{
    return platform::readConfiguration(fixtures::serialize(configuration));
}

// How the route bookings is read with one field replaced. The other route stays as it is whatever that field is.
struct RouteReading {
    std::optional<decisions::DatabaseRoute> route {};
    std::vector<links::ConfigurationProblem> problems {};
};

RouteReading readRouteWith(std::string_view field, const json::value& value)
{
    auto configuration = makeConfiguration();
    configuration["Routes"].as_array()[0].as_object()[field] = value;
    auto result = read(configuration);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->version == 7u);
    BOOST_TEST((result->routes.at("others").maximumAge == milliseconds(1500)));
    auto it = result->routes.find("bookings");
    return { it == result->routes.end() ? std::nullopt : std::optional(it->second), result->problems };
}

}

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(all_fields_of_a_valid_configuration_are_parsed)
{
    auto result = read(makeConfiguration());
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->problems.empty());
    BOOST_TEST(result->version == 7u);
    decisions::DatabaseRoute expected { .database = "bookings", .group = "ledger", .consistency = Consistency::BoundedStaleness, .maximumAge = milliseconds(1500), .statementLimit = milliseconds(800), .objective = milliseconds(400), .priority = 2 };
    BOOST_TEST((result->routes.at("bookings") == expected));
    BOOST_TEST((result->groups.at("ledger") == GroupLimits { 16, 0 }));
    BOOST_TEST((result->transactionIdle == milliseconds(3000)));
    BOOST_TEST(!result->accounts);
}

// Guards against a limit that only this program knows of: a route with a large priority kept a whole version out of force.
BOOST_AUTO_TEST_CASE(a_large_priority_is_used_as_it_is)
{
    for (auto [priority, expected] : { std::pair<json::value, int>(1001, 1001), { 1500, 1500 }, { 1000000000, 1000000000 }, { 5000000000, 1000000000 }, { UINT64_MAX, 1000000000 }, { 1e300, 1000000000 }, { kInfinity, 1000000000 }, { 2.9, 2 }, { -1, 0 }, { -1e300, 0 } }) {
        auto reading = readRouteWith("Priority", priority);
        BOOST_REQUIRE(reading.route.has_value());
        BOOST_TEST(reading.route->priority == expected, json::serialize(priority));
        BOOST_TEST(reading.problems.empty(), json::serialize(priority));
    }
}

BOOST_AUTO_TEST_CASE(a_priority_that_is_no_number_is_the_lowest)
{
    for (const json::value& wrong : { json::value("high"), json::value(nullptr), json::value(json::array()) }) {
        auto reading = readRouteWith("Priority", wrong);
        BOOST_REQUIRE(reading.route.has_value());
        BOOST_TEST(reading.route->priority == 1000000000);
        BOOST_TEST(reading.problems.size() == 1u);
    }
}

BOOST_AUTO_TEST_CASE(durations_of_a_route_are_limited_or_take_their_strictest_value)
{
    struct Row {
        const char* field;
        milliseconds decisions::DatabaseRoute::*member;
        milliseconds unusable; // in place of a value that cannot be read
        milliseconds missing;
    };
    const Row rows[] {
        { "MaxStalenessMs", &decisions::DatabaseRoute::maximumAge, milliseconds(0), milliseconds(0) },
        { "TimeoutMs", &decisions::DatabaseRoute::statementLimit, milliseconds(1000), milliseconds(1000) },
        { "SloMs", &decisions::DatabaseRoute::objective, milliseconds(500), milliseconds(500) },
    };
    for (auto& row : rows) {
        for (const json::value& wrong : { json::value("800"), json::value(-1), json::value(nullptr), json::value(true), json::value(json::object()), json::value(-kInfinity) }) {
            auto reading = readRouteWith(row.field, wrong);
            BOOST_REQUIRE(reading.route.has_value());
            BOOST_TEST(((*reading.route).*row.member == row.unusable), row.field << " is " << json::serialize(wrong));
            BOOST_REQUIRE(reading.problems.size() == 1u);
            BOOST_TEST((reading.problems[0].item == "route bookings" && reading.problems[0].field == row.field && reading.problems[0].use == ItemUse::Restricted));
        }
        for (const json::value& large : { json::value(1e18), json::value(UINT64_MAX), json::value(1e300), json::value(kInfinity) }) {
            auto reading = readRouteWith(row.field, large);
            BOOST_REQUIRE(reading.route.has_value());
            BOOST_TEST(((*reading.route).*row.member == kTenYears), row.field << " is " << json::serialize(large));
            BOOST_TEST((reading.problems.size() == 1u && reading.problems[0].use == ItemUse::Limited));
        }
        auto year = readRouteWith(row.field, 31536000000); // ms
        BOOST_TEST(((*year.route).*row.member == std::chrono::hours(24 * 365) && year.problems.empty()));
        auto fraction = readRouteWith(row.field, 1500.9);
        BOOST_TEST(((*fraction.route).*row.member == milliseconds(1500) && fraction.problems.empty()));
        auto configuration = makeConfiguration();
        configuration["Routes"].as_array()[0].as_object().erase(row.field);
        BOOST_TEST((read(configuration)->routes.at("bookings").*row.member == row.missing));
    }
}

// Guards against serving a route whose group or kind is unknown, and against losing the other routes with it.
BOOST_AUTO_TEST_CASE(a_route_whose_group_or_kind_cannot_be_read_is_not_served)
{
    for (auto* field : { "Service", "RouteType" }) {
        for (const json::value& wrong : { json::value(""), json::value(7), json::value(nullptr), json::value(json::array()), json::value(json::object()) }) {
            auto reading = readRouteWith(field, wrong);
            BOOST_TEST(!reading.route.has_value(), field << " is " << json::serialize(wrong));
            BOOST_TEST((reading.problems.size() == 1u && reading.problems[0].item == "route bookings" && reading.problems[0].use == ItemUse::LeftOut));
        }
    }
    for (auto* kind : { "primry", "Primary", "leader" })
        BOOST_TEST(!readRouteWith("RouteType", kind).route.has_value(), kind);
    for (const json::value& wrong : { json::value(""), json::value(7), json::value(nullptr) }) {
        auto reading = readRouteWith("Host", wrong);
        BOOST_TEST(!reading.route.has_value());
        BOOST_TEST((reading.problems.size() == 1u && reading.problems[0].item == "Routes[0]" && reading.problems[0].use == ItemUse::LeftOut));
    }
}

BOOST_AUTO_TEST_CASE(a_flag_that_is_neither_true_nor_false_opens_nothing)
{
    BOOST_TEST(readRouteWith("Public", true).route->isPublic);
    for (const json::value& wrong : { json::value("true"), json::value(1), json::value(nullptr) }) {
        auto reading = readRouteWith("Public", wrong);
        BOOST_TEST(!reading.route->isPublic);
        BOOST_TEST((reading.problems.size() == 1u && reading.problems[0].use == ItemUse::Restricted));
    }
}

BOOST_AUTO_TEST_CASE(fields_of_a_later_version_change_nothing)
{
    auto configuration = makeConfiguration();
    configuration["Added"] = json::array { 7 };
    configuration["Routes"].as_array()[0].as_object()["Added"] = json::object { { "x", nullptr } };
    configuration["Services"].as_array()[0].as_object()["Added"] = "x";
    configuration["Limits"].as_object()["Added"] = -1;
    BOOST_TEST((*read(configuration) == *read(makeConfiguration())));
    std::string nested = json::serialize(makeConfiguration());
    nested.insert(1, "\"Added\":" + std::string(100, '[') + std::string(100, ']') + ",");
    BOOST_TEST(platform::readConfiguration(nested).has_value());
}

BOOST_AUTO_TEST_CASE(of_two_routes_of_one_database_that_differ_neither_is_served)
{
    auto addSecond = [](json::object route) {
        auto configuration = makeConfiguration();
        configuration["Routes"].as_array().push_back(std::move(route));
        return read(configuration);
    };
    auto same = addSecond(makeRoute("bookings"));
    BOOST_TEST((same->routes.size() == 2u && same->problems.empty()));
    auto differing = makeRoute("bookings");
    differing["Service"] = "other";
    auto unreadable = makeRoute("bookings");
    unreadable["RouteType"] = 7;
    for (auto& route : { differing, unreadable }) {
        auto result = addSecond(route);
        BOOST_TEST((result->routes.size() == 1u && result->routes.contains("others")));
        BOOST_TEST(result->problems.size() == 1u);
    }
    auto third = makeConfiguration();
    third["Routes"].as_array().push_back(differing);
    third["Routes"].as_array().push_back(makeRoute("bookings"));
    BOOST_TEST(!read(third)->routes.contains("bookings"));
}

BOOST_AUTO_TEST_CASE(elements_that_are_no_objects_are_left_out)
{
    for (auto* section : { "Routes", "Services" }) {
        auto configuration = makeConfiguration();
        auto& list = configuration[section].as_array();
        for (const json::value& wrong : { json::value(7), json::value(nullptr), json::value("x"), json::value(json::array()) })
            list.insert(list.begin(), wrong);
        auto result = read(configuration);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST((result->routes.size() == 2u && result->groups.size() == 1u));
        BOOST_TEST(result->problems.size() == 4u);
        BOOST_TEST(result->problems[2].item == fmt::format("{}[2]", section));
    }
}

// Guards against a document of the largest size that fills a host's memory with what is wrong in it.
BOOST_AUTO_TEST_CASE(the_problems_of_one_document_are_limited)
{
    constexpr size_t kElements = 400000; // of about 1 MB
    auto configuration = makeConfiguration();
    json::array keys(kElements, nullptr);
    configuration["Tenants"] = json::array { json::object { { "Name", "mill" }, { "ApiKeys", keys } } };
    BOOST_TEST(read(configuration)->problems.size() == 1u);
    for (auto* section : { "Services", "Tenants" }) {
        auto large = makeConfiguration();
        large[section] = json::array(kElements, 7);
        auto result = read(large);
        BOOST_TEST(result->problems.size() == 1001u);
        BOOST_TEST(result->problems.back().item == "the document");
        BOOST_TEST(result->routes.size() == 2u);
    }
}

BOOST_AUTO_TEST_CASE(limits_of_a_service_are_limited_or_take_their_strictest_value)
{
    struct Row {
        const char* field;
        json::value value;
        GroupLimits limits;
        size_t problems;
    };
    const Row rows[] {
        { "MaxConns", 1e6, { 1000000, 0 }, 0 },
        { "MaxConns", 5e9, { 1000000, 0 }, 1 },
        { "MaxConns", kInfinity, { 1000000, 0 }, 1 },
        { "MaxConns", 16.7, { 16, 0 }, 0 },
        { "MaxConns", -1, { 0, 0 }, 1 },
        { "MaxConns", "16", { 0, 0 }, 1 },
        { "MaxConns", nullptr, { 0, 0 }, 1 },
        { "SyncReplicas", 1, { 16, 1 }, 0 },
        { "SyncReplicas", 0.2, { 16, 1 }, 0 },
        { "SyncReplicas", 5000, { 16, 1000 }, 1 },
        { "SyncReplicas", kInfinity, { 16, 1000 }, 1 },
        { "SyncReplicas", -1, { 16, 1 }, 1 }, // commits stay guarded
        { "SyncReplicas", "none", { 16, 1 }, 1 },
        { "SyncReplicas", false, { 16, 1 }, 1 },
    };
    for (auto& row : rows) {
        auto configuration = makeConfiguration();
        configuration["Services"].as_array()[0].as_object()[row.field] = row.value;
        auto result = read(configuration);
        BOOST_REQUIRE(result.has_value());
        auto label = fmt::format("{} is {}", row.field, json::serialize(row.value));
        BOOST_TEST((result->groups.at("ledger") == row.limits), label);
        BOOST_TEST(result->problems.size() == row.problems, label);
    }
}

// Guards against a group whose limits are unknown losing its failover or the guard of its commits.
BOOST_AUTO_TEST_CASE(a_group_whose_service_cannot_be_read_is_served_with_the_strictest_limits)
{
    auto nameless = makeConfiguration();
    nameless["Services"].as_array()[0].as_object()["Name"] = 7;
    auto absent = makeConfiguration();
    absent["Services"] = json::array();
    auto noList = makeConfiguration();
    noList["Services"] = "ledger";
    auto none = makeConfiguration();
    none["Services"] = nullptr;
    for (auto& [configuration, problems] : { std::pair(nameless, 2u), { absent, 1u }, { noList, 2u }, { none, 1u } }) {
        auto result = read(configuration);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->routes.size() == 2u);
        BOOST_TEST((result->groups.at("ledger") == GroupLimits { 0, 1 }));
        BOOST_TEST(result->problems.size() == problems);
    }
    auto twice = makeConfiguration();
    auto second = makeService("ledger");
    second["MaxConns"] = 10;
    second["SyncReplicas"] = 1;
    twice["Services"].as_array().push_back(second);
    BOOST_TEST((read(twice)->groups.at("ledger") == GroupLimits { 10, 1 }));
    BOOST_TEST(read(twice)->problems.size() == 1u);
}

BOOST_AUTO_TEST_CASE(the_idle_limit_is_limited_or_left_out)
{
    for (auto [value, expected, problems] : { std::tuple<json::value, milliseconds, size_t>(172800000, std::chrono::hours(48), 0), { 1e300, kTenYears, 1 }, { -5, milliseconds(0), 1 }, { "x", milliseconds(0), 1 } }) {
        auto configuration = makeConfiguration();
        configuration["Limits"].as_object()["TxIdleMs"] = value;
        auto result = read(configuration);
        BOOST_TEST((result->transactionIdle == expected), json::serialize(value));
        BOOST_TEST(result->problems.size() == problems);
    }
    for (const json::value& wrong : { json::value(7), json::value(json::array()), json::value("x") }) {
        auto configuration = makeConfiguration();
        configuration["Limits"] = wrong;
        auto result = read(configuration);
        BOOST_TEST((result->routes.size() == 2u && result->transactionIdle.count() == 0 && result->problems.size() == 1u));
    }
}

// Only these cannot be read as a whole: nothing tells what is in them, or which of two is the newer one.
BOOST_AUTO_TEST_CASE(a_document_without_a_version_or_a_list_of_routes_is_refused)
{
    for (const json::value& wrong : { json::value(nullptr), json::value("7"), json::value(-7), json::value(0), json::value(7.5), json::value(18446744073709551616.0), json::value(kInfinity), json::value(json::array { 1 }) }) {
        auto configuration = makeConfiguration();
        configuration["Version"] = wrong;
        BOOST_TEST(!read(configuration).has_value(), json::serialize(wrong));
    }
    auto configuration = makeConfiguration();
    configuration["Version"] = UINT64_MAX;
    BOOST_TEST(read(configuration)->version == UINT64_MAX);
    configuration.erase("Version");
    BOOST_TEST(!read(configuration).has_value());
    for (const json::value& wrong : { json::value(nullptr), json::value("x"), json::value(7), json::value(json::object()) }) {
        auto withoutRoutes = makeConfiguration();
        withoutRoutes["Routes"] = wrong;
        BOOST_TEST(!read(withoutRoutes).has_value(), json::serialize(wrong));
    }
    for (auto& text : { std::string(), std::string("x"), std::string("null"), std::string("[]"), std::string("\xff\0", 2), std::string(200000, '['), std::string(1 << 20, '{') })
        BOOST_TEST(!platform::readConfiguration(text).has_value());
}

// No reason may hold a value of the document: it may be a key.
BOOST_AUTO_TEST_CASE(problems_name_fields_and_no_values)
{
    auto configuration = makeConfiguration();
    for (auto& field : configuration["Routes"].as_array()[0].as_object()) {
        if (field.key() != "Host")
            field.value() = "secret";
    }
    configuration["Services"].as_array()[0].as_object()["MaxConns"] = "secret";
    configuration["Limits"] = "secret";
    configuration["Tenants"] = json::array { "secret", json::object { { "Name", "mill" }, { "ApiKeys", json::array { json::array { "secret" } } }, { "RatePerS", "secret" } } };
    auto result = read(configuration);
    BOOST_TEST(result->problems.size() >= 6u);
    for (auto& it : result->problems)
        BOOST_TEST((it.item + it.field + it.reason).find("secret") == std::string::npos, it.item << " " << it.field << " " << it.reason);
}

// The invariants of what is in force, whatever the document is.
BOOST_AUTO_TEST_CASE(mutated_configurations_are_refused_or_parsed_with_valid_items)
{
    constexpr int kMutations = 20000;
    auto configuration = json::serialize(makeConfiguration());
    for (auto seed : { 1U, 2U, 3U }) {
        std::mt19937 random(seed);
        for (int i = 0; i < kMutations; ++i) {
            auto result = platform::readConfiguration(fixtures::mutate(configuration, random));
            if (!result)
                continue;
            BOOST_REQUIRE(result->version > 0);
            for (auto& [database, route] : result->routes) {
                bool isValid = !database.empty() && route.database == database && !route.group.empty() && route.priority >= 0 && route.maximumAge.count() >= 0 && route.maximumAge <= kTenYears;
                BOOST_REQUIRE(isValid);
                BOOST_REQUIRE(result->groups.contains(route.group));
            }
        }
    }
}

// Whatever an odd configuration is, it must mean the same on hosts that receive it through a relay, and without any key in it.
BOOST_AUTO_TEST_CASE(a_configuration_without_keys_is_read_as_the_configuration_itself)
{
    constexpr int kValues = 10000; // of each seed
    auto sound = makeConfiguration();
    sound["Tenants"] = json::array { json::object { { "Name", "mill" }, { "ApiKeys", json::array { "a-key-of-mill", "another" } }, { "RatePerS", 5 }, { "Burst", 7 } }, json::object { { "Name", "shop" }, { "ApiKeys", json::array { "a-key-of-shop" } } } };
    auto text = json::serialize(sound);
    unsigned readable = 0;
    for (auto seed : { 1U, 2U, 3U }) {
        std::mt19937 random(seed);
        for (int i = 0; i < kValues; ++i) {
            auto value = standins::makeOddValue(random, text);
            auto relayed = platform::replaceKeysWithDigests(value);
            auto direct = platform::readConfiguration(value);
            auto received = platform::readConfiguration(relayed);
            BOOST_REQUIRE_MESSAGE(direct.has_value() == received.has_value(), "seed " << seed << ", value " << i << ": " << value.substr(0, 600));
            if (!direct)
                continue;
            ++readable;
            bool isSame = direct->version == received->version && direct->routes == received->routes && direct->groups == received->groups && direct->accounts == received->accounts && direct->transactionIdle == received->transactionIdle;
            BOOST_REQUIRE_MESSAGE(isSame, "seed " << seed << ", value " << i << ": " << value.substr(0, 600));
        }
    }
    BOOST_TEST(readable > 5000u); // the generator also draws configurations that can be read
}

BOOST_AUTO_TEST_SUITE_END()
