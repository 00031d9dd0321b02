#include "gateway/world.h"
#include "decisions/placement.h"
#include <algorithm>

namespace alderward::gateway {

bool isFarBehind(const GroupBelief& group, const MemberBelief& member, TimePoint now)
{
    auto floor = decisions::getFloor(group.floors, decisions::kFarBehind, now);
    auto position = decisions::estimatePosition(member.progress, now);
    return group.lead.member != member.listed.id && floor && position.term != 0 && position < *floor;
}

void denyLead(GroupBelief& group, const std::string& member, TimePoint now)
{
    bool isPending = group.lead.member == member && !group.lead.isProven && now < group.pendingUntil;
    if (!isPending)
        group.lead = decisions::takeDenial(group.lead, member);
}

void takeOrderedLead(GroupBelief& group, const std::string& member, uint64_t term, TimePoint now)
{
    auto lead = decisions::takeWord(group.lead, member, term);
    if (lead == group.lead)
        return;
    group.lead = lead;
    group.pendingUntil = now + kPromotionTakes;
}

// The order of decisions::rankCarriers().
static void insertHost(const World& world, const std::string& key, Ranking& ranking, const std::string& host)
{
    auto rank = [&](const std::string& name) { return std::tuple(world.hosts.at(name).dataCentre == ranking.dataCentre, decisions::getHostWeight(key, name), name); };
    auto own = rank(host);
    auto place = std::ranges::partition_point(ranking.hosts, [&](const std::string& it) { return rank(it) > own; });
    ranking.hosts.insert(place, host);
}

void takeHost(World& world, const links::ListedHost& host)
{
    auto known = world.hosts.find(host.name);
    bool isMoved = known != world.hosts.end() && known->second.dataCentre != host.dataCentre;
    if (isMoved)
        dropHost(world, host.name);
    bool isNew = known == world.hosts.end() || isMoved;
    world.hosts[host.name] = host;
    // Put into each ranking at its place: ranking all hosts anew for all members takes longer than hosts take to come.
    for (auto& [key, ranking] : world.rankings) {
        if (isNew)
            insertHost(world, key, ranking, host.name);
    }
}

void dropHost(World& world, const std::string& name)
{
    world.hosts.erase(name);
    for (auto& [key, ranking] : world.rankings)
        std::erase(ranking.hosts, name);
}

static const std::vector<std::string>& getRanked(World& world, const std::string& key, const std::string& dataCentre)
{
    auto [it, isNew] = world.rankings.try_emplace(key, Ranking { dataCentre });
    if (isNew) {
        std::vector<decisions::CarrierHost> hosts;
        for (auto& [name, host] : world.hosts)
            hosts.push_back({ name, host.dataCentre });
        it->second.hosts = decisions::rankCarriers(key, dataCentre, hosts);
    }
    return it->second.hosts;
}

const std::vector<std::string>& getCarriers(World& world, const MemberBelief& member)
{
    return getRanked(world, member.listed.id, member.listed.dataCentre);
}

const std::vector<std::string>& getRankedHosts(World& world, const std::string& group)
{
    return getRanked(world, group, "");
}

void takeMember(World& world, const links::ListedMember& listed)
{
    auto& member = world.members[listed.id];
    if (member.listed.dataCentre != listed.dataCentre)
        world.rankings.erase(listed.id);
    member.listed = listed;
    member.unlistedAt.reset();
    auto& group = world.groups[listed.group];
    if (std::ranges::find(group.members, listed.id) == group.members.end())
        group.members.push_back(listed.id);
    if (listed.saysPrimary)
        group.lead = decisions::takeListing(group.lead, listed.id);
}

void takeMemberGone(World& world, const std::string& id, TimePoint now)
{
    auto it = world.members.find(id);
    if (it != world.members.end() && !it->second.unlistedAt)
        it->second.unlistedAt = now;
}

std::vector<std::string> forgetMembers(World& world, milliseconds keep, TimePoint now)
{
    std::vector<std::string> forgotten;
    for (auto& [id, member] : world.members) {
        if (member.unlistedAt && now - *member.unlistedAt > keep)
            forgotten.push_back(id);
    }
    for (auto& id : forgotten) {
        auto& group = world.groups[world.members[id].listed.group];
        std::erase(group.members, id);
        group.lead = decisions::takeDenial(group.lead, id);
        world.members.erase(id);
        world.rankings.erase(id);
    }
    return forgotten;
}

}
