// The hash for placement and digests: 64-bit XXH3, whose output is stable. Hosts of different versions must compute equal values.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace alderward::decisions {

uint64_t getHash(std::string_view text, uint64_t seed = 0);

// Digests of a set by bucket, so that hosts exchange only the buckets in which their sets differ.
inline constexpr size_t kBucketCount = 64;
using BucketDigests = std::array<uint64_t, kBucketCount>;
using BucketMask = std::array<bool, kBucketCount>; // true: the bucket is selected

size_t getBucket(std::string_view key);
// The buckets that differ; all of them if `theirs` has another number of buckets.
BucketMask findDifferingBuckets(const BucketDigests& mine, std::span<const uint64_t> theirs);

}
