// What several unit tests start from: a clock turned by hand and one group of three members.
#pragma once
#include "decisions/health.h"
#include <chrono>

namespace fixtures {

using namespace alderward::decisions;

// A time `ms` after an arbitrary beginning; before it there is room for negative ones.
inline TimePoint at(int ms)
{
    return TimePoint {} + std::chrono::hours(1) + milliseconds(ms);
}

inline GroupRecord makeRecord()
{
    GroupRecord record;
    record.name = "orders";
    record.members = { { "a", "127.0.0.1:1", "x" }, { "b", "127.0.0.1:2", "y" }, { "c", "127.0.0.1:3", "z" } };
    return record;
}

}
