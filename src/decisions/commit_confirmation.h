// Whether a commit that a primary has acknowledged may be acknowledged to the caller, while another member may be promoted at any moment.
//
// In groups with synchronous replicas, the platform can carry out a promotion order seconds after it was sent. The primary acknowledges a commit once
// any replica has received it, also one that has just started and could not be suspended yet. A caller is told only of commits that the member of the
// order has received too (docs/design/0015-synchronous-promotion.md).
#pragma once
#include "decisions/promotion.h"
#include <set>

namespace alderward::decisions {

enum class Confirmation {
    Waiting, // the member lacks the commit, or has not answered
    Confirmed, // the member has received it, and still has it if it is promoted
    InDoubt, // a newer term has begun: whether it holds the commit cannot be told from positions
};

// `term`, `received`: of the member's status; term 0: it has not answered.
Confirmation judgeCommit(const Mark& commit, uint64_t term, const Mark& received);

// A commit whose caller waits for its confirmation.
struct UnconfirmedCommit {
    Mark position {}; // of the primary's log when it acknowledged the commit; term 0: not reported
    std::set<std::string> confirmedBy {}; // members
    friend bool operator==(const UnconfirmedCommit&, const UnconfirmedCommit&) = default;
};

// Judges a commit by all members that may be promoted. `provenTerm`: newest term that a member of the group has proved.
Confirmation judgeCommit(const UnconfirmedCommit& commit, const std::vector<std::string>& successors, uint64_t provenTerm);

}
