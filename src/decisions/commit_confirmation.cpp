#include "decisions/commit_confirmation.h"
#include <algorithm>

namespace alderward::decisions {

Confirmation judgeCommit(const Mark& commit, uint64_t term, const Mark& received)
{
    if (term == 0)
        return Confirmation::Waiting;
    // Positions continue from term to term, so one of a newer term can be above the commit's although the log lacks the commit.
    if (term > commit.term || received.term > commit.term)
        return Confirmation::InDoubt;
    return received >= commit ? Confirmation::Confirmed : Confirmation::Waiting;
}

Confirmation judgeCommit(const UnconfirmedCommit& commit, const std::vector<std::string>& successors, uint64_t provenTerm)
{
    bool isConfirmed = std::ranges::all_of(successors, [&](const std::string& it) { return commit.confirmedBy.contains(it); });
    bool isPositionKnown = commit.position.term != 0;
    bool wasConfirmedBySuccessor = isConfirmed && !successors.empty();
    if (wasConfirmedBySuccessor)
        return Confirmation::Confirmed;
    if (isPositionKnown && provenTerm > commit.position.term)
        return Confirmation::InDoubt;
    if (isConfirmed)
        return Confirmation::Confirmed;
    return isPositionKnown ? Confirmation::Waiting : Confirmation::InDoubt;
}

}
