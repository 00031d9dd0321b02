#include "decisions/membership.h"
#include "decisions/hashing.h"
#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace alderward::decisions {

static constexpr unsigned kTellFactor = 3; // news is told this many times the logarithm of the number of hosts

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

static unsigned getTellCount(const Membership& membership)
{
    return kTellFactor * static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(membership.hosts.size()) + 2)));
}

// What one host adds to the digest. Computing the whole digest for each exchange grew with the fleet.
static uint64_t getShare(const HostNews& news)
{
    bool isCounted = !news.name.empty() && news.state != HostState::Dead;
    return isCounted ? getHash(fmt::format("{}\n{}\n{}", news.name, news.incarnation, static_cast<int>(news.state))) : 0;
}

static void setNews(Membership& membership, const HostNews& news, TimePoint now)
{
    auto& known = membership.hosts[news.name];
    membership.digest ^= getShare(known.news) ^ getShare(news);
    known.news = news;
    known.changedAt = now;
    known.tellLeft = getTellCount(membership);
}

Membership makeMembership(const HostNews& self, TimePoint now)
{
    Membership membership;
    membership.self = self.name;
    setNews(membership, self, now);
    return membership;
}

void setOwnNews(Membership& membership, const HostNews& news, TimePoint now)
{
    setNews(membership, news, now);
}

static bool isNewer(const HostNews& news, const HostNews& known)
{
    return std::pair(news.incarnation, news.state) > std::pair(known.incarnation, known.state);
}

// We live, whatever others say. A host that was frozen and came back finds itself dead in others' news and answers with
// a higher incarnation; a host that is leaving stays so.
static bool refute(Membership& membership, const HostNews& news, TimePoint now)
{
    auto self = membership.hosts[membership.self].news;
    if (!isNewer(news, self))
        return false;
    self.incarnation = news.incarnation + 1;
    setNews(membership, self, now);
    return true;
}

std::vector<std::string> takeNews(Membership& membership, const std::vector<HostNews>& news, TimePoint now)
{
    std::vector<std::string> changed;
    for (auto& it : news) {
        if (it.name == membership.self) {
            if (refute(membership, it, now))
                changed.push_back(it.name);
            continue;
        }
        auto known = membership.hosts.find(it.name);
        bool isUnknown = known == membership.hosts.end();
        if (isUnknown && it.state == HostState::Dead)
            continue;
        if (!isUnknown && !isNewer(it, known->second.news))
            continue;
        bool hasChanged = isUnknown || known->second.news.state != it.state || known->second.news.incarnation != it.incarnation;
        setNews(membership, it, now);
        if (hasChanged)
            changed.push_back(it.name);
    }
    return changed;
}

void takePlatformList(Membership& membership, const std::vector<PlatformHost>& hosts, TimePoint now)
{
    membership.listed.clear();
    for (auto& it : hosts)
        membership.listed.insert(it.name);
    for (auto& it : hosts) {
        if (it.peerAddress.empty() || it.name == membership.self || membership.hosts.contains(it.name))
            continue;
        setNews(membership, { it.name, 0, HostState::Alive, it.dataCentre, it.peerAddress, it.callerAddress, it.operatorAddress }, now);
    }
}

bool suspectHost(Membership& membership, const std::string& name, size_t witnesses, size_t asked, TimePoint now)
{
    auto it = membership.hosts.find(name);
    if (it == membership.hosts.end() || it->second.news.state != HostState::Alive)
        return false;
    if (asked > 0 && witnesses == 0)
        return false;
    auto news = it->second.news;
    news.state = HostState::Suspect;
    setNews(membership, news, now);
    return true;
}

std::vector<std::string> ageMembership(Membership& membership, const MembershipTimings& timings, TimePoint now)
{
    std::vector<std::string> changed;
    std::vector<std::string> forgotten;
    for (auto& [name, known] : membership.hosts) {
        if (name == membership.self)
            continue;
        auto age = now - known.changedAt;
        bool isGone = known.news.state == HostState::Dead || known.news.state == HostState::Leaving;
        if (known.news.state == HostState::Suspect && age >= timings.suspectFor) {
            auto news = known.news;
            news.state = HostState::Dead;
            setNews(membership, news, now);
            changed.push_back(name);
        } else if (isGone && age >= timings.forgetAfter && !membership.listed.contains(name))
            forgotten.push_back(name);
    }
    for (auto& it : forgotten) {
        membership.digest ^= getShare(membership.hosts[it].news);
        membership.hosts.erase(it);
    }
    return changed;
}

std::vector<HostNews> takeNewsToTell(Membership& membership, const MembershipTimings& timings)
{
    std::vector<KnownHost*> candidates;
    for (auto& [name, known] : membership.hosts) {
        if (known.tellLeft > 0)
            candidates.push_back(&known);
    }
    std::ranges::stable_sort(candidates, std::greater {}, &KnownHost::tellLeft);
    if (candidates.size() > timings.newsPerExchange)
        candidates.resize(timings.newsPerExchange);
    std::vector<HostNews> news;
    for (auto* it : candidates) {
        --it->tellLeft;
        news.push_back(it->news);
    }
    return news;
}

uint64_t getDigest(const Membership& membership)
{
    return membership.digest;
}

BucketDigests getBucketDigests(const Membership& membership)
{
    BucketDigests digests {};
    for (auto& [name, known] : membership.hosts)
        digests[getBucket(name)] ^= getShare(known.news);
    return digests;
}

static bool isLive(const KnownHost& known)
{
    return known.news.state == HostState::Alive || known.news.state == HostState::Suspect;
}

std::vector<PlacedHost> getLiveHosts(const Membership& membership)
{
    std::vector<PlacedHost> live;
    for (auto& [name, known] : membership.hosts) {
        if (isLive(known))
            live.push_back({ name, known.news.dataCentre });
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
    // A shuffle that stops after `count` places: ranking all hosts for one partner grew with the fleet.
    std::vector<std::string> partners;
    for (size_t i = 0; i < std::min(count, names.size()); ++i) {
        auto j = i + getHash(fmt::format("{}", i), seed) % (names.size() - i);
        std::swap(names[i], names[j]);
        partners.push_back(*names[i]);
    }
    return partners;
}

std::optional<std::string> chooseDead(const Membership& membership, uint64_t seed)
{
    std::vector<std::string> names;
    for (auto& [name, known] : membership.hosts) {
        if (known.news.state == HostState::Dead)
            names.push_back(name);
    }
    if (names.empty())
        return std::nullopt;
    return names[seed % names.size()];
}

const HostNews* findHost(const Membership& membership, const std::string& name)
{
    auto it = membership.hosts.find(name);
    return it == membership.hosts.end() ? nullptr : &it->second.news;
}

}
