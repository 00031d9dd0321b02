// Records and settings: invalid ones are refused with the field or line at fault.
#include "base/settings.h"
#include "decisions/records.h"
#include "standins/odd_entries.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>

using namespace alderward;
using decisions::parseGroupRecord;

namespace {

const std::string kMember = R"({"name":"a","address":"127.0.0.1:1","dataCentre":"x"})";

std::string makeRecord(const std::string& more, const std::string& members = kMember)
{
    return R"({"schema":2,"members":[)" + members + "]" + more + "}";
}

std::string getField(const std::string& text)
{
    auto record = parseGroupRecord("g", text);
    return record ? "good" : record.error().field;
}

const std::string kSettings = "[host]\nname = h1\ndata_centre = x\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n"
                              "operator_address = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n[session]\nkey = 0123456789abcdef\n";

std::string getProblem(const std::string& text)
{
    auto settings = base::parseSettings(text, "f.ini");
    return settings ? "good" : settings.error();
}

}

BOOST_AUTO_TEST_SUITE(records)

BOOST_AUTO_TEST_CASE(problems_name_the_invalid_field)
{
    BOOST_TEST(getField(makeRecord("")) == "good");
    BOOST_TEST(getField(makeRecord(R"(,"slots":0)")) == "slots");
    BOOST_TEST(getField(makeRecord(R"(,"connectionLimit":"many")")) == "connectionLimit");
    BOOST_TEST(getField(makeRecord(R"(,"acknowledge":"some")")) == "acknowledge");
    BOOST_TEST(getField(makeRecord(R"(,"promotion":{"mode":"maybe"})")) == "promotion.mode");
    BOOST_TEST(getField(makeRecord(R"(,"promotion":{"mostPerHour":-1})")) == "promotion.mostPerHour");
    BOOST_TEST(getField(makeRecord(R"(,"reads":{"portal":{"maximumAgeMs":-1}})")) == "reads.portal.maximumAgeMs");
    BOOST_TEST(getField(makeRecord(R"(,"colour":"red")")) == "colour");
    BOOST_TEST(getField(makeRecord("", "")) == "members");
    BOOST_TEST(getField(makeRecord("", kMember + "," + kMember)) == "members");
    BOOST_TEST(getField(makeRecord("", R"({"name":"a","address":"nowhere","dataCentre":"x"})")) == "members[0].address");
    BOOST_TEST(getField(R"({"schema":3})") == "schema");
    BOOST_TEST(getField(R"({})") == "schema");
    BOOST_TEST(getField("[]") == "");
}

BOOST_AUTO_TEST_CASE(syntax_errors_name_their_line)
{
    auto record = parseGroupRecord("g", "{\n \"schema\": 2,\n \"members\": [,]\n}");
    BOOST_TEST(record.error().line == 3u);
    BOOST_TEST(parseGroupRecord("g", makeRecord("") + "}").error().line == 1u);
}

BOOST_AUTO_TEST_CASE(schema_1_is_parsed_into_the_current_struct)
{
    auto record = parseGroupRecord("g", R"({"schema":1,"members":["a=127.0.0.1:1@x"],"staleMs":70,"promote":false})");
    BOOST_REQUIRE(record);
    BOOST_TEST(record->members.front().dataCentre == "x");
    BOOST_TEST(record->readKinds.at("default").count() == 70);
    BOOST_TEST((record->promotion.mode == decisions::PromotionMode::Off));
    BOOST_TEST(getField(R"({"schema":1,"members":["a=127.0.0.1@x"]})") == "members[0]");
    BOOST_TEST(getField(R"({"schema":1,"members":["a=127.0.0.1:1@x"],"reads":{}})") == "reads");
}

BOOST_AUTO_TEST_CASE(envelopes_survive_formatting_and_older_versions_are_ignored)
{
    decisions::Envelope envelope { makeRecord(""), { { "id1", "asha", 5, "changed" } } };
    BOOST_TEST((decisions::parseEnvelope(decisions::formatEnvelope(envelope)).value() == envelope));
    BOOST_TEST(!decisions::parseEnvelope("{}"));
    decisions::ValueMap values;
    BOOST_TEST(decisions::updateIfNewer(values, "k", { 5, "five" }));
    BOOST_TEST(!decisions::updateIfNewer(values, "k", { 4, "four" }));
    BOOST_TEST(!decisions::updateIfNewer(values, "k", { 5, "other five" }));
    BOOST_TEST(values["k"].value == "five");
    auto digest = decisions::getDigest(values);
    decisions::updateIfNewer(values, "k", { 6, "six" });
    BOOST_TEST(digest != decisions::getDigest(values));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(settings)

// Guards against exchanging whole sets between hosts that differ in one key.
BOOST_AUTO_TEST_CASE(a_change_of_one_key_changes_one_bucket_only)
{
    using namespace decisions;
    ValueMap mine;
    for (int i = 0; i < 1000; ++i)
        updateIfNewer(mine, "alderward/groups/g" + std::to_string(i), { 1, "{}" });
    auto theirs = mine;
    BOOST_TEST(std::ranges::count(findDifferingBuckets(getBucketDigests(mine), getBucketDigests(theirs)), true) == 0);
    updateIfNewer(theirs, "alderward/groups/g7", { 2, "{}" });
    auto differences = findDifferingBuckets(getBucketDigests(mine), getBucketDigests(theirs));
    BOOST_TEST(std::ranges::count(differences, true) == 1);
    BOOST_TEST(differences[getBucket("alderward/groups/g7")]);
    uint64_t sum = 0;
    for (auto it : getBucketDigests(theirs))
        sum ^= it;
    BOOST_TEST(sum == getDigest(theirs));
    BOOST_TEST(std::ranges::count(findDifferingBuckets(getBucketDigests(mine), {}), true) == static_cast<int>(kBucketCount)); // without digests to compare, all buckets count as different
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_refused_with_file_and_line)
{
    BOOST_TEST(getProblem(kSettings) == "good");
    BOOST_TEST(getProblem(kSettings + "[health]\nprobe_interval_ms = 5\n").starts_with("f.ini:12: [health] probe_interval_ms"));
    BOOST_TEST(getProblem(kSettings + "[health]\nprobe_interval_ms = soon\n").starts_with("f.ini:12: "));
    BOOST_TEST(getProblem(kSettings + "[health]\ncolour = red\n") == "f.ini:12: [health] colour is not a setting");
    BOOST_TEST(getProblem(kSettings + "[debug]\nallow_faults = perhaps\n").starts_with("f.ini:12: "));
    BOOST_TEST(getProblem("[host]\nname = h1\n") == "f.ini:1: [host] data_centre is missing");
    BOOST_TEST(getProblem("what is this\n").starts_with("f.ini:1: "));
    BOOST_TEST(getProblem("name = h1\n").starts_with("f.ini:1: "));
    BOOST_TEST(!base::readSettings("/nowhere/at/all.ini"));
}

BOOST_AUTO_TEST_CASE(the_operations_page_documents_every_setting)
{
    std::ifstream file(std::string(ALDERWARD_SOURCE_DIR) + "/docs/OPERATIONS.md");
    std::string page((std::istreambuf_iterator<char>(file)), {});
    for (auto& it : base::getSettingTable()) {
        auto row = fmt::format("| {} | {} | {} | {} | {} | {} |", it.section, it.key, it.unit, it.defaultValue, it.bounds, it.meaning);
        BOOST_TEST(page.find(row) != std::string::npos, "docs/OPERATIONS.md lacks: " + row);
    }
}

// Other programs write to the store as well: no value may end the process, and what is accepted must be complete.
BOOST_AUTO_TEST_CASE(odd_values_of_the_store_are_refused_or_read_completely)
{
    constexpr int kValues = 20000; // of each kind
    const auto record = makeRecord(R"(,"reads":{"fresh":{"maximumAgeMs":0}})");
    const auto envelope = decisions::formatEnvelope({ record, { { "id", "x", 7, "summary" } } });
    const std::string host = R"({"address":"127.0.0.1:1","operatorAddress":"127.0.0.1:2","dataCentre":"x","leaving":false,"incarnation":7})";
    std::mt19937 random(1);
    for (int i = 0; i < kValues; ++i) {
        if (auto read = parseGroupRecord("g", standins::makeOddValue(random, record)))
            BOOST_REQUIRE(!read->members.empty());
        decisions::parseEnvelope(standins::makeOddValue(random, envelope));
        decisions::parsePlatformHost("h1", standins::makeOddValue(random, host));
    }
}

BOOST_AUTO_TEST_SUITE_END()
