// Random numbers for spreading things in time. Nothing that must be unpredictable is made from them.
#pragma once
#include <random>

namespace alderward::base {

// From 0 up to but not including 1. Any thread.
inline double getRandom()
{
    thread_local std::mt19937 engine { std::random_device {}() };
    return std::uniform_real_distribution<double>(0, 1)(engine);
}

}
