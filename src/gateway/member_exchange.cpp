#include "gateway/member_exchange.h"
#include <algorithm>
#include <set>

namespace alderward::gateway {

static void encodeMember(peer::MemberEntry& wire, const MemberView& member, TimePoint now)
{
    auto& registration = member.registration;
    wire.set_id(registration.id);
    wire.set_group(registration.group);
    wire.set_address(registration.address);
    wire.set_data_centre(registration.dataCentre);
    wire.set_slots(registration.slots);
    wire.set_is_leaving(registration.isLeaving);
    wire.set_says_primary(registration.saysPrimary);
    wire.set_revision(member.revision);
    wire.set_born(registration.incarnation.startedAtMs);
    wire.set_sequence(registration.incarnation.sequence);
    wire.set_is_unlisted(member.unlistedAt.has_value());
    if (member.leavingSince)
        wire.set_leaving_ms(static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(now - *member.leavingSince).count()));
}

void encodeMembers(peer::MembersAnswer& wire, const ClusterView& view, uint64_t since, TimePoint now)
{
    bool isComplete = view.removedRevision > since;
    wire.set_is_whole(isComplete);
    wire.set_revision(view.membersRevision);
    for (auto& [id, member] : view.members) {
        if (isComplete || member.revision > since)
            encodeMember(*wire.add_members(), member, now);
    }
}

links::RegisteredMember decodeMember(const peer::MemberEntry& wire)
{
    links::RegisteredMember member;
    member.id = wire.id();
    member.group = wire.group();
    member.address = wire.address();
    member.dataCentre = wire.data_centre();
    member.slots = wire.slots();
    member.isLeaving = wire.is_leaving();
    member.saysPrimary = wire.says_primary();
    member.incarnation = { wire.born(), wire.sequence() };
    return member;
}

void encodeChanges(peer::Pong& wire, const RelayedChanges& batch, TimePoint now)
{
    wire.set_entries_until(batch.untilRevision);
    for (auto& it : batch.changes) {
        auto& entry = *wire.add_entries();
        entry.set_key(it.item.key);
        entry.set_revision(it.item.revision);
        entry.set_is_deleted(it.item.isDeleted);
        entry.set_is_large(it.isLarge);
        if (!it.isLarge)
            entry.set_value(it.item.value);
        entry.set_is_old(!it.changedAt);
        entry.set_age_us(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now - it.receivedAt).count()));
    }
}

RelayedChanges decodeChanges(const peer::Pong& wire, TimePoint sentAt)
{
    RelayedChanges batch;
    batch.untilRevision = wire.entries_until();
    for (auto& it : wire.entries()) {
        auto receivedAt = sentAt - std::chrono::microseconds(it.age_us());
        links::StoreItem item { .key = it.key(), .value = it.value(), .revision = it.revision(), .isDeleted = it.is_deleted() };
        batch.changes.push_back({ std::move(item), it.is_old() ? std::nullopt : std::optional(receivedAt), receivedAt, it.is_large() });
    }
    return batch;
}

std::vector<std::string> findAbsentMembers(const peer::MembersAnswer& wire, const ClusterView& view)
{
    std::vector<std::string> absent;
    if (!wire.is_whole())
        return absent;
    std::set<std::string> listedIds;
    for (auto& it : wire.members())
        listedIds.insert(it.id());
    for (auto& [id, member] : view.members) {
        if (!listedIds.contains(id) && member.revision <= wire.revision())
            absent.push_back(id);
    }
    return absent;
}

}
