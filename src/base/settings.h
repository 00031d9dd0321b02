// Settings of one process, read from an INI file and checked. docs/OPERATIONS.md lists each with unit, default and bounds;
// a unit test holds that page to the table in settings.cpp.
#pragma once
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace alderward::base {

struct Settings {
    // [host]
    std::string name {}; // required; unique among all hosts
    std::string dataCentre {}; // required; as in the records' members
    std::string callerAddress {}; // required; ip:port for callers
    std::string peerAddress {}; // required; ip:port for other hosts
    std::string operatorAddress {}; // required; ip:port for operators, apart from the callers'
    int threads { 4 }; // request threads
    // [platform]
    std::string platformAddress {}; // required; ip:port of the platform's key-value service
    int watchWaitMs { 1500 }; // ms; longest wait of one watch call
    int watchers { 2 }; // hosts per data centre that hold a watch
    // [session]
    std::string sessionKey {}; // required; at least 16 characters, the same on every host
    // [limits]
    int bodyLimitKb { 256 }; // KiB; a larger request body is refused
    int requestTimeoutMs { 5000 }; // ms; from a request's first byte to its last
    int maxDeadlineMs { 60000 }; // ms; upper bound of deadlineMs
    int defaultDeadlineMs { 5000 }; // ms; for requests that name none
    int maxHeldWrites { 500 }; // writes of one group held while a primary is replaced
    int queueLimit { 2000 }; // statements of one group queued for a connection
    int transactionIdleMs { 10000 }; // ms; then an idle transaction is rolled back
    // [health]
    int probeIntervalMs { 100 }; // ms; between two status questions to a member
    int probeTimeoutMs { 300 }; // ms; then a status question has failed
    // [peers]
    int exchangeIntervalMs { 500 }; // ms; between two exchanges with one partner
    int partnersPerExchange { 1 }; // partners per exchange interval
    int maxHomes { 3 }; // homes of a group, or one for each data centre with a member if that is more
    // [stop]
    int drainLimitMs { 30000 }; // ms; a stop that is not done by then reports what it cuts
    int drainNoticeMs { 500 }; // ms; between the balancer's check turning and the closing of the listening socket
    // [debug]
    bool allowFaults { false }; // test aid: operators' address takes /debug/cut
    int traceEvents { 0 }; // events of each group kept for /debug/trace, from the host's becoming a home on; 0: none
};

// Settings of a host that serves sessions on connections (src/gateway). A file that has a section [gateway] is read as these.
struct GatewaySettings {
    // [gateway]
    std::string name {}; // required; unique among all hosts
    std::string dataCentre {}; // required
    std::string callerAddress {}; // required; ip:port
    std::string peerAddress {}; // required; ip:port
    std::string readyAddress {}; // required; ip:port
    std::string metricsAddress {}; // ip:port; empty: no metrics are served
    std::string seeds {}; // ip:port,...; peer addresses of some hosts
    // [platform]
    std::string storeAddress {}; // required; ip:port
    std::string ordersAddress {}; // required; ip:port
    int storeCallTimeoutMs { 1000 }; // ms; the store answers in a few ms; one that is slow may need some hundred
    int watchWaitMs { 2800 }; // ms; a watch on a silent connection is found out within this and a second
    int longWatchWaitMs { 25000 }; // ms; below what the platform allows (30 s)
    int leaseMs { 15000 }; // ms; renewed three times within it: a tenth of a call each, of every host; who is alive is presentSettings by asking, not by the entry
    int memberDrainMs { 7000 }; // ms; a member gets no new operation this long after it said that it leaves
    // [accounts]
    double quotaWindowSeconds { 5 }; // s; quotas hold for any window of this length
    double quotaOverrunShare { 0.1 }; // share of a quota that may pass besides
    double quotaSlackOperations { 20 }; // operations of an account that may pass besides
    // [stop]
    int stopGraceMs { 6000 }; // ms
    // [log]
    int logLinesPerSecond { 50 }; // lines
    int logBufferKb { 256 }; // KiB
    friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

// One row of the table of settings.
struct SettingRow {
    std::string section;
    std::string key;
    std::string unit; // "ms", "s", "KiB", "count", "share", "text", "true/false"
    std::string defaultValue; // "required" or the default
    std::string bounds; // "1..100", or "" for text
    std::string meaning;
};

std::vector<SettingRow> getSettingTable();
std::vector<SettingRow> getGatewaySettingTable();

// Reads a file. The error names file and line: "/etc/alderward.ini:7: [health] probe_interval_ms must be from 10 to 10000".
tl::expected<Settings, std::string> readSettings(const std::string& path);
// The same for text, with `path` for messages.
tl::expected<Settings, std::string> parseSettings(const std::string& text, const std::string& path);

// A host's file says by its sections what it is.
bool hasGatewaySection(const std::string& text);
tl::expected<std::string, std::string> readFile(const std::string& path);
tl::expected<GatewaySettings, std::string> parseGatewaySettings(const std::string& text, const std::string& path);

}
