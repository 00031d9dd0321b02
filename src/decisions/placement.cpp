#include "decisions/placement.h"
#include "decisions/hashing.h"
#include <algorithm>
#include <map>
#include <set>

namespace alderward::decisions {

static std::set<std::string> getMemberDataCentres(const GroupRecord& record)
{
    std::set<std::string> found;
    for (auto& it : record.members)
        found.insert(it.dataCentre);
    return found;
}

unsigned getHomeCount(const GroupRecord& record, unsigned maxHomes)
{
    if (maxHomes > record.connectionLimit)
        return maxHomes;
    auto useful = std::max(std::min(kMinHomes, record.connectionLimit), record.connectionLimit / kMinConnectionsPerHome);
    auto limit = std::max(maxHomes, static_cast<unsigned>(getMemberDataCentres(record).size()));
    return std::min(useful, limit);
}

uint64_t getHostWeight(const std::string& key, const std::string& host)
{
    return getHash(host, getHash(key));
}

std::vector<std::string> rankHosts(const std::string& key, const std::vector<std::string>& hosts)
{
    std::vector<std::pair<uint64_t, std::string>> ranked;
    for (auto& it : hosts)
        ranked.emplace_back(getHostWeight(key, it), it);
    std::ranges::sort(ranked, std::greater {});
    std::vector<std::string> names;
    for (auto& it : ranked)
        names.push_back(std::move(it.second));
    return names;
}

std::vector<PlacedHost> selectServingHosts(const GroupRecord& record, const std::vector<PlacedHost>& live)
{
    if (record.hosts.empty())
        return live;
    std::vector<PlacedHost> serving;
    for (auto& name : record.hosts) {
        auto it = std::ranges::lower_bound(live, name, {}, &PlacedHost::name);
        if (it != live.end() && it->name == name)
            serving.push_back(*it);
    }
    return serving;
}

// Each round takes one host of every data centre that has a member; the remaining hosts follow.
std::vector<std::string> chooseHomes(const GroupRecord& record, const std::vector<PlacedHost>& live, unsigned maxHomes)
{
    auto wanted = getHomeCount(record, maxHomes);
    std::vector<std::string> names;
    std::map<std::string, std::string> dataCentres;
    for (auto& it : selectServingHosts(record, live)) {
        names.push_back(it.name);
        dataCentres[it.name] = it.dataCentre;
    }
    auto ranked = rankHosts(record.name, names);
    auto memberDataCentres = getMemberDataCentres(record);
    std::vector<std::string> homes;
    while (homes.size() < wanted && !ranked.empty()) {
        std::set<std::string> taken;
        std::vector<std::string> rest;
        for (auto& it : ranked) {
            auto& dataCentre = dataCentres[it];
            bool isFirst = memberDataCentres.contains(dataCentre) && taken.insert(dataCentre).second;
            if (isFirst && homes.size() < wanted)
                homes.push_back(it);
            else
                rest.push_back(it);
        }
        if (rest.size() == ranked.size()) {
            homes.push_back(rest.front());
            rest.erase(rest.begin());
        }
        ranked = std::move(rest);
    }
    return homes;
}

HomeShare getHomeShare(const GroupRecord& record, size_t homes)
{
    auto n = static_cast<unsigned>(std::max<size_t>(1, homes));
    return { std::max(1U, record.connectionLimit / n), record.slots };
}

}
