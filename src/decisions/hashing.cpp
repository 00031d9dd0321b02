#include "decisions/hashing.h"
#include <xxhash.h>

namespace alderward::decisions {

uint64_t getHash(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

size_t getBucket(std::string_view key)
{
    return getHash(key) % kBucketCount;
}

BucketMask findDifferingBuckets(const BucketDigests& mine, std::span<const uint64_t> theirs)
{
    BucketMask mask {};
    for (size_t i = 0; i < kBucketCount; ++i)
        mask[i] = theirs.size() != kBucketCount || theirs[i] != mine[i];
    return mask;
}

}
