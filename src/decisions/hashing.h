// One hash for placement and digests. Every host must compute the same value, so it may not change between versions:
// XXH3 with 64 bits, whose output its authors have fixed.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace alderward::decisions {

uint64_t getHash(std::string_view text, uint64_t seed = 0);

// Digests of a set by parts, so that two hosts whose sets differ in a few keys tell each other those parts only.
inline constexpr size_t kBucketCount = 64;
using BucketDigests = std::array<uint64_t, kBucketCount>;
using BucketMask = std::array<bool, kBucketCount>; // true: the bucket is meant

size_t getBucket(std::string_view key);
// The buckets that differ. Digests of another number of buckets cannot be compared: then all do.
BucketMask findDifferingBuckets(const BucketDigests& mine, std::span<const uint64_t> theirs);

}
