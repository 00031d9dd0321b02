// What a host that has the platform's store tells one that has lost it: which members there are and which of them leave. Without it such a host sends
// its callers to members that have ended, and knows none that came since.
//
// Asked for, not sent around: it costs nothing while the store is there. Hearsay is not passed on; only a host that reads the store itself answers.
#pragma once
#include "gateway/cluster_view.h"
#include "gateway/directory.h"
#include "gateway/peer_codec.h"

namespace alderward::gateway {

// All that changed since the revision, or everything if some member was forgotten since then.
void writeMembers(peer::MembersAnswer& wire, const ClusterView& view, uint64_t since, TimePoint now);

// One entry that another host told.
links::RegisteredMember readMember(const peer::MemberEntry& wire);

// Changes in the store that a relay tells.
void writeChanges(peer::Pong& wire, const RelayedChanges& told, TimePoint now);
// `sentAt`: before the time at which they were told.
RelayedChanges readChanges(const peer::Pong& wire, TimePoint sentAt);

// Members that the answer says by their absence are gone.
std::vector<std::string> findMissing(const peer::MembersAnswer& wire, const ClusterView& view);

}
