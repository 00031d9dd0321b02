#include "base/settings.h"
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <optional>
#include <sstream>
#include <variant>

namespace alderward::base {

namespace {

// Location, type and bounds of a setting. Numbers have a range; text has a minimum length and is required if that is above 0.
template <typename S>
struct SettingDefinition {
    const char* section;
    const char* key;
    std::variant<std::string S::*, int S::*, bool S::*, double S::*> field;
    int min;
    int max;
    const char* unit;
    const char* meaning;
};

using Setting = SettingDefinition<Settings>;
using GatewaySetting = SettingDefinition<GatewaySettings>;

constexpr int kNoMax = 1000; // for text, whose length has no upper bound

const std::vector<Setting>& getSettings()
{
    static const std::vector<Setting> table {
        { "host", "name", &Settings::name, 1, kNoMax, "text", "unique name of this host" },
        { "host", "data_centre", &Settings::dataCentre, 1, kNoMax, "text", "data centre of this host, as in the records" },
        { "host", "caller_address", &Settings::callerAddress, 3, kNoMax, "ip:port", "where callers connect" },
        { "host", "peer_address", &Settings::peerAddress, 3, kNoMax, "ip:port", "where other hosts connect (gRPC)" },
        { "host", "operator_address", &Settings::operatorAddress, 3, kNoMax, "ip:port", "where operators connect: /healthz, /status, /metrics, /timeline" },
        { "host", "threads", &Settings::threads, 1, 64, "count", "request threads" },
        { "platform", "address", &Settings::platformAddress, 3, kNoMax, "ip:port", "the platform's key-value service" },
        { "platform", "watch_wait_ms", &Settings::watchWaitMs, 100, 60000, "ms", "longest wait of one watch call" },
        { "platform", "watchers", &Settings::watchers, 1, 10, "count", "hosts per data centre that hold a watch" },
        { "session", "key", &Settings::sessionKey, 16, kNoMax, "text", "key that signs session tokens, the same on every host" },
        { "limits", "body_limit_kb", &Settings::bodyLimitKb, 1, 16384, "KiB", "largest request body" },
        { "limits", "request_timeout_ms", &Settings::requestTimeoutMs, 100, 60000, "ms", "from a request's first byte to its last" },
        { "limits", "deadline_most_ms", &Settings::maxDeadlineMs, 100, 600000, "ms", "upper bound of deadlineMs" },
        { "limits", "deadline_default_ms", &Settings::defaultDeadlineMs, 10, 600000, "ms", "deadline of requests that name none" },
        { "limits", "held_writes", &Settings::maxHeldWrites, 0, 100000, "count", "writes of one group held while its primary is replaced" },
        { "limits", "queue_limit", &Settings::queueLimit, 1, 1000000, "count", "statements of one group queued for a connection" },
        { "limits", "transaction_idle_ms", &Settings::transactionIdleMs, 100, 600000, "ms", "then an idle transaction is rolled back" },
        { "health", "probe_interval_ms", &Settings::probeIntervalMs, 10, 10000, "ms", "between two status questions to a member" },
        { "health", "probe_timeout_ms", &Settings::probeTimeoutMs, 10, 10000, "ms", "then a status question has failed" },
        { "peers", "exchange_interval_ms", &Settings::exchangeIntervalMs, 50, 60000, "ms", "between two rounds of exchange" },
        { "peers", "partners", &Settings::partnersPerExchange, 1, 10, "count", "partners in one round of exchange" },
        { "peers", "homes_most", &Settings::maxHomes, 1, 1000, "count", "homes of a group, the same on every host; a data centre with a member has one in any case" },
        { "stop", "drain_limit_ms", &Settings::drainLimitMs, 0, 600000, "ms", "a stop that takes longer reports what it cuts" },
        { "stop", "drain_notice_ms", &Settings::drainNoticeMs, 0, 60000, "ms", "between the balancer's check turning and the closing of the listening socket" },
        { "debug", "allow_faults", &Settings::allowFaults, 0, 1, "true/false", "test aid: the operators' address takes /debug/cut" },
        { "debug", "trace_events", &Settings::traceEvents, 0, 1000000, "count", "events of each group kept for /debug/trace, from the host's becoming a home on; about 0.3 KB each" },
    };
    return table;
}

const std::vector<GatewaySetting>& getGatewaySettings()
{
    using S = GatewaySettings;
    static const std::vector<GatewaySetting> table {
        { "gateway", "name", &S::name, 1, kNoMax, "text", "unique name of this host" },
        { "gateway", "data_centre", &S::dataCentre, 1, kNoMax, "text", "data centre of this host" },
        { "gateway", "caller_address", &S::callerAddress, 3, kNoMax, "ip:port", "where callers connect" },
        { "gateway", "peer_address", &S::peerAddress, 3, kNoMax, "ip:port", "where other hosts connect" },
        { "gateway", "ready_address", &S::readyAddress, 3, kNoMax, "ip:port", "where the balancer asks whether this host is ready" },
        { "gateway", "metrics_address", &S::metricsAddress, 0, kNoMax, "ip:port", "where /metrics is served; empty: nowhere" },
        { "gateway", "seeds", &S::seeds, 0, 10000, "ip:port,...", "peer addresses of some hosts, asked for news while the store is away; may be out of date" },
        { "platform", "store_address", &S::storeAddress, 3, kNoMax, "ip:port", "the platform's store" },
        { "platform", "orders_address", &S::ordersAddress, 3, kNoMax, "ip:port", "where promotions are ordered" },
        { "platform", "call_limit_ms", &S::storeCallTimeoutMs, 100, 60000, "ms", "a call to the store without an answer has failed after this" },
        { "platform", "watch_wait_ms", &S::watchWaitMs, 100, 30000, "ms", "longest wait of one watch; a silent connection is noticed after about this" },
        { "platform", "long_watch_wait_ms", &S::longWatchWaitMs, 100, 30000, "ms", "the same on hosts that hear of changes from others; those that do are told when theirs is silent" },
        { "platform", "lease_ms", &S::leaseMs, 1000, 600000, "ms", "after this long without a renewal the store drops this host's entry" },
        { "platform", "member_drain_ms", &S::memberDrainMs, 500, 600000, "ms", "a member gets no new operation this long after it said that it leaves" },
        { "accounts", "quota_window_s", &S::quotaWindowSeconds, 1, 600, "s", "quotas of client accounts hold for any window of this length" },
        { "accounts", "quota_over", &S::quotaOverrunShare, 0, 10, "share", "of an account's quota that may pass besides" },
        { "accounts", "quota_slack", &S::quotaSlackOperations, 0, 1000000, "count", "operations of an account that may pass besides, in a window" },
        { "stop", "grace_ms", &S::stopGraceMs, 500, 600000, "ms", "from the signal to stop to the forced end" },
        { "log", "lines_per_second", &S::logLinesPerSecond, 1, 100000, "count", "request lines a second; changes of state have as many for themselves" },
        { "log", "buffer_kb", &S::logBufferKb, 16, 65536, "KiB", "lines that wait for the reader of standard output" },
    };
    return table;
}

// Returns the line number of `key` in [section], or of the section header if `key` is empty; 0 if not found.
size_t findLineNumber(const std::string& text, const std::string& section, const std::string& key)
{
    std::istringstream lines(text);
    std::string current;
    size_t number = 0;
    for (std::string it; std::getline(lines, it);) {
        ++number;
        auto first = it.find_first_not_of(" \t");
        if (first == std::string::npos)
            continue;
        if (it[first] == '[') {
            current = it.substr(first + 1, it.find(']') - first - 1);
            if (key.empty() && current == section)
                return number;
            continue;
        }
        auto last = it.find_last_not_of(" \t", it.find('=') - 1);
        if (current == section && it.substr(first, last - first + 1) == key)
            return number;
    }
    return 0;
}

// `T` is int or double; `what` describes it in the error message.
template <typename S, typename T>
std::optional<std::string> readNumber(const SettingDefinition<S>& row, const std::string& text, std::string_view what, T& value)
{
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    bool isFullyParsed = ec == std::errc() && end == text.data() + text.size();
    if (!isFullyParsed || value < row.min || value > row.max)
        return fmt::format("[{}] {} must be {} from {} to {} ({})", row.section, row.key, what, row.min, row.max, row.unit);
    return std::nullopt;
}

// Sets one field from its text. Returns an error message if the text is invalid.
template <typename S>
std::optional<std::string> setField(S& settings, const SettingDefinition<S>& row, const std::string& text)
{
    if (auto* field = std::get_if<int S::*>(&row.field))
        return readNumber(row, text, "a whole number", settings.*(*field));
    if (auto* field = std::get_if<double S::*>(&row.field))
        return readNumber(row, text, "a number", settings.*(*field));
    if (auto* field = std::get_if<bool S::*>(&row.field)) {
        settings.*(*field) = text == "true";
        if (text != "true" && text != "false")
            return fmt::format("[{}] {} must be true or false", row.section, row.key);
        return std::nullopt;
    }
    settings.*std::get<std::string S::*>(row.field) = text;
    if (text.size() < static_cast<size_t>(row.min))
        return fmt::format("[{}] {} must have at least {} characters", row.section, row.key, row.min);
    return std::nullopt;
}

template <typename S>
const SettingDefinition<S>* findSetting(const std::vector<SettingDefinition<S>>& table, const std::string& section, const std::string& key)
{
    for (auto& it : table) {
        if (section == it.section && key == it.key)
            return &it;
    }
    return nullptr;
}

template <typename S>
std::string formatDefault(const SettingDefinition<S>& row)
{
    static const S defaults;
    if (auto* field = std::get_if<int S::*>(&row.field))
        return std::to_string(defaults.*(*field));
    if (auto* field = std::get_if<double S::*>(&row.field))
        return fmt::format("{}", defaults.*(*field));
    if (auto* field = std::get_if<bool S::*>(&row.field))
        return defaults.*(*field) ? "true" : "false";
    return row.min > 0 ? "required" : "empty";
}

}

template <typename S>
static std::vector<SettingRow> makeRows(const std::vector<SettingDefinition<S>>& table)
{
    std::vector<SettingRow> rows;
    for (auto& it : table) {
        bool isNumber = std::holds_alternative<int S::*>(it.field) || std::holds_alternative<double S::*>(it.field);
        rows.push_back({ it.section, it.key, it.unit, formatDefault(it), isNumber ? fmt::format("{}..{}", it.min, it.max) : "", it.meaning });
    }
    return rows;
}

std::vector<SettingRow> getSettingTable()
{
    return makeRows(getSettings());
}

std::vector<SettingRow> getGatewaySettingTable()
{
    return makeRows(getGatewaySettings());
}

template <typename S>
static tl::expected<S, std::string> parseTable(const std::vector<SettingDefinition<S>>& table, const std::string& text, const std::string& path)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        return tl::make_unexpected(fmt::format("{}:{}: {}", path, error.line(), error.message()));
    }
    S settings;
    std::vector<std::string> presentSettings;
    for (auto& [section, keys] : tree) {
        if (keys.empty() && !keys.data().empty())
            return tl::make_unexpected(fmt::format("{}:{}: '{}' is outside any section", path, findLineNumber(text, "", section), section));
        for (auto& [key, value] : keys) {
            auto* row = findSetting(table, section, key);
            auto line = findLineNumber(text, section, key);
            if (!row)
                return tl::make_unexpected(fmt::format("{}:{}: [{}] {} is not a setting", path, line, section, key));
            if (auto problem = setField(settings, *row, value.data()))
                return tl::make_unexpected(fmt::format("{}:{}: {}", path, line, *problem));
            presentSettings.push_back(section + "." + key);
        }
    }
    for (auto& it : table) {
        bool isRequired = it.min > 0 && std::holds_alternative<std::string S::*>(it.field);
        auto name = std::string(it.section) + "." + it.key;
        if (isRequired && std::find(presentSettings.begin(), presentSettings.end(), name) == presentSettings.end())
            return tl::make_unexpected(fmt::format("{}:{}: [{}] {} is missing", path, std::max<size_t>(1, findLineNumber(text, it.section, "")), it.section, it.key));
    }
    return settings;
}

tl::expected<Settings, std::string> parseSettings(const std::string& text, const std::string& path)
{
    return parseTable(getSettings(), text, path);
}

tl::expected<GatewaySettings, std::string> parseGatewaySettings(const std::string& text, const std::string& path)
{
    return parseTable(getGatewaySettings(), text, path);
}

tl::expected<std::string, std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::make_unexpected(path + ":0: cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool hasGatewaySection(const std::string& text)
{
    return findLineNumber(text, "gateway", "") != 0;
}

tl::expected<Settings, std::string> readSettings(const std::string& path)
{
    auto text = readFile(path);
    if (!text)
        return tl::make_unexpected(text.error());
    return parseSettings(*text, path);
}

}
