// What hosts tell each other of database groups with pings: who leads, from which position on reads are fresh, where members' logs stand.
#pragma once
#include "gateway/cluster_view.h"
#include "gateway/peer_codec.h"

namespace alderward::gateway {

// Leads and floors that this host has seen for itself and, `withHeard`, those that others told it (docs/design/0010-relays.md says why they stay sound).
void writeGroupStatus(peer::Pong& wire, const ClusterView& view, bool withRelayed, TimePoint now);
// When the sender's evidence of a lead was asked for, on this host's clock; empty: it shows none. `sentAt` is before the time at which it was told. A lead is shown by
// a floor of its term.
std::vector<std::optional<TimePoint>> findEvidenceTimes(const peer::Pong& wire, TimePoint sentAt);
// Where the member's log stands, if anything is known of it.
void writePosition(peer::Load& wire, const ClusterView& view, TimePoint now);
// Positions that another host told. `sentAt` is before the time at which it did.
void applyPositions(ClusterView& view, const peer::Pong& wire, TimePoint sentAt);

}
