// Group status in pongs: primaries, read floors and members' log positions.
#pragma once
#include "gateway/cluster_view.h"
#include "gateway/peer_codec.h"

namespace alderward::gateway {

// Adds the primaries and floors that this host has confirmed itself and, if `withRelayed`, those reported by other hosts
// (docs/design/0010-relays.md says why relayed ones stay correct).
void writeGroupStatus(peer::Pong& wire, const ClusterView& view, bool withRelayed, TimePoint now);
// For each entry of `leads` in the pong: when the sender queried the primary for its evidence, on this host's clock; empty: no evidence. Evidence
// is a floor of the same term. `sentAt`: when the ping was sent, so that ages count from before the answer.
std::vector<std::optional<TimePoint>> findEvidenceTimes(const peer::Pong& wire, TimePoint sentAt);
// Sets the member's log position, if known.
void writePosition(peer::Load& wire, const ClusterView& view, TimePoint now);
// Applies the log positions in a pong. `sentAt`: when the ping was sent.
void applyPositions(ClusterView& view, const peer::Pong& wire, TimePoint sentAt);

}
