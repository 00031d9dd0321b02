// Client of the platform's key-value service, which holds the operators' records, over HTTP. Each call opens its own
// connection; only a watch keeps one. Calls are rare by design (docs/CAPACITY.md).
#pragma once
#include "decisions/records.h"
#include "links/http.h"
#include <string>
#include <vector>

namespace alderward::links {

struct PlatformClient {
    std::string address {}; // ip:port
    std::string from {}; // name of this host
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
    bool wasCompacted { false }; // watch only: events were lost, list again
};

// Result of a compare-and-swap.
struct SwapResult {
    bool wasSwapped { false };
    StoredValue current {}; // after a swap: revision of the new value; else the current item
};

template <typename T>
using AsyncPlatformResult = boost::asio::awaitable<LinkResult<T>>;

AsyncPlatformResult<StoredValue> getValue(const PlatformClient& client, std::string key, base::TimePoint deadline);
AsyncPlatformResult<StoredList> listValues(const PlatformClient& client, std::vector<std::string> prefixes, base::TimePoint deadline);
// After a failure with `mayHaveArrived`, the swap may have happened: read the value before writing again.
AsyncPlatformResult<SwapResult> compareAndSwap(const PlatformClient& client, std::string key, uint64_t expectRevision, std::string value, base::TimePoint deadline);
// Waits up to `wait` for changes after a revision, in a single call.
AsyncPlatformResult<StoredList> watchValues(const PlatformClient& client, HttpConnection& link, std::vector<std::string> prefixes, uint64_t afterRevision, base::milliseconds wait);

}
