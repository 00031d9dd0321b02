// Tests how client accounts and keys are read from the configuration, passed between hosts, and used in the session protocol.
#include "decisions/accounts.h"
#include "mutation.h"
#include "platform/accounts.h"
#include "platform/configuration.h"
#include "platform/wire.h"
#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <limits>

using namespace alderward;
using namespace alderward::decisions;
namespace json = boost::json;

namespace {

json::object makeAccount(const std::string& name, json::array keys)
{
    return { { "Name", name }, { "ApiKeys", std::move(keys) }, { "Priority", 1 }, { "RatePerS", 128 }, { "Burst", 64 } };
}

std::string makeConfiguration(json::value accounts)
{
    json::array routes { json::object { { "Name", "r" }, { "Host", "bookings" }, { "RouteType", "primary" }, { "Service", "ledger" }, { "Public", true } } };
    return fixtures::serialize(json::object { { "Version", 7 }, { "Routes", routes }, { "Services", json::array { json::object { { "Name", "ledger" } } } }, { "Tenants", std::move(accounts) } });
}

std::string makeConfiguration(std::vector<json::object> accounts)
{
    json::array list;
    for (auto& it : accounts)
        list.emplace_back(std::move(it));
    return makeConfiguration(json::value(std::move(list)));
}

std::string getOwner(const Accounts& accounts, const std::string& key)
{
    auto* account = findAccount(accounts, digestKey(key));
    return account ? account->name : "";
}

}

BOOST_AUTO_TEST_SUITE(accounts)

BOOST_AUTO_TEST_CASE(only_configured_keys_find_their_account)
{
    auto read = platform::readConfiguration(makeConfiguration(std::vector<json::object> { makeAccount("mill", { "k1", "k2" }), makeAccount("shop", { "k3" }), makeAccount("closed", {}) }));
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read->accounts.has_value());
    auto& accounts = *read->accounts;
    BOOST_TEST(getOwner(accounts, "k1") == "mill");
    BOOST_TEST(getOwner(accounts, "k2") == "mill");
    BOOST_TEST(getOwner(accounts, "k3") == "shop");
    for (auto* unknownKey : { "", "k", "k11", "K1", "mill" })
        BOOST_TEST(getOwner(accounts, unknownKey).empty(), unknownKey);
    BOOST_TEST(accounts.byName.contains("closed")); // an account without keys keeps its quota
    BOOST_TEST(findQuota(accounts, "mill")->perSecond == 128);
    BOOST_TEST(findQuota(accounts, "mill")->burst == 64);
    BOOST_TEST(read->routes.at("bookings").isPublic);
}

BOOST_AUTO_TEST_CASE(a_missing_account_list_differs_from_an_empty_one)
{
    auto without = platform::readConfiguration(R"({"Version":1,"Routes":[],"Services":[]})");
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST(!without->accounts.has_value());
    auto none = platform::readConfiguration(makeConfiguration(json::value(json::array())));
    BOOST_REQUIRE(none.has_value());
    BOOST_TEST(none->accounts.has_value());
}

BOOST_AUTO_TEST_CASE(a_key_shared_by_two_accounts_is_rejected)
{
    auto read = platform::readConfiguration(makeConfiguration(std::vector<json::object> { makeAccount("mill", { "k1", "both", "both" }), makeAccount("shop", { "both" }) }));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(getOwner(*read->accounts, "both").empty());
    BOOST_TEST(getOwner(*read->accounts, "k1") == "mill");
    auto twice = platform::readConfiguration(makeConfiguration(std::vector<json::object> { makeAccount("mill", { "k1", "k1" }) })); // duplicate within one account
    BOOST_REQUIRE(twice.has_value());
    BOOST_TEST(getOwner(*twice->accounts, "k1") == "mill");
}

// Guards against one account keeping a whole version out of force, and against an account that cannot be read opening anything.
BOOST_AUTO_TEST_CASE(a_malformed_account_opens_nothing_and_costs_nothing_else)
{
    // The quota of account mill beside a sound account, or nullopt if it has none or is not there.
    struct Result {
        bool isReported;
        bool isKeyAccepted;
        std::optional<AccountQuota> quota;
    };
    auto readBeside = [](json::object account) {
        auto read = platform::readConfiguration(makeConfiguration(std::vector<json::object> { std::move(account), makeAccount("shop", { "k3" }) }));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->routes.contains("bookings"));
        BOOST_TEST(getOwner(*read->accounts, "k3") == "shop");
        BOOST_TEST(findQuota(*read->accounts, "shop")->perSecond == 128);
        bool isReported = std::ranges::any_of(read->problems, [](auto& it) { return it.item.find("mill") != std::string::npos || it.item.find("Tenants[0]") != std::string::npos; });
        auto* quota = findQuota(*read->accounts, "mill");
        return Result { isReported, getOwner(*read->accounts, "k1") == "mill", quota ? std::optional(*quota) : std::nullopt };
    };
    auto with = [](const char* name, json::value value) {
        auto account = makeAccount("mill", { "k1" });
        account[name] = std::move(value);
        return account;
    };
    constexpr double infinity = std::numeric_limits<double>::infinity();
    struct Row {
        const char* field;
        json::value value;
        bool isReported;
        bool isKeyAccepted;
        std::optional<AccountQuota> quota;
    };
    const Row rows[] {
        { "RatePerS", 0.5, false, true, AccountQuota { 0.5, 64 } },
        { "RatePerS", 0, false, true, AccountQuota { 0, 64 } },
        { "RatePerS", 1e12, false, true, AccountQuota { 1e12, 64 } },
        { "RatePerS", 1e13, true, true, AccountQuota { 1e12, 64 } }, // limited
        { "RatePerS", infinity, true, true, AccountQuota { 1e12, 64 } },
        { "RatePerS", -1, true, true, AccountQuota { 0, 64 } }, // unreadable: closed, not unlimited
        { "RatePerS", -infinity, true, true, AccountQuota { 0, 64 } },
        { "RatePerS", "fast", true, true, AccountQuota { 0, 64 } },
        { "RatePerS", nullptr, true, true, AccountQuota { 0, 64 } },
        { "RatePerS", json::array(), true, true, AccountQuota { 0, 64 } },
        { "Burst", nullptr, true, true, AccountQuota { 128, 0 } },
        { "Burst", 1e300, true, true, AccountQuota { 128, 1e12 } },
        { "Name", "", true, false, std::nullopt },
        { "Name", 7, true, false, std::nullopt },
        { "ApiKeys", "k1", true, false, AccountQuota { 128, 64 } },
        { "ApiKeys", nullptr, true, false, AccountQuota { 128, 64 } },
        { "ApiKeys", json::array { 1, "k1" }, true, true, AccountQuota { 128, 64 } }, // the other key is readable
        { "ApiKeys", json::array { "" }, true, false, AccountQuota { 128, 64 } },
        { "ApiKeyDigests", json::array { "abc" }, true, true, AccountQuota { 128, 64 } },
        { "Priority", "x", false, true, AccountQuota { 128, 64 } }, // not used
        { "Added", json::array { json::object() }, false, true, AccountQuota { 128, 64 } }, // a field of a later version
    };
    for (auto& row : rows) {
        auto result = readBeside(with(row.field, row.value));
        auto label = fmt::format("{} is {}", row.field, json::serialize(row.value));
        BOOST_TEST(result.isReported == row.isReported, label);
        BOOST_TEST(result.isKeyAccepted == row.isKeyAccepted, label);
        BOOST_TEST((result.quota == row.quota), label);
    }
    // An element that is no account, and a section that is no list, open nothing either.
    auto elements = platform::readConfiguration(makeConfiguration(json::value(json::array { "k1", nullptr, 7, makeAccount("shop", { "k3" }) })));
    BOOST_TEST(elements->problems.size() == 3u);
    BOOST_TEST((elements->accounts->keys.size() == 1u && getOwner(*elements->accounts, "k3") == "shop"));
    for (const json::value& section : { json::value("none"), json::value(nullptr), json::value(json::object()), json::value(7) }) {
        auto closed = platform::readConfiguration(makeConfiguration(section));
        BOOST_REQUIRE(closed.has_value());
        BOOST_TEST(closed->problems.size() == 1u);
        BOOST_TEST((closed->accounts && closed->accounts->keys.empty()));
        BOOST_TEST(closed->routes.contains("bookings"));
    }
}

// Guards against the more generous of two readings: their keys are joined, the lower quota holds.
BOOST_AUTO_TEST_CASE(two_accounts_of_one_name_have_the_lower_quota)
{
    auto lower = makeAccount("mill", { "k2" });
    lower["RatePerS"] = 5;
    auto unlimited = makeAccount("mill", { "k4" });
    unlimited.erase("RatePerS");
    auto read = platform::readConfiguration(makeConfiguration(std::vector<json::object> { unlimited, makeAccount("mill", { "k1" }), lower }));
    BOOST_REQUIRE(read.has_value());
    for (auto* key : { "k1", "k2", "k4" })
        BOOST_TEST(getOwner(*read->accounts, key) == "mill", key);
    BOOST_TEST((*findQuota(*read->accounts, "mill") == AccountQuota { 5, 64 }));
    BOOST_TEST(std::ranges::count(read->problems, "account mill", &links::ConfigurationProblem::item) == 2);
}

// Guards against a key that an unreadable account has, too, resolving to the readable one.
BOOST_AUTO_TEST_CASE(a_key_of_an_account_without_a_name_is_accepted_for_no_other)
{
    auto nameless = makeAccount("x", { "both", "own" });
    nameless.erase("Name");
    for (bool isFirst : { true, false }) {
        std::vector<json::object> list { makeAccount("mill", { "both", "k1" }) };
        list.insert(isFirst ? list.begin() : list.end(), nameless);
        auto read = platform::readConfiguration(makeConfiguration(list));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(getOwner(*read->accounts, "k1") == "mill");
        for (auto* key : { "both", "own" })
            BOOST_TEST(!findAccount(*read->accounts, digestKey(key)), key);
    }
}

BOOST_AUTO_TEST_CASE(an_account_without_a_rate_is_unlimited)
{
    auto unlimited = makeAccount("mill", { "k1" });
    unlimited.erase("RatePerS");
    auto read = platform::readConfiguration(makeConfiguration(std::vector<json::object> { unlimited }));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(findQuota(*read->accounts, "mill") == nullptr);
}

// Guards against sending plain keys to other hosts with the configuration.
BOOST_AUTO_TEST_CASE(hidden_keys_are_still_recognized_by_their_digests)
{
    auto value = makeConfiguration(std::vector<json::object> { makeAccount("mill", { "key-one-of-mill", "key-two-of-mill" }), makeAccount("shop", { "key-of-shop" }) });
    auto hidden = platform::replaceKeysWithDigests(value);
    for (auto* key : { "key-one-of-mill", "key-two-of-mill", "key-of-shop", "ApiKeys\"" })
        BOOST_TEST(hidden.find(key) == std::string::npos, key);
    auto read = platform::readConfiguration(value);
    auto received = platform::readConfiguration(hidden);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((*read == *received));
    BOOST_TEST(platform::replaceKeysWithDigests(hidden) == hidden);
    BOOST_TEST(platform::replaceKeysWithDigests("no JSON with key-of-shop").empty());
    for (auto* number : { "1e999", "-1e999", "1e300" }) { // infinite once they are read, which has no form in JSON
        auto large = makeConfiguration(json::value(json::array { makeAccount("mill", { "k1" }) }));
        large.replace(large.find("\"RatePerS\":128"), 14, fmt::format("\"RatePerS\":{},\"Added\":[{}]", number, number));
        BOOST_TEST((platform::readConfiguration(platform::replaceKeysWithDigests(large)) == platform::readConfiguration(large)), number);
    }
    // What is not an account may hold a key as well. The receiver reads what the sender does.
    auto odd = makeConfiguration(json::value(json::array { "key-of-shop", json::array { "key-of-shop" }, json::object { { "Name", "mill" }, { "ApiKeys", json::array { "key-one-of-mill", json::array { "key-of-shop" } } } } }));
    auto hiddenOdd = platform::replaceKeysWithDigests(odd);
    for (auto& text : { hiddenOdd, platform::replaceKeysWithDigests(makeConfiguration(json::value("key-of-shop"))) }) {
        BOOST_TEST(text.find("key-of-shop") == std::string::npos, text);
        BOOST_TEST(platform::readConfiguration(text)->routes.contains("bookings"));
    }
    BOOST_TEST((platform::readConfiguration(hiddenOdd)->accounts == platform::readConfiguration(odd)->accounts));
    BOOST_TEST(platform::readConfiguration(hiddenOdd)->problems.size() == platform::readConfiguration(odd)->problems.size());
    BOOST_TEST(platform::readConfiguration(platform::replaceKeysWithDigests(makeConfiguration(json::value("key-of-shop"))))->accounts->keys.empty());
    BOOST_TEST(platform::replaceKeysWithDigests(R"({"Tenants":[{"Name":"x","ApiKeys":"key-of-shop"}]})").find("key-of-shop") == std::string::npos);
    auto plain = std::string(R"({"Version":1,"Routes":[]})");
    BOOST_TEST(platform::replaceKeysWithDigests(plain) == plain);
}

BOOST_AUTO_TEST_CASE(digests_survive_formatting_and_parsing)
{
    auto digest = digestKey("k1");
    BOOST_TEST((digest != digestKey("k2")));
    BOOST_TEST((parseDigest(formatDigest(digest)) == digest));
    BOOST_TEST(formatDigest(digest).size() == 32u);
    for (auto* text : { "", "00", "zz000000000000000000000000000000", "000000000000000000000000000000000" })
        BOOST_TEST(!parseDigest(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(many_accounts_with_many_keys_are_read)
{
    json::array list;
    for (int i = 0; i < 10000; ++i) {
        json::array keys;
        for (int k = 0; k < 10; ++k)
            keys.emplace_back(fmt::format("key-{}-{}", i, k));
        list.emplace_back(makeAccount(fmt::format("account{}", i), std::move(keys)));
    }
    auto read = platform::readConfiguration(makeConfiguration(json::value(std::move(list))));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->accounts->keys.size() == 100000u);
    BOOST_TEST(getOwner(*read->accounts, "key-9999-9") == "account9999");
    BOOST_TEST(getOwner(*read->accounts, "key-9999-10").empty());
}

BOOST_AUTO_TEST_CASE(callers_send_a_key_and_targets_receive_the_account_name)
{
    auto codec = platform::makeLineCodec();
    auto hello = std::get<links::OpenSession>(codec->parseCallerMessage("CONNECT bookings a key with blanks"));
    BOOST_TEST(hello.database == "bookings");
    BOOST_TEST((hello.key == digestKey("a key with blanks")));
    BOOST_TEST(codec->formatHello("ledger", "mill", "m1") == "CONNECT ledger mill m1\r\n");
    BOOST_TEST(codec->formatHello("ledger", "north mill 5%", "m1") == "CONNECT ledger north%20mill%205%25 m1\r\n"); // a blank would shift the fields
    BOOST_TEST(codec->formatHello("ledger", "5%", "m1") == "CONNECT ledger 5% m1\r\n");
    BOOST_TEST(codec->formatError({ ErrorKind::UnknownKey, "x" }).starts_with("ERROR UNAUTH "));
    BOOST_TEST(codec->formatError({ ErrorKind::QuotaExceeded, "x" }).starts_with("ERROR BUSY ")); // not executed, so the caller may retry
}

BOOST_AUTO_TEST_SUITE_END()
