// Platform link: the key-value service that holds the operators' records, over the HTTP carrier.
// Each call opens a connection of its own; only a watch keeps one. Calls are rare by design (docs/CAPACITY.md).
#pragma once
#include "decisions/records.h"
#include "links/http.h"
#include <string>
#include <vector>

namespace alderward::links {

struct PlatformClient {
    std::string address {}; // ip:port
    std::string from {}; // our name
};

struct StoredValue {
    std::string key {};
    std::string value {};
    uint64_t revision { 0 }; // 0: the key does not exist
    bool isDeleted { false };
};

struct StoredList {
    std::vector<StoredValue> values {};
    uint64_t revision { 0 }; // of the whole store
    bool wasCompacted { false }; // watch only: events were missed, list again
};

// The store's answer to compare-and-swap.
struct SwapResult {
    bool wasSwapped { false };
    StoredValue current {}; // after a swap: our value's revision; else what stands there
};

template <typename T>
using AsyncPlatformResult = boost::asio::awaitable<LinkResult<T>>;

AsyncPlatformResult<StoredValue> getValue(const PlatformClient& client, std::string key, base::TimePoint deadline);
AsyncPlatformResult<StoredList> listValues(const PlatformClient& client, std::vector<std::string> prefixes, base::TimePoint deadline);
// A failure with `mayHaveArrived` means that the swap may have happened: read before you write again.
AsyncPlatformResult<SwapResult> compareAndSwap(const PlatformClient& client, std::string key, uint64_t expectRevision, std::string value, base::TimePoint deadline);
// Waits for changes after a revision, at most `wait`; one call for the store, however long it waits.
AsyncPlatformResult<StoredList> watchValues(const PlatformClient& client, HttpConnection& link, std::vector<std::string> prefixes, uint64_t afterRevision, base::milliseconds wait);

}
