// Tests how client accounts and keys are read from the configuration, passed between hosts, and used in the session protocol.
#include "decisions/accounts.h"
#include "platform/entries.h"
#include "platform/wire.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

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
    return json::serialize(json::object { { "Version", 7 }, { "Routes", routes }, { "Services", json::array() }, { "Tenants", std::move(accounts) } });
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

BOOST_AUTO_TEST_CASE(a_malformed_account_rejects_the_configuration)
{
    auto isAccepted = [](json::object account) { return platform::readConfiguration(makeConfiguration(std::vector<json::object> { std::move(account) })).has_value(); };
    auto with = [](const char* name, json::value value) {
        auto account = makeAccount("mill", { "k1" });
        account[name] = std::move(value);
        return account;
    };
    BOOST_TEST(isAccepted(with("RatePerS", 0.5)));
    BOOST_TEST(isAccepted(with("RatePerS", 0)));
    BOOST_TEST(!isAccepted(with("RatePerS", -1)));
    BOOST_TEST(!isAccepted(with("RatePerS", "fast")));
    BOOST_TEST(!isAccepted(with("Burst", nullptr)));
    BOOST_TEST(!isAccepted(with("Name", "")));
    BOOST_TEST(!isAccepted(with("ApiKeys", "k1")));
    BOOST_TEST(!isAccepted(with("ApiKeys", json::array { 1 })));
    BOOST_TEST(!isAccepted(with("ApiKeys", json::array { "" })));
    BOOST_TEST(!isAccepted(with("ApiKeyDigests", json::array { "abc" })));
    BOOST_TEST(!platform::readConfiguration(makeConfiguration(std::vector<json::object> { makeAccount("mill", { "k1" }), makeAccount("mill", { "k2" }) })).has_value());
    BOOST_TEST(!platform::readConfiguration(makeConfiguration(json::value("none"))).has_value());
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
    BOOST_TEST(platform::replaceKeysWithDigests(R"({"Tenants":"key-of-shop"})").empty());
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
