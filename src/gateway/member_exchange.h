// Messages by which hosts that read the platform's store report members to hosts that can't reach it, and changes to hosts that they relay to.
// Without them, a host that has lost the store would send statements to members that have ended. Received reports of members are not passed on.
#pragma once
#include "gateway/cluster_view.h"
#include "gateway/directory.h"
#include "gateway/peer_codec.h"

namespace alderward::gateway {

// Members changed after revision `since`, or all members if one was removed after it.
void encodeMembers(peer::MembersAnswer& wire, const ClusterView& view, uint64_t since, TimePoint now);

links::RegisteredMember decodeMember(const peer::MemberEntry& wire);

// Changes in the store that a relay forwards. Times are encoded as ages, as clocks of hosts differ.
void encodeChanges(peer::Pong& wire, const RelayedChanges& batch, TimePoint now);
// `sentAt`: when the ping was sent that the message answers, so that changes never seem newer than they are.
RelayedChanges decodeChanges(const peer::Pong& wire, TimePoint sentAt);

// Ids of known members that are absent from a complete answer, that is, removed. Members changed after the answer's revision are left out.
std::vector<std::string> findAbsentMembers(const peer::MembersAnswer& wire, const ClusterView& view);

}
