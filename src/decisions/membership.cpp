#include "decisions/membership.h"
#include "decisions/hashing.h"
#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace alderward::decisions {

static constexpr unsigned kRetransmitMultiplier = 3; // transmissions of an update, in multiples of the logarithm of the number of hosts

std::string_view getHostStateName(HostState state)
{
    switch (state) {
    case HostState::Alive:
        return "alive";
    case HostState::Suspect:
        return "suspect";
    case HostState::Leaving:
        return "leaving";
    default:
        return "dead";
    }
}

static unsigned getTransmissionLimit(const Membership& membership)
{
    return kRetransmitMultiplier * static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(membership.hosts.size()) + 2)));
}

// Contribution of one host to the digest, which is updated incrementally to keep the cost independent of the number of hosts.
static uint64_t getDigestContribution(const HostInfo& info)
{
    bool isCounted = !info.name.empty() && info.state != HostState::Dead;
    return isCounted ? getHash(fmt::format("{}\n{}\n{}", info.name, info.incarnation, static_cast<int>(info.state))) : 0;
}

static void setHostInfo(Membership& membership, const HostInfo& info, TimePoint now)
{
    auto& known = membership.hosts[info.name];
    membership.digest ^= getDigestContribution(known.info) ^ getDigestContribution(info);
    known.info = info;
    known.changedAt = now;
    known.remainingTransmissions = getTransmissionLimit(membership);
}

Membership makeMembership(const HostInfo& self, TimePoint now)
{
    Membership membership;
    membership.self = self.name;
    setHostInfo(membership, self, now);
    return membership;
}

void setSelfInfo(Membership& membership, const HostInfo& info, TimePoint now)
{
    setHostInfo(membership, info, now);
}

static bool supersedes(const HostInfo& info, const HostInfo& known)
{
    return std::pair(info.incarnation, info.state) > std::pair(known.incarnation, known.state);
}

// Refutes any update about this host that supersedes its own info, by a higher incarnation. A host that was frozen may find
// itself declared dead. Its own state, such as leaving, stays.
static bool refuteSuspicion(Membership& membership, const HostInfo& info, TimePoint now)
{
    auto self = membership.hosts[membership.self].info;
    if (!supersedes(info, self))
        return false;
    self.incarnation = info.incarnation + 1;
    setHostInfo(membership, self, now);
    return true;
}

std::vector<std::string> applyHostUpdates(Membership& membership, const std::vector<HostInfo>& updates, TimePoint now)
{
    std::vector<std::string> changed;
    for (auto& it : updates) {
        if (it.name == membership.self) {
            if (refuteSuspicion(membership, it, now))
                changed.push_back(it.name);
            continue;
        }
        auto known = membership.hosts.find(it.name);
        bool isUnknown = known == membership.hosts.end();
        if (isUnknown && it.state == HostState::Dead)
            continue;
        if (!isUnknown && !supersedes(it, known->second.info))
            continue;
        bool hasChanged = isUnknown || known->second.info.state != it.state || known->second.info.incarnation != it.incarnation;
        setHostInfo(membership, it, now);
        if (hasChanged)
            changed.push_back(it.name);
    }
    return changed;
}

void applyPlatformList(Membership& membership, const std::vector<PlatformHost>& hosts, TimePoint now)
{
    membership.platformListed.clear();
    for (auto& it : hosts)
        membership.platformListed.insert(it.name);
    for (auto& it : hosts) {
        if (it.peerAddress.empty() || it.name == membership.self || membership.hosts.contains(it.name))
            continue;
        setHostInfo(membership, { it.name, 0, HostState::Alive, it.dataCentre, it.peerAddress, it.callerAddress, it.operatorAddress }, now);
    }
}

bool suspectHost(Membership& membership, const std::string& name, size_t witnesses, size_t asked, TimePoint now)
{
    auto it = membership.hosts.find(name);
    if (it == membership.hosts.end() || it->second.info.state != HostState::Alive)
        return false;
    if (asked > 0 && witnesses == 0)
        return false;
    auto info = it->second.info;
    info.state = HostState::Suspect;
    setHostInfo(membership, info, now);
    return true;
}

std::vector<std::string> expireHosts(Membership& membership, const MembershipTimings& timings, TimePoint now)
{
    std::vector<std::string> changed;
    std::vector<std::string> forgotten;
    for (auto& [name, known] : membership.hosts) {
        if (name == membership.self)
            continue;
        auto age = now - known.changedAt;
        bool isGone = known.info.state == HostState::Dead || known.info.state == HostState::Leaving;
        if (known.info.state == HostState::Suspect && age >= timings.suspicionTimeout) {
            auto info = known.info;
            info.state = HostState::Dead;
            setHostInfo(membership, info, now);
            changed.push_back(name);
        } else if (isGone && age >= timings.deadHostRetention && !membership.platformListed.contains(name))
            forgotten.push_back(name);
    }
    for (auto& it : forgotten) {
        membership.digest ^= getDigestContribution(membership.hosts[it].info);
        membership.hosts.erase(it);
    }
    return changed;
}

std::vector<HostInfo> takeUpdatesToSend(Membership& membership, const MembershipTimings& timings)
{
    std::vector<KnownHost*> candidates;
    for (auto& [name, known] : membership.hosts) {
        if (known.remainingTransmissions > 0)
            candidates.push_back(&known);
    }
    std::ranges::stable_sort(candidates, std::greater {}, &KnownHost::remainingTransmissions);
    if (candidates.size() > timings.maxUpdatesPerExchange)
        candidates.resize(timings.maxUpdatesPerExchange);
    std::vector<HostInfo> updates;
    for (auto* it : candidates) {
        --it->remainingTransmissions;
        updates.push_back(it->info);
    }
    return updates;
}

uint64_t getDigest(const Membership& membership)
{
    return membership.digest;
}

BucketDigests getBucketDigests(const Membership& membership)
{
    BucketDigests digests {};
    for (auto& [name, known] : membership.hosts)
        digests[getBucket(name)] ^= getDigestContribution(known.info);
    return digests;
}

static bool isLive(const KnownHost& known)
{
    return known.info.state == HostState::Alive || known.info.state == HostState::Suspect;
}

std::vector<PlacedHost> getLiveHosts(const Membership& membership)
{
    std::vector<PlacedHost> live;
    for (auto& [name, known] : membership.hosts) {
        if (isLive(known))
            live.push_back({ name, known.info.dataCentre });
    }
    return live;
}

std::vector<std::string> choosePartners(const Membership& membership, size_t count, uint64_t seed)
{
    std::vector<const std::string*> names;
    names.reserve(membership.hosts.size());
    for (auto& [name, known] : membership.hosts) {
        if (isLive(known) && name != membership.self)
            names.push_back(&name);
    }
    // A partial Fisher-Yates shuffle, so that the cost does not depend on the number of hosts.
    std::vector<std::string> partners;
    for (size_t i = 0; i < std::min(count, names.size()); ++i) {
        auto j = i + getHash(fmt::format("{}", i), seed) % (names.size() - i);
        std::swap(names[i], names[j]);
        partners.push_back(*names[i]);
    }
    return partners;
}

std::optional<std::string> chooseDeadHost(const Membership& membership, uint64_t seed)
{
    std::vector<std::string> names;
    for (auto& [name, known] : membership.hosts) {
        if (known.info.state == HostState::Dead)
            names.push_back(name);
    }
    if (names.empty())
        return std::nullopt;
    return names[seed % names.size()];
}

const HostInfo* findHost(const Membership& membership, const std::string& name)
{
    auto it = membership.hosts.find(name);
    return it == membership.hosts.end() ? nullptr : &it->second.info;
}

}
