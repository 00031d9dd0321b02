// What a host has in force of the operators' configuration, and what it could not use: log lines, gauges, and the JSON document at GET /configuration of the
// metrics address, which `alderctl configuration` shows for all hosts. No API keys.
#pragma once
#include "links/directory.h"
#include <optional>
#include <string>

namespace alderward::gateway {

// The newest configuration in the store, if this host cannot read it as a whole. The version before it stays in force.
struct RefusedConfiguration {
    std::string reason {};
    uint64_t revision { 0 }; // of the store
    base::TimePoint since {};
};

std::string formatConfigurationReport(const std::string& host, const links::GatewayConfiguration& configuration, const std::optional<RefusedConfiguration>& refused, base::TimePoint now);
// Logs the items that are not in force as written, up to a limit, and how many there are.
void logConfigurationProblems(const links::GatewayConfiguration& configuration);
void logRefusedConfiguration(const RefusedConfiguration& refused, uint64_t versionInForce, base::TimePoint now);
void setConfigurationGauges(const links::GatewayConfiguration& configuration, const std::optional<RefusedConfiguration>& refused, base::TimePoint now);

}
