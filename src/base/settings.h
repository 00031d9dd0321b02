// Settings of one process, read from an INI file and validated. docs/OPERATIONS.md lists each with unit, default and bounds;
// a unit test compares that page with the table in settings.cpp.
#pragma once
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace alderward::base {

struct Settings {
    // [host]
    std::string name {}; // required; unique among all hosts
    std::string dataCentre {}; // required; matches the data centres of members in group records
    std::string callerAddress {}; // required; ip:port for callers
    std::string peerAddress {}; // required; ip:port for other hosts
    std::string operatorAddress {}; // required; ip:port for operators, separate from the callers' address
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
    int defaultDeadlineMs { 5000 }; // ms; deadline of requests without deadlineMs
    int maxHeldWrites { 500 }; // writes per group that are held during a failover
    int queueLimit { 2000 }; // statements per group that may wait for a connection
    int transactionIdleMs { 10000 }; // ms; a transaction idle for longer is rolled back
    // [health]
    int probeIntervalMs { 100 }; // ms; between two status probes of a member
    int probeTimeoutMs { 300 }; // ms; timeout of a status probe
    // [peers]
    int exchangeIntervalMs { 500 }; // ms; between two rounds of state exchange with other hosts
    int partnersPerExchange { 1 }; // hosts to exchange with in one round
    int maxHomes { 3 }; // homes per group; raised to one for each data centre with a member
    // [stop]
    int drainLimitMs { 30000 }; // ms; requests still in flight after this are cut off and reported
    int drainNoticeMs { 500 }; // ms; from failing the load balancer's health check to closing the listening socket
    // [debug]
    bool allowFaults { false }; // test aid: enables /debug/cut on the operators' address
    int traceEvents { 0 }; // events recorded per group for /debug/trace, from when the host becomes a home of it; 0: none
};

// Settings of a host that serves connection-based sessions (src/gateway); used for files that have a section [gateway].
struct GatewaySettings {
    // [gateway]
    std::string name {}; // required; unique among all hosts
    std::string dataCentre {}; // required
    std::string callerAddress {}; // required; ip:port
    std::string peerAddress {}; // required; ip:port
    std::string readyAddress {}; // required; ip:port
    std::string metricsAddress {}; // ip:port; empty: metrics are not served
    std::string seeds {}; // ip:port,...; peer addresses to try while the store is unreachable
    // [platform]
    std::string storeAddress {}; // required; ip:port
    std::string ordersAddress {}; // required; ip:port
    int storeCallTimeoutMs { 1000 }; // ms; timeout of a store call
    int watchWaitMs { 2800 }; // ms; longest wait of one watch call; also bounds how long a dead connection goes unnoticed
    int longWatchWaitMs { 25000 }; // ms; the same on hosts that receive changes from other hosts; the platform's limit is 30 s
    int leaseMs { 15000 }; // ms; lease of this host's store entry, renewed three times within this
    int memberDrainMs { 7000 }; // ms; a member gets no new operations this long after announcing that it leaves
    // [accounts]
    double quotaWindowSeconds { 5 }; // s; quotas are enforced over any window of this length
    double quotaOverrunShare { 0.1 }; // share of a quota that may be exceeded
    double quotaSlackOperations { 20 }; // operations per account and window that may be exceeded in addition
    // [stop]
    int stopGraceMs { 6000 }; // ms; from the stop signal to the forced end
    // [log]
    int logLinesPerSecond { 50 };
    int logBufferKb { 256 };
    friend bool operator==(const GatewaySettings&, const GatewaySettings&) = default;
};

// Documentation of one setting.
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

// Reads and validates a file. The error names file and line: "/etc/alderward.ini:7: [health] probe_interval_ms must be from 10 to 10000".
tl::expected<Settings, std::string> readSettings(const std::string& path);
// Parses and validates `text`; `path` is used in errors only.
tl::expected<Settings, std::string> parseSettings(const std::string& text, const std::string& path);

// Whether a settings file is for a host of src/gateway.
bool hasGatewaySection(const std::string& text);
// Returns the content, or an error that names the path.
tl::expected<std::string, std::string> readFile(const std::string& path);
tl::expected<GatewaySettings, std::string> parseGatewaySettings(const std::string& text, const std::string& path);

}
