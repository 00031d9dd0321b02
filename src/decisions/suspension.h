// Which replicas are suspended while a promotion order may be carried out, in groups with synchronous replicas.
//
// The platform can carry out an order seconds after it was sent, also one that it did not answer. Until then the old primary acknowledges every
// commit that enough replicas have received. If only the successor and as few others as possible still receive commits, the successor has each one
// that is acknowledged, whenever the order is carried out (docs/design/0015-synchronous-promotion.md).
//
// COMMON MISTAKES
//   - Resuming a replica while an order may still be carried out. The next commit may then be acknowledged without the successor.
#pragma once
#include "decisions/promotion.h"

namespace alderward::decisions {

// The replicas to suspend: all but the successor and those with the newest logs that are needed besides to acknowledge a commit.
// `synchronousReplicas`: how many replicas must receive a commit before it is acknowledged; at least 1.
std::vector<std::string> chooseReplicasToSuspend(const std::vector<MemberFinding>& replicas, const std::string& successor, unsigned synchronousReplicas);

// Whether the successor has received all that the suspended replicas had received. `suspended`: their status after the suspension.
bool holdsAllOf(const MemberFinding& successor, const std::vector<MemberFinding>& suspended);

// Whether the member receives no commits because of an order that may still be carried out.
inline bool isSuspended(const MemberFinding& member, uint64_t newestTerm) { return member.suspendedFor > newestTerm; }

// The member that an earlier order may still promote, if replicas are suspended for it: the one with the newest log among those that are not. Empty:
// no replica is suspended, or no member holds all that the suspended ones have, so that no order was sent.
std::optional<std::string> findEarlierSuccessor(const std::vector<MemberFinding>& replicas, uint64_t newestTerm);

}
