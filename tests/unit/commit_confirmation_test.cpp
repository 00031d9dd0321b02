// Whether a commit survives the promotion of another member. Guards against an acknowledgement that rests on a position of another term.
#include "decisions/commit_confirmation.h"
#include <boost/test/unit_test.hpp>

using namespace alderward::decisions;

BOOST_AUTO_TEST_SUITE(commit_confirmation)

BOOST_AUTO_TEST_CASE(a_member_confirms_a_commit_only_in_its_term)
{
    Mark commit { 3, 100 };
    BOOST_TEST((judgeCommit(commit, 0, {}) == Confirmation::Waiting)); // no answer
    BOOST_TEST((judgeCommit(commit, 3, { 3, 99 }) == Confirmation::Waiting));
    BOOST_TEST((judgeCommit(commit, 3, { 3, 100 }) == Confirmation::Confirmed));
    BOOST_TEST((judgeCommit(commit, 3, { 2, 500 }) == Confirmation::Waiting));
    BOOST_TEST((judgeCommit(commit, 4, { 3, 100 }) == Confirmation::InDoubt));
    BOOST_TEST((judgeCommit(commit, 4, { 4, 140 }) == Confirmation::InDoubt)); // above the commit, and perhaps without it
    BOOST_TEST((judgeCommit(commit, 3, { 4, 140 }) == Confirmation::InDoubt));
}

BOOST_AUTO_TEST_CASE(all_members_that_may_be_promoted_must_confirm)
{
    UnconfirmedCommit commit { { 3, 100 }, { "b" } };
    BOOST_TEST((judgeCommit(commit, { "b" }, 3) == Confirmation::Confirmed));
    BOOST_TEST((judgeCommit(commit, { "b", "c" }, 3) == Confirmation::Waiting));
    commit.confirmedBy.insert("c");
    BOOST_TEST((judgeCommit(commit, { "b", "c" }, 3) == Confirmation::Confirmed));
    BOOST_TEST((judgeCommit(commit, { "b", "c" }, 4) == Confirmation::Confirmed)); // one of them leads it, and had the commit
}

BOOST_AUTO_TEST_CASE(a_commit_without_a_pending_order_is_in_doubt_only_if_a_newer_term_has_begun)
{
    BOOST_TEST((judgeCommit(UnconfirmedCommit { { 3, 100 } }, {}, 3) == Confirmation::Confirmed));
    BOOST_TEST((judgeCommit(UnconfirmedCommit { { 3, 100 } }, {}, 4) == Confirmation::InDoubt));
    BOOST_TEST((judgeCommit(UnconfirmedCommit {}, {}, 4) == Confirmation::Confirmed)); // the primary reports no positions
    BOOST_TEST((judgeCommit(UnconfirmedCommit {}, { "b" }, 3) == Confirmation::InDoubt));
}

BOOST_AUTO_TEST_SUITE_END()
