// Changes to members, as read from the platform's store or reported by hosts that can reach it.
#include "base/event_log.h"
#include "base/random.h"
#include "gateway/gateway.h"
#include "gateway/member_exchange.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;

static constexpr milliseconds kProofTimeout { 1500 }; // maximum age of a floor that counts as a recent proof; must exceed the intervals of proofs (250 ms) and pings (1 s)
static constexpr milliseconds kMembersRequestInterval { 500 }; // between requests for members to other hosts

// `source`, for the log: "listed" by the store or "told" by another host.
void Gateway::handleMemberListed(const links::RegisteredMember& member, uint64_t revision, TimePoint leavingSince, std::string_view source)
{
    auto known = m_view.members.find(member.id);
    bool wasKnown = known != m_view.members.end();
    auto before = wasKnown ? known->second.registration : links::RegisteredMember {};
    bool wasUnlisted = wasKnown && known->second.unlistedAt;
    auto change = applyMember(m_view, member, revision, leavingSince, Clock::now());
    if (change == MemberChange::Outdated)
        return;
    if (change == MemberChange::Restarted)
        handleMemberRestart(member);
    handleRoleChange(before, member);
    m_isPartnerChoiceDue = m_isPartnerChoiceDue || !wasKnown;
    m_view.isForwardingUpdateDue = true;
    before.incarnation = member.incarnation; // the sequence increases with each update of the entry and is no change worth logging
    if (before == member && !wasUnlisted)
        return;
    base::logEvent(LogClass::State, "member", { { "member", std::string_view(member.id) }, { "group", std::string_view(member.group) }, { "address", std::string_view(member.address) }, { "leaving", member.isLeaving }, { "says_primary", member.saysPrimary }, { "revision", static_cast<int64_t>(revision) }, { "source", source } });
}

// Closes the connections to the previous process. The outcome of statements that run on them is unknown, as after any lost connection.
void Gateway::handleMemberRestart(const links::RegisteredMember& member)
{
    base::logEvent(LogClass::State, "member-restarted", { { "member", std::string_view(member.id) }, { "group", std::string_view(member.group) }, { "born", static_cast<int64_t>(member.incarnation.startedAtMs) }, { "sequence", static_cast<int64_t>(member.incarnation.sequence) } });
    m_promoter.onPrimaryChanged(member.group);
    m_promoter.onMemberRestarted(member.group, member.id);
    if (auto it = m_pools.find(member.id); it != m_pools.end()) {
        auto pool = it->second;
        m_pools.erase(it);
        pool->shutDown("the member has restarted");
    }
    verifyPrimaryClaim(m_view.members.at(member.id));
}

void Gateway::handleMemberUnlisted(const std::string& id, uint64_t revision, std::string_view source)
{
    if (markMemberUnlisted(m_view, id, revision, Clock::now()))
        base::logEvent(LogClass::State, "member-unlisted", { { "member", std::string_view(id) }, { "revision", static_cast<int64_t>(revision) }, { "source", source } });
}

// While the store is unreachable, requests members from a random host that can reach it.
void Gateway::refreshMembersFromPeers(TimePoint now)
{
    if (!m_view.hasListedMembers || !m_directory.mayMissChanges() || now - m_membersRequestedAt < kMembersRequestInterval)
        return;
    std::vector<std::string> hostsWithStore;
    for (auto& name : m_peers.getAnsweringHosts()) {
        if (m_peers.getCapabilities(name).hasStore)
            hostsWithStore.push_back(name);
    }
    if (hostsWithStore.empty())
        return;
    m_membersRequestedAt = now;
    auto index = static_cast<size_t>(base::getRandom() * static_cast<double>(hostsWithStore.size()));
    m_peers.requestMembers(hostsWithStore[std::min(index, hostsWithStore.size() - 1)], m_view.membersRevision);
}

void Gateway::handleMembersAnswer(const peer::MembersAnswer& answer, TimePoint sentAt)
{
    if (answer.lacks_store() || !m_directory.mayMissChanges())
        return;
    for (auto& it : answer.members()) {
        if (it.is_unlisted())
            handleMemberUnlisted(it.id(), it.revision(), "told");
        else
            handleMemberListed(decodeMember(it), it.revision(), sentAt - milliseconds(it.leaving_ms()), "told");
    }
    for (auto& id : findAbsentMembers(answer, m_view))
        handleMemberUnlisted(id, answer.revision(), "told");
}

// Handles a change of role that a member reports about itself. It is ignored while the known primary has a recent proof: a partitioned member
// may not know that it was replaced.
void Gateway::handleRoleChange(const links::RegisteredMember& before, const links::RegisteredMember& now)
{
    auto& group = m_view.groups[now.group];
    bool hasRecentProof = !group.floors.isEmpty() && Clock::now() - group.floors.floors.back().coveredUntil < kProofTimeout;
    if (before.saysPrimary == now.saysPrimary || hasRecentProof)
        return;
    if (now.saysPrimary && group.primary.member != now.id)
        setKnownPrimary(now.group, { now.id, group.primary.term, false }, "listed");
    else if (!now.saysPrimary)
        setKnownPrimary(now.group, decisions::applyPrimaryDenial(group.primary, now.id), "listed");
}

}
