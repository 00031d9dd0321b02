// Shared fixtures of unit tests: explicit time points and a group of three members.
#pragma once
#include "decisions/health.h"
#include <chrono>

namespace fixtures {

using namespace alderward::decisions;

// The time `ms` after an arbitrary origin; `ms` may be negative.
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
