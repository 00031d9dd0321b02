// One hash for placement and digests. Every host must compute the same value, so it may not change between versions:
// XXH3 with 64 bits, whose output its authors have fixed.
#pragma once
#include <cstdint>
#include <string_view>

namespace alderward::decisions {

uint64_t getHash(std::string_view text, uint64_t seed = 0);

}
