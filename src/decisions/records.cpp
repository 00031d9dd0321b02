#include "decisions/records.h"
#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <set>

namespace alderward::decisions {

namespace json = boost::json;

static constexpr unsigned kMaxConnections = 10000;
static constexpr unsigned kMaxSlots = 1000;
static constexpr int64_t kMaxIntervalMs = 3600 * 1000;
static constexpr int64_t kMaxAgeMs = 24 * 3600 * 1000;
static constexpr size_t kMaxMembers = 15;

using Problem = tl::unexpected<RecordProblem>;

static Problem makeProblem(std::string field, std::string message)
{
    return tl::make_unexpected(RecordProblem { 0, std::move(field), std::move(message) });
}

const MemberRecord* GroupRecord::findMember(const std::string& member) const
{
    auto it = std::ranges::find(members, member, &MemberRecord::name);
    return it == members.end() ? nullptr : &*it;
}

std::string formatProblem(const RecordProblem& it)
{
    std::string where;
    if (it.line)
        where += fmt::format("line {}: ", it.line);
    if (!it.field.empty())
        where += fmt::format("field {}: ", it.field);
    return where + it.message;
}

// Reports the line at which the parser stopped.
static tl::expected<json::value, RecordProblem> parseJson(const std::string& text)
{
    json::stream_parser parser;
    boost::system::error_code ec;
    size_t n = parser.write_some(text, ec);
    if (!ec && n < text.size() && text.find_first_not_of(" \t\r\n", n) != std::string::npos)
        ec = json::error::extra_data;
    if (!ec)
        parser.finish(ec);
    if (ec) {
        auto line = 1 + static_cast<size_t>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(n), '\n'));
        return tl::make_unexpected(RecordProblem { line, {}, "invalid JSON: " + ec.message() });
    }
    return parser.release();
}

namespace {

// Reads fields of a JSON object and keeps the first problem. Fields that were never read count as unknown.
class FieldReader {
public:
    FieldReader(const json::value& value, std::string path)
        : m_path(std::move(path))
        , m_object(value.if_object())
    {
        if (!m_object)
            addProblem({}, "must be an object");
    }

    std::string getString(const char* name, std::optional<std::string> fallback = std::nullopt)
    {
        auto* value = find(name, !fallback);
        if (!value)
            return fallback.value_or("");
        if (value->is_string() && !value->get_string().empty())
            return std::string(value->get_string());
        addProblem(name, "must be a non-empty string");
        return {};
    }

    int64_t getInteger(const char* name, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback = std::nullopt)
    {
        auto* value = find(name, !fallback);
        if (!value)
            return fallback.value_or(0);
        if (value->is_int64() && value->get_int64() >= minimum && value->get_int64() <= maximum)
            return value->get_int64();
        addProblem(name, fmt::format("must be a whole number from {} to {}", minimum, maximum));
        return minimum;
    }

    bool getBool(const char* name, bool fallback)
    {
        auto* value = find(name, false);
        if (!value)
            return fallback;
        if (value->is_bool())
            return value->get_bool();
        addProblem(name, "must be true or false");
        return fallback;
    }

    const json::array* getArray(const char* name, bool isRequired)
    {
        auto* value = find(name, isRequired);
        if (value && !value->is_array())
            addProblem(name, "must be an array");
        return value ? value->if_array() : nullptr;
    }

    const json::value* getAny(const char* name) { return find(name, false); }

    // Call after all fields have been read.
    void rejectUnknownFields()
    {
        if (!m_object)
            return;
        for (auto& it : *m_object) {
            if (!m_knownFields.contains(it.key()))
                addProblem(std::string(it.key()), "is not a field of this schema");
        }
    }

    void addProblem(const std::string& name, std::string message)
    {
        if (!m_problem)
            m_problem = RecordProblem { 0, getFieldPath(name), std::move(message) };
    }

    void addFirstProblem(const std::optional<RecordProblem>& other)
    {
        if (!m_problem)
            m_problem = other;
    }

    std::string getFieldPath(const std::string& name) const
    {
        if (m_path.empty() || name.empty())
            return m_path + name;
        return m_path + "." + name;
    }

    const std::optional<RecordProblem>& getProblem() const { return m_problem; }

private:
    const json::value* find(const char* name, bool isRequired)
    {
        m_knownFields.insert(name);
        auto* value = m_object ? m_object->if_contains(name) : nullptr;
        if (!value && isRequired)
            addProblem(name, "is missing");
        return value;
    }

    std::string m_path;
    const json::object* m_object;
    std::set<std::string, std::less<>> m_knownFields;
    std::optional<RecordProblem> m_problem;
};

}

static bool isAddress(const std::string& text)
{
    auto colon = text.rfind(':');
    return colon != std::string::npos && colon > 0 && colon + 1 < text.size()
        && std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

static MemberRecord readMember(FieldReader& parent, const json::value& value, size_t index)
{
    FieldReader reader(value, fmt::format("members[{}]", index));
    MemberRecord member;
    member.name = reader.getString("name");
    member.address = reader.getString("address");
    member.dataCentre = reader.getString("dataCentre");
    member.canFence = reader.getBool("fence", true);
    member.isLeaving = reader.getBool("leaving", false);
    if (!isAddress(member.address))
        reader.addProblem("address", "must be ip:port");
    reader.rejectUnknownFields();
    parent.addFirstProblem(reader.getProblem());
    return member;
}

static void readPromotion(FieldReader& parent, const json::value& value, PromotionLimits& limits)
{
    FieldReader reader(value, "promotion");
    auto mode = reader.getString("mode", "automatic");
    if (mode != "automatic" && mode != "off")
        reader.addProblem("mode", "must be \"automatic\" or \"off\"");
    limits.mode = mode == "off" ? PromotionMode::Off : PromotionMode::Automatic;
    limits.minInterval = milliseconds(reader.getInteger("leastIntervalMs", 0, kMaxIntervalMs, limits.minInterval.count()));
    limits.maxPerHour = static_cast<unsigned>(reader.getInteger("mostPerHour", 0, 1000, limits.maxPerHour));
    reader.rejectUnknownFields();
    parent.addFirstProblem(reader.getProblem());
}

static void readReadKinds(FieldReader& parent, const json::value& value, std::map<std::string, milliseconds>& kinds)
{
    auto* object = value.if_object();
    if (!object) {
        parent.addProblem("reads", "must be an object");
        return;
    }
    for (auto& it : *object) {
        FieldReader reader(it.value(), "reads." + std::string(it.key()));
        kinds[it.key()] = milliseconds(reader.getInteger("maximumAgeMs", 0, kMaxAgeMs));
        reader.rejectUnknownFields();
        parent.addFirstProblem(reader.getProblem());
    }
}

static void readAcknowledge(FieldReader& reader, GroupRecord& record)
{
    auto text = reader.getString("acknowledge", "replicated");
    if (text != "replicated" && text != "primary")
        reader.addProblem("acknowledge", "must be \"replicated\" or \"primary\"");
    record.acknowledge = text == "primary" ? Acknowledge::Primary : Acknowledge::Replicated;
}

static void readCommonFields(FieldReader& reader, GroupRecord& record)
{
    record.connectionLimit = static_cast<unsigned>(reader.getInteger("connectionLimit", 1, kMaxConnections, record.connectionLimit));
    record.slots = static_cast<unsigned>(reader.getInteger("slots", 1, kMaxSlots, record.slots));
    readAcknowledge(reader, record);
    record.isRetired = reader.getBool("retired", false);
    if (auto* hosts = reader.getArray("hosts", false)) {
        for (auto& it : *hosts) {
            if (it.is_string())
                record.hosts.emplace_back(it.get_string());
            else
                reader.addProblem("hosts", "must contain only strings");
        }
    }
}

static void readSchema2(FieldReader& reader, GroupRecord& record)
{
    if (auto* members = reader.getArray("members", true)) {
        for (size_t i = 0; i < members->size(); ++i)
            record.members.push_back(readMember(reader, (*members)[i], i));
    }
    if (auto* reads = reader.getAny("reads"))
        readReadKinds(reader, *reads, record.readKinds);
    if (auto* promotion = reader.getAny("promotion"))
        readPromotion(reader, *promotion, record.promotion);
}

// Schema 1: members are "name=ip:port@data centre", all reads share one maximum age, and promotion is a flag.
static void readSchema1(FieldReader& reader, GroupRecord& record)
{
    if (auto* members = reader.getArray("members", true)) {
        for (size_t i = 0; i < members->size(); ++i) {
            auto text = (*members)[i].is_string() ? std::string((*members)[i].get_string()) : std::string();
            auto equals = text.find('=');
            auto at = text.rfind('@');
            bool isWellFormed = equals != std::string::npos && at != std::string::npos && equals < at && equals > 0 && at + 1 < text.size();
            MemberRecord member;
            if (isWellFormed) {
                member.name = text.substr(0, equals);
                member.address = text.substr(equals + 1, at - equals - 1);
                member.dataCentre = text.substr(at + 1);
            }
            if (!isAddress(member.address))
                reader.addProblem(fmt::format("members[{}]", i), "must be \"name=ip:port@data centre\"");
            record.members.push_back(std::move(member));
        }
    }
    auto stale = reader.getInteger("staleMs", 0, kMaxAgeMs, -1);
    if (stale >= 0)
        record.readKinds["default"] = milliseconds(stale);
    record.promotion.mode = reader.getBool("promote", true) ? PromotionMode::Automatic : PromotionMode::Off;
}

static void checkMembers(FieldReader& reader, const GroupRecord& record)
{
    if (record.members.empty() || record.members.size() > kMaxMembers)
        reader.addProblem("members", fmt::format("must contain 1 to {} members", kMaxMembers));
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (auto& it : record.members) {
        if (!names.insert(it.name).second)
            reader.addProblem("members", "has two members named " + it.name);
        if (!addresses.insert(it.address).second)
            reader.addProblem("members", "has two members at " + it.address);
    }
}

tl::expected<GroupRecord, RecordProblem> parseGroupRecord(const std::string& name, const std::string& text)
{
    auto value = parseJson(text);
    if (!value)
        return tl::make_unexpected(value.error());
    FieldReader reader(*value, {});
    auto schema = reader.getInteger("schema", 1, INT64_MAX);
    if (reader.getProblem())
        return tl::make_unexpected(*reader.getProblem());
    GroupRecord record;
    record.name = name;
    if (schema == 1)
        readSchema1(reader, record);
    else if (schema == 2)
        readSchema2(reader, record);
    else
        return makeProblem("schema", fmt::format("schema {} is not supported; this host supports 1 and 2", schema));
    readCommonFields(reader, record);
    checkMembers(reader, record);
    reader.rejectUnknownFields();
    if (reader.getProblem())
        return tl::make_unexpected(*reader.getProblem());
    return record;
}

std::string formatEnvelope(const Envelope& envelope)
{
    json::array changes;
    for (auto& it : envelope.changes)
        changes.push_back({ { "id", it.id }, { "by", it.by }, { "atMs", it.atMs }, { "summary", it.summary } });
    return json::serialize(json::object { { "record", envelope.record }, { "changes", std::move(changes) } });
}

tl::expected<Envelope, RecordProblem> parseEnvelope(const std::string& text)
{
    auto value = parseJson(text);
    if (!value)
        return tl::make_unexpected(value.error());
    FieldReader reader(*value, "envelope");
    Envelope envelope;
    envelope.record = reader.getString("record");
    if (auto* changes = reader.getArray("changes", true)) {
        for (auto& it : *changes) {
            FieldReader change(it, "envelope.changes");
            envelope.changes.push_back({ change.getString("id"), change.getString("by"), static_cast<uint64_t>(change.getInteger("atMs", 0, INT64_MAX)), change.getString("summary", "") });
            reader.addFirstProblem(change.getProblem());
        }
    }
    if (reader.getProblem())
        return tl::make_unexpected(*reader.getProblem());
    return envelope;
}

bool updateIfNewer(ValueMap& values, const std::string& key, const VersionedValue& value)
{
    auto& known = values[key];
    if (value.version <= known.version)
        return false;
    known = value;
    return true;
}

uint64_t getDigest(const ValueMap& values)
{
    uint64_t digest = 0;
    for (auto it : getBucketDigests(values))
        digest ^= it;
    return digest;
}

BucketDigests getBucketDigests(const ValueMap& values)
{
    BucketDigests digests {};
    for (auto& [key, value] : values)
        digests[getBucket(key)] ^= getHash(fmt::format("{}\n{}", key, value.version));
    return digests;
}

tl::expected<PlatformHost, RecordProblem> parsePlatformHost(const std::string& name, const std::string& text)
{
    auto value = parseJson(text);
    if (!value)
        return tl::make_unexpected(value.error());
    FieldReader reader(*value, name);
    PlatformHost host;
    host.name = name;
    host.dataCentre = reader.getString("dataCentre", "");
    host.peerAddress = reader.getString("peerAddress", "");
    host.callerAddress = reader.getString("callerAddress", "");
    host.operatorAddress = reader.getString("operatorAddress", "");
    host.isLeaving = reader.getBool("leaving", false);
    if (reader.getProblem())
        return tl::make_unexpected(*reader.getProblem());
    return host;
}

}
