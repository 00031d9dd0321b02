// Members as the platform lists them, or as hosts tell that have its store: those that come, go, leave, change their role or start again.
#include "base/event_log.h"
#include "base/random.h"
#include "gateway/gateway.h"
#include "gateway/member_exchange.h"
#include <algorithm>

namespace alderward::gateway {

using base::Clock;
using base::LogClass;

static constexpr milliseconds kProofMissed { 1500 }; // without a floor of this age the leader has not shown itself: proofs come each 250 ms, pings each second at most
static constexpr milliseconds kMembersInterval { 500 }; // between two questions for members to hosts that have the store

// `source`: the store itself, or a host that has it.
void Gateway::takeListed(const links::RegisteredMember& member, uint64_t revision, TimePoint leavingSince, std::string_view source)
{
    auto known = m_view.members.find(member.id);
    bool wasKnown = known != m_view.members.end();
    auto before = wasKnown ? known->second.registration : links::RegisteredMember {};
    bool wasUnlisted = wasKnown && known->second.unlistedAt;
    auto change = applyMember(m_view, member, revision, leavingSince, Clock::now());
    if (change == MemberChange::Outdated)
        return;
    if (change == MemberChange::Restarted)
        endLife(member);
    takeRoleChange(before, member);
    m_partnersDue = m_partnersDue || !wasKnown;
    m_view.isForwardingUpdateDue = true;
    before.incarnation = member.incarnation; // its count moves with every word of it
    if (before == member && !wasUnlisted)
        return;
    base::logEvent(LogClass::State, "member", { { "member", std::string_view(member.id) }, { "group", std::string_view(member.group) }, { "address", std::string_view(member.address) }, { "leaving", member.isLeaving }, { "says_primary", member.saysPrimary }, { "revision", static_cast<int64_t>(revision) }, { "source", source } });
}

// Connections that still stand lead to the process of before; whatever runs on them is in doubt, as after any other break.
void Gateway::endLife(const links::RegisteredMember& member)
{
    base::logEvent(LogClass::State, "member-restarted", { { "member", std::string_view(member.id) }, { "group", std::string_view(member.group) }, { "born", static_cast<int64_t>(member.incarnation.startedAtMs) }, { "sequence", static_cast<int64_t>(member.incarnation.sequence) } });
    m_promoter.noteNewLead(member.group);
    if (auto it = m_pools.find(member.id); it != m_pools.end()) {
        auto pool = it->second;
        m_pools.erase(it);
        pool->shutDown("the member started again");
    }
    askWhetherItLeads(m_view.members.at(member.id));
}

void Gateway::takeUnlisted(const std::string& id, uint64_t revision, std::string_view source)
{
    if (markMemberUnlisted(m_view, id, revision, Clock::now()))
        base::logEvent(LogClass::State, "member-unlisted", { { "member", std::string_view(id) }, { "revision", static_cast<int64_t>(revision) }, { "source", source } });
}

// A host that has lost the store asks one that has it, another each time.
void Gateway::askForMembers(TimePoint now)
{
    if (!m_view.hasListedMembers || !m_directory.mayMissChanges() || now - m_membersAskedAt < kMembersInterval)
        return;
    std::vector<std::string> able;
    for (auto& name : m_peers.getUpHosts()) {
        if (m_peers.getAbility(name).hasStore)
            able.push_back(name);
    }
    if (able.empty())
        return;
    m_membersAskedAt = now;
    auto index = static_cast<size_t>(base::getRandom() * static_cast<double>(able.size()));
    m_peers.askMembers(able[std::min(index, able.size() - 1)], m_view.membersRevision);
}

void Gateway::takeMembers(const peer::MembersAnswer& answer, TimePoint sentAt)
{
    if (answer.lacks_store() || !m_directory.mayMissChanges())
        return;
    for (auto& it : answer.members()) {
        if (it.is_unlisted())
            takeUnlisted(it.id(), it.revision(), "told");
        else
            takeListed(readMember(it), it.revision(), sentAt - milliseconds(it.leaving_ms()), "told");
    }
    for (auto& id : findMissing(answer, m_view))
        takeUnlisted(id, answer.revision(), "told");
}

// A member says of itself that its role changed. That counts against a leader that has not shown itself lately, no more: a member that
// was cut off may not know that it was replaced.
void Gateway::takeRoleChange(const links::RegisteredMember& before, const links::RegisteredMember& now)
{
    auto& group = m_view.groups[now.group];
    bool isFresh = !group.floors.isEmpty() && Clock::now() - group.floors.floors.back().coveredUntil < kProofMissed;
    if (before.saysPrimary == now.saysPrimary || isFresh)
        return;
    if (now.saysPrimary && group.primary.member != now.id)
        takeLead(now.group, { now.id, group.primary.term, false }, "listed");
    else if (!now.saysPrimary)
        takeLead(now.group, decisions::applyPrimaryDenial(group.primary, now.id), "listed");
}

}
