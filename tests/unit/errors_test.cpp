// The error table is consistent and matches docs/ERRORS.md.
#include "decisions/attempts.h"
#include "decisions/errors.h"
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <fstream>
#include <set>

using namespace alderward::decisions;

BOOST_AUTO_TEST_SUITE(errors)

BOOST_AUTO_TEST_CASE(each_kind_has_its_own_row_in_order)
{
    std::set<std::string_view> names;
    size_t i = 0;
    for (auto& it : getErrorTable()) {
        BOOST_TEST(static_cast<size_t>(it.kind) == i++);
        BOOST_TEST(names.insert(it.name).second);
        BOOST_TEST((parseErrorKind(it.name) == it.kind));
        BOOST_TEST(&getErrorRow(it.kind) == &it);
    }
    BOOST_TEST(i == static_cast<size_t>(ErrorKind::Internal) + 1);
    BOOST_TEST(!parseErrorKind("nothing"));
}

BOOST_AUTO_TEST_CASE(documentation_and_table_agree)
{
    std::ifstream file(std::string(ALDERWARD_SOURCE_DIR) + "/docs/ERRORS.md");
    size_t rows = 0;
    std::set<std::string> known;
    for (auto& it : getErrorTable())
        known.insert(fmt::format("| `{}` | {} | {} | {} |", it.name, it.status, getRanName(it.ran), it.mayRepeat ? "yes" : "no"));
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("| `"))
            continue;
        ++rows;
        auto row = line.substr(0, line.find('|', line.find('|', line.find('|', line.find('|', 1) + 1) + 1) + 1) + 1);
        BOOST_TEST(known.contains(row), "not in the table: " + row);
    }
    BOOST_TEST(rows == known.size());
}

// Guards against "not run" for a write of which an earlier attempt may have run.
BOOST_AUTO_TEST_CASE(no_error_after_an_attempt_in_doubt_says_not_run)
{
    for (auto& row : getErrorTable()) {
        auto combined = combineWithEarlierAttempt({ row.kind, "refused", milliseconds(7) });
        // The settlement of a request key holds for every attempt.
        bool mayKeep = row.kind == ErrorKind::KeyClosed || row.ran != Ran::No;
        BOOST_TEST((combined.kind == (mayKeep ? row.kind : ErrorKind::OutcomeUnknown)));
        BOOST_TEST((combined.retryAfter == milliseconds(7)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
