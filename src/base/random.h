// Random numbers for jitter. Not for cryptographic use.
#pragma once
#include <random>

namespace alderward::base {

// Uniform in [0, 1). Thread safe.
inline double getRandom()
{
    thread_local std::mt19937 engine { std::random_device {}() };
    return std::uniform_real_distribution<double>(0, 1)(engine);
}

}
