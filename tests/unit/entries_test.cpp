// Invalid entries of members and invalid messages are refused as a whole, and no input crashes the process.
#include "decisions/promotion.h"
#include "gateway/host_entry.h"
#include "mutation.h"
#include "platform/adapter.h"
#include "platform/entries.h"
#include "platform/wire.h"
#include "standins/odd_entries.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <limits>
#include <random>

using namespace alderward;
namespace json = boost::json;

namespace {

json::object makeEntry()
{
    return { { "Service", "ledger" }, { "Address", "10.0.0.1:8149" }, { "Zone", "hall-a" }, { "Version", "v1" }, { "Slots", 2 }, { "State", "ready" }, { "ColdLeftMs", 0 }, { "DbRole", "replica" }, { "Sequence", 4 }, { "born", 1789000000000 } };
}

bool isValidEntry(const json::object& entry)
{
    return platform::readMemberEntry("m1", json::serialize(entry)).has_value();
}

// The invariants of a parsed member.
bool hasRequiredFields(const links::RegisteredMember& it)
{
    return !it.id.empty() && !it.group.empty() && !it.address.empty() && !it.dataCentre.empty() && it.slots > 0;
}

std::string nest(size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

constexpr int kMutations = 20000; // of each input
constexpr unsigned kSeeds[] { 1, 2, 3 };

}

BOOST_AUTO_TEST_SUITE(entries)

BOOST_AUTO_TEST_CASE(all_fields_of_a_valid_entry_are_parsed)
{
    auto member = platform::readMemberEntry("m1", json::serialize(makeEntry()));
    BOOST_REQUIRE(member.has_value());
    links::RegisteredMember expected { .id = "m1", .group = "ledger", .address = "10.0.0.1:8149", .dataCentre = "hall-a", .slots = 2, .incarnation = { 1789000000000, 4 } };
    BOOST_TEST((*member == expected));
    auto older = makeEntry();
    older.erase("born");
    BOOST_TEST(isValidEntry(older)); // optional
    auto newer = makeEntry();
    newer["something"] = json::object { { "new", nullptr } };
    BOOST_TEST(isValidEntry(newer));
}

BOOST_AUTO_TEST_CASE(entries_with_a_missing_or_mistyped_field_are_refused)
{
    for (auto* name : { "Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs", "DbRole", "Sequence" }) {
        auto entry = makeEntry();
        entry.erase(name);
        BOOST_TEST(!isValidEntry(entry), name << " is missing");
    }
    auto valid = makeEntry();
    for (auto& field : valid) {
        for (const json::value& wrong : { json::value(nullptr), json::value(true), json::value(json::array()), json::value(json::object()), json::value(-1), json::value(0.5), json::value(""), json::value(1e300) }) {
            bool isCount = field.value().is_number();
            auto entry = valid;
            entry[field.key()] = wrong;
            if (field.key() == "Version" && wrong.is_string()) { // it is a text, and not used
                BOOST_TEST(isValidEntry(entry));
                continue;
            }
            BOOST_TEST(!isValidEntry(entry), field.key() << (isCount ? " (a count) is " : " is ") << json::serialize(wrong));
        }
    }
}

BOOST_AUTO_TEST_CASE(entries_with_unknown_values_or_values_out_of_range_are_refused)
{
    auto with = [](std::string_view name, json::value value) {
        auto entry = makeEntry();
        entry[name] = std::move(value);
        return isValidEntry(entry);
    };
    BOOST_TEST(with("State", "draining"));
    BOOST_TEST(!with("State", "gone"));
    BOOST_TEST(!with("State", "Ready"));
    BOOST_TEST(with("DbRole", "primary"));
    BOOST_TEST(!with("DbRole", "leader"));
    BOOST_TEST(!with("Slots", 0));
    for (auto* name : { "Slots", "Sequence", "born", "ColdLeftMs" }) {
        BOOST_TEST(with(name, UINT64_MAX), name); // the largest that can be read
        BOOST_TEST(!with(name, 18446744073709551616.0), name);
        BOOST_TEST(!with(name, std::numeric_limits<double>::infinity()), name);
    }
    for (auto* address : { "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:80x", ":80", "host:80", "10.0.0.1:-1" })
        BOOST_TEST(!with("Address", address), address);
}

// Guards against limits that no other program knows of: a member that works is used whatever its counters are.
BOOST_AUTO_TEST_CASE(large_numbers_of_an_entry_are_used_or_limited)
{
    auto entry = makeEntry();
    for (auto* name : { "Slots", "Sequence", "born", "ColdLeftMs" })
        entry[name] = UINT64_MAX;
    auto member = platform::readMemberEntry("m1", json::serialize(entry));
    BOOST_REQUIRE(member.has_value());
    BOOST_TEST(member->slots == 10000u);
    BOOST_TEST((member->incarnation == links::MemberIncarnation { UINT64_MAX, UINT64_MAX }));
}

// Guards against a field that is split or continued by its text in a message to a member, and against names that fill messages between hosts.
BOOST_AUTO_TEST_CASE(entries_whose_texts_cannot_be_sent_are_refused)
{
    for (auto* separator : { " ", "\r\n", "\n", "\t", "\x7f", "\x01" }) {
        BOOST_TEST(!platform::readMemberEntry(std::string("m") + separator + "1", json::serialize(makeEntry())).has_value());
        auto entry = makeEntry();
        entry["Service"] = std::string("ledger") + separator + "QUERY 1 WRITE x 1";
        BOOST_TEST(!isValidEntry(entry));
    }
    for (auto* name : { "Service", "Zone", "Version" }) {
        auto entry = makeEntry();
        entry[name] = std::string(200, 'x');
        BOOST_TEST(isValidEntry(entry), name);
        entry[name] = std::string(201, 'x');
        BOOST_TEST(!isValidEntry(entry), name);
    }
}

// A host would connect to itself at an unspecified address.
BOOST_AUTO_TEST_CASE(entries_at_the_address_of_no_machine_are_refused)
{
    for (auto* address : { "0.0.0.0:80", "224.0.0.1:80", "239.255.255.255:80", "[::]:80", "::0:80", "ff02::1:80", "10.0.0.1: 80", "10.0.0.1:+80", " 10.0.0.1:80", "10.0.0.1:65536", "10.0.0.1:99999999999999999999" }) {
        auto entry = makeEntry();
        entry["Address"] = address;
        BOOST_TEST(!isValidEntry(entry), address);
        BOOST_TEST(!gateway::parseHostEntry("h1", gateway::formatHostEntry({ "h1", address, "hall-a", 1 })).has_value(), address);
    }
}

BOOST_AUTO_TEST_CASE(host_entries_with_a_field_that_cannot_be_used_are_refused)
{
    links::RegisteredHost host { "h1", "10.0.0.1:7400", "hall-a", UINT64_MAX };
    auto text = gateway::formatHostEntry(host);
    BOOST_TEST((gateway::parseHostEntry("h1", text) == host));
    BOOST_TEST(!gateway::parseHostEntry("", text).has_value());
    BOOST_TEST(!gateway::parseHostEntry(std::string(201, 'h'), text).has_value());
    for (auto* field : { "address", "dataCentre", "incarnation" }) {
        for (const json::value& wrong : { json::value(nullptr), json::value(""), json::value(-1), json::value(0.5), json::value(1e300), json::value(json::array()), json::value(std::string(201, 'x')) }) {
            auto object = json::parse(text).as_object();
            object[field] = wrong;
            BOOST_TEST(!gateway::parseHostEntry("h1", json::serialize(object)).has_value(), field << " is " << json::serialize(wrong));
        }
    }
}

// Guards against tokens that overflow: the platform would refuse all later ones.
BOOST_AUTO_TEST_CASE(coordinator_records_without_room_for_tokens_are_refused)
{
    auto withToken = [](uint64_t token) { return decisions::parseCoordinatorRecord(decisions::formatCoordinatorRecord({ { { "h1", 1 } }, token })); };
    BOOST_TEST(withToken(uint64_t { 1 } << 53).has_value());
    BOOST_TEST(withToken(uint64_t { 1 } << 62).has_value());
    for (uint64_t token : { (uint64_t { 1 } << 62) + 1, uint64_t { 1 } << 63, UINT64_MAX - 1, UINT64_MAX })
        BOOST_TEST(!withToken(token).has_value(), token);
    auto next = decisions::makeCoordinatorRecord(*withToken(uint64_t { 1 } << 62), { { { "h2", 1 }, "hall-a" } });
    BOOST_TEST(*decisions::getFencingToken(next, 0, 0) > uint64_t { 1 } << 62);
}

// What relays pass on must mean the same as the entry itself, and be short.
BOOST_AUTO_TEST_CASE(a_compact_entry_is_read_as_the_entry_itself)
{
    constexpr int kValues = 20000; // of each seed
    auto entry = json::serialize(makeEntry());
    unsigned valid = 0;
    for (auto seed : kSeeds) {
        std::mt19937 random(seed);
        for (int i = 0; i < kValues; ++i) {
            auto value = standins::makeOddValue(random, entry);
            auto compact = platform::compactMemberEntry(value);
            auto member = platform::readMemberEntry("m1", value);
            auto received = platform::readMemberEntry("m1", compact);
            BOOST_REQUIRE_MESSAGE(member.has_value() == received.has_value() && (!member || *member == *received), "seed " << seed << ", value " << i << ": " << value.substr(0, 300));
            BOOST_REQUIRE(compact.size() < 2000u);
            valid += member ? 1 : 0;
        }
    }
    BOOST_TEST(valid > 1000u); // the generator also draws entries that can be used
}

BOOST_AUTO_TEST_CASE(malformed_entries_are_refused)
{
    for (auto& text : { std::string(), std::string("x"), std::string("null"), std::string("[]"), std::string("\xff\xfe\0", 3), nest(10000), "{\"Service\":" + nest(10000) + "}", std::string(1 << 20, '{'), std::string("{\"Slots\":99999999999999999999999999}"), std::string(1 << 20, ' ') })
        BOOST_TEST(!platform::readMemberEntry("m1", text).has_value());
    BOOST_TEST(!platform::readMemberEntry("", json::serialize(makeEntry())).has_value());
    BOOST_TEST(platform::readMemberEntry(std::string(200, 'k'), json::serialize(makeEntry())).has_value());
}

BOOST_AUTO_TEST_CASE(mutated_entries_are_refused_or_parsed_completely)
{
    auto entry = json::serialize(makeEntry());
    auto hostEntry = gateway::formatHostEntry({ "h1", "10.0.0.1:7400", "hall-a", 7 });
    auto coordinatorRecord = decisions::formatCoordinatorRecord({ { { "h1", 1 }, { "h2", 2 } }, 3001 });
    int refused = 0;
    for (auto seed : kSeeds) {
        std::mt19937 random(seed);
        for (int i = 0; i < kMutations; ++i) {
            auto member = platform::readMemberEntry("m1", fixtures::mutate(entry, random));
            BOOST_REQUIRE((!member || hasRequiredFields(*member)));
            refused += member ? 0 : 1;
            decisions::parseCoordinatorRecord(fixtures::mutate(coordinatorRecord, random));
            gateway::parseHostEntry("h1", fixtures::mutate(hostEntry, random));
        }
    }
    BOOST_TEST(refused > kMutations); // the majority over all seeds
}

BOOST_AUTO_TEST_CASE(no_message_of_a_caller_or_a_target_crashes_the_process)
{
    auto codec = platform::makeLineCodec();
    const std::vector<std::string> lines { "CONNECT lepu u3\r\n", "QUERY 5c0e AFTER 3.12 READ 1a4\r\n", "QUERY 5c0e EXECUTE s1 1a4 xkq\r\n", "ROW replica 3 3.1209 0 12 2 17\r\n", "COMPLETE 7.1f3.c.2b\r\n", "ERROR READONLY i-7\r\n", "READY T 3.1209\r\n" };
    for (auto seed : kSeeds) {
        std::mt19937 random(seed);
        for (int i = 0; i < kMutations; ++i) {
            auto line = fixtures::mutate(lines[static_cast<size_t>(i) % lines.size()], random);
            codec->parseCallerMessage(line);
            codec->parseTargetMessage(line);
            codec->parseStatus(line);
        }
    }
    for (auto* mark : { "READY I .", "READY I 1.", "READY I .1", "READY I 99999999999999999999.1", "READY I -1.-1", "READY" })
        codec->parseTargetMessage(mark);
    BOOST_TEST(!codec->parseStatus("ROW").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
