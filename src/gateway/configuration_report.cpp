#include "gateway/configuration_report.h"
#include "base/event_log.h"
#include "base/families.h"
#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace alderward::gateway {

namespace json = boost::json;
using base::LogClass;
using base::MetricFamily;
using base::TimePoint;
using links::ItemUse;

static constexpr size_t kMaxLoggedProblems = 20; // of one version; GET /configuration has all
static constexpr std::array kItemUses { ItemUse::LeftOut, ItemUse::Restricted, ItemUse::Limited };

static int64_t getSeconds(TimePoint since, TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now - since).count();
}

std::string formatConfigurationReport(const std::string& host, const links::GatewayConfiguration& configuration, const std::optional<RefusedConfiguration>& refused, TimePoint now)
{
    json::array problems;
    for (auto& it : configuration.problems)
        problems.push_back(json::object { { "item", it.item }, { "field", it.field }, { "reason", it.reason }, { "use", links::getItemUseName(it.use) } });
    json::object document { { "host", host }, { "configuration", configuration.version }, { "routes", configuration.routes.size() }, { "problems", std::move(problems) } };
    if (refused)
        document["refused"] = json::object { { "reason", refused->reason }, { "revision", refused->revision }, { "seconds", getSeconds(refused->since, now) } };
    return json::serialize(document);
}

void logConfigurationProblems(const links::GatewayConfiguration& configuration)
{
    if (configuration.problems.empty())
        return;
    auto version = static_cast<int64_t>(configuration.version);
    auto logged = std::min(kMaxLoggedProblems, configuration.problems.size());
    base::logEvent(LogClass::State, "configuration-problems", { { "version", version }, { "problems", static_cast<int64_t>(configuration.problems.size()) }, { "logged", static_cast<int64_t>(logged) } });
    for (size_t i = 0; i < logged; ++i) {
        auto& it = configuration.problems[i];
        base::logEvent(LogClass::State, "configuration-problem", { { "version", version }, { "item", std::string_view(it.item) }, { "field", std::string_view(it.field) }, { "reason", std::string_view(it.reason) }, { "use", links::getItemUseName(it.use) } });
    }
}

void logRefusedConfiguration(const RefusedConfiguration& refused, uint64_t versionInForce, TimePoint now)
{
    base::logEvent(LogClass::State, "configuration-refused", { { "reason", std::string_view(refused.reason) }, { "revision", static_cast<int64_t>(refused.revision) }, { "in_force", static_cast<int64_t>(versionInForce) }, { "for_s", getSeconds(refused.since, now) } });
}

void setConfigurationGauges(const links::GatewayConfiguration& configuration, const std::optional<RefusedConfiguration>& refused, TimePoint now)
{
    base::setGauge(MetricFamily::ConfigurationVersion, {}, static_cast<double>(configuration.version));
    base::setGauge(MetricFamily::ConfigurationRefused, {}, refused ? std::max(1.0, static_cast<double>(getSeconds(refused->since, now))) : 0);
    for (auto use : kItemUses) {
        auto n = std::ranges::count(configuration.problems, use, &links::ConfigurationProblem::use);
        base::setGauge(MetricFamily::ConfigurationProblems, { { "use", links::getItemUseName(use) } }, static_cast<double>(n));
    }
}

}
