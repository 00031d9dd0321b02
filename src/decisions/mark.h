// A position in a group's log. Terms order the logs of successive primaries.
#pragma once
#include <compare>
#include <cstdint>

namespace alderward::decisions {

// A position in a group's log. Compared by term first.
struct Mark {
    uint64_t term { 0 }; // 0: nothing seen yet
    uint64_t position { 0 }; // index of the log entry, from 1
    friend auto operator<=>(const Mark&, const Mark&) = default;
};

}
