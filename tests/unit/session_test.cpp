// Session tokens and marks, and whether a member's log contains a mark.
#include "decisions/session.h"
#include <boost/test/unit_test.hpp>

using namespace alderward::decisions;

static const std::string kKey = "a-key-of-sixteen-characters";

BOOST_AUTO_TEST_SUITE(session)

BOOST_AUTO_TEST_CASE(token_round_trip_preserves_marks)
{
    SessionMarks marks { { "ledger1", { 3, 77 } }, { "ledger2", { 1, 1 } } };
    auto token = encodeToken(marks, kKey);
    BOOST_TEST((decodeToken(token, kKey).value() == marks));
    BOOST_TEST(decodeToken("", kKey)->empty());
}

BOOST_AUTO_TEST_CASE(truncated_forged_or_foreign_token_is_refused)
{
    auto token = encodeToken({ { "ledger1", { 3, 77 } } }, kKey);
    for (size_t n = 1; n < token.size(); ++n)
        BOOST_TEST((decodeToken(token.substr(0, n), kKey).error().kind == ErrorKind::BadToken));
    for (size_t i = 0; i < token.size(); ++i) {
        auto forged = token;
        forged[i] = forged[i] == 'A' ? 'B' : 'A';
        auto marks = decodeToken(forged, kKey);
        // Decoding ignores some bits of the last character, so a change there may be accepted, but the marks must be the same.
        BOOST_TEST((!marks || (i + 1 == token.size() && marks->at("ledger1") == Mark { 3, 77 })));
    }
    BOOST_TEST(!decodeToken(token, "another-key-of-16-chars"));
    BOOST_TEST(!decodeToken("no token at all!", kKey));
    BOOST_TEST(!decodeToken(std::string(100000, 'A'), kKey));
}

BOOST_AUTO_TEST_CASE(mark_never_goes_back)
{
    SessionMarks marks;
    raiseMark(marks, "g", { 2, 5 });
    raiseMark(marks, "g", { 1, 900 });
    BOOST_TEST((marks["g"] == Mark { 2, 5 }));
}

BOOST_AUTO_TEST_CASE(containment_by_term_history)
{
    // Term 1 wrote entries 1 to 100, term 2 began at 90: entries 90 to 100 of term 1 are lost.
    LogState log { 2, 120, { { 1, 1 }, { 2, 90 } } };
    BOOST_TEST((getContainment(log, {}) == Containment::Contained));
    BOOST_TEST((getContainment(log, { 1, 89 }) == Containment::Contained));
    BOOST_TEST((getContainment(log, { 1, 95 }) == Containment::Lost));
    BOOST_TEST((getContainment(log, { 2, 120 }) == Containment::Contained));
    BOOST_TEST((getContainment(log, { 2, 121 }) == Containment::Behind));
    BOOST_TEST((getContainment(log, { 3, 95 }) == Containment::Behind));
}

BOOST_AUTO_TEST_CASE(a_history_too_short_to_decide_counts_as_lost)
{
    LogState log { 90, 5000, { { 80, 4000 }, { 90, 4500 } } };
    BOOST_TEST((getContainment(log, { 3, 10 }) == Containment::Lost));
}

// Guards against a session that continues without any mark after a loss and then reads a replica that lacks its acknowledged writes.
BOOST_AUTO_TEST_CASE(session_continues_after_a_loss_from_the_promotion_that_lost_the_entry)
{
    LogState log { 3, 120, { { 1, 1 }, { 2, 90 }, { 3, 110 } } };
    auto mark = getMarkAfterLoss(log, { 1, 95 });
    BOOST_TEST((mark == Mark { 2, 90 }));
    BOOST_TEST((getContainment(log, mark) == Containment::Contained));
    // A replica that holds none of the acknowledged entries 1 to 89, or only some, does not contain the mark.
    BOOST_TEST((getContainment({ 1, 40, { { 1, 1 } } }, mark) == Containment::Behind));
    // The history is too short to hold the promotion: the newest entry is after it.
    BOOST_TEST((getMarkAfterLoss({ 3, 120, {} }, { 1, 95 }) == Mark { 3, 120 }));
}

BOOST_AUTO_TEST_SUITE_END()
