#include "gateway/account_report.h"
#include <boost/json.hpp>

namespace alderward::gateway {

namespace json = boost::json;

static json::object formatCounts(const AccountCounts& counts)
{
    json::array refused;
    for (auto& [key, count] : counts.refused)
        refused.push_back(json::object { { "reason", key.first }, { "priority", key.second }, { "count", count } });
    return { { "asked", counts.asked }, { "begun", counts.begun }, { "granted", counts.granted }, { "ownBucket", counts.ownBucket }, { "returned", counts.returned }, { "refused", std::move(refused) } };
}

static json::object formatBucket(const AccountBucket& bucket)
{
    auto& status = bucket.status;
    json::object asked;
    for (auto& [priority, perSecond] : status.askedPerSecond)
        asked[std::to_string(priority)] = perSecond;
    return { { "level", status.level }, { "capacity", status.capacity }, { "pace", status.pace }, { "strict", status.isStrict }, { "contended", status.isContended },
        { "askedPerSecond", std::move(asked) }, { "reportingHosts", bucket.reportingHosts }, { "reportAgeMs", bucket.reportAge.count() } };
}

std::string formatAccountReports(const std::string& host, uint64_t configurationVersion, const AccountReports& reports)
{
    json::object accounts;
    for (auto& [name, report] : reports) {
        json::object account { { "counts", formatCounts(report.counts) } };
        json::object pools;
        for (auto& [member, use] : report.pools)
            pools[member] = json::object { { "connections", use.connections }, { "waiting", use.waiting }, { "running", use.running } };
        account["pools"] = std::move(pools);
        if (report.bucket)
            account["quotaServer"] = formatBucket(*report.bucket);
        accounts[name] = std::move(account);
    }
    return json::serialize(json::object { { "host", host }, { "configuration", configurationVersion }, { "accounts", std::move(accounts) } });
}

}
