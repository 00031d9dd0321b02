#include "gateway/world.h"
#include <algorithm>

namespace alderward::gateway {

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

void takeHost(World& world, const links::ListedHost& host)
{
    world.hosts[host.name] = host;
    world.ranked.clear();
}

void dropHost(World& world, const std::string& name)
{
    world.hosts.erase(name);
    world.ranked.clear();
}

static const std::vector<std::string>& getRanked(World& world, const std::string& key, const std::string& dataCentre)
{
    auto [it, isNew] = world.ranked.try_emplace(key);
    if (isNew) {
        std::vector<decisions::CarrierHost> hosts;
        for (auto& [name, host] : world.hosts)
            hosts.push_back({ name, host.dataCentre });
        it->second = decisions::rankCarriers(key, dataCentre, hosts);
    }
    return it->second;
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
        world.ranked.erase(listed.id);
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
        world.ranked.erase(id);
    }
    return forgotten;
}

}
