#include "decisions/hashing.h"
#include <xxhash.h>

namespace alderward::decisions {

uint64_t getHash(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}
