// Read-copy-update for data that is read on every request and seldom replaced. A writer publishes a new immutable value;
// readers use a pointer cached per thread, at the cost of one atomic load while it is current (docs/design/0003-snapshots.md).
#pragma once
#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace alderward::base {

// Allocates the index of a new Snapshot in the thread-local caches. Indices are not reused, as snapshots live as long as the process.
size_t allocateSnapshotSlot();

template <typename T>
class Snapshot {
public:
    explicit Snapshot(std::shared_ptr<const T> initial = std::make_shared<const T>())
        : m_slot(allocateSnapshotSlot())
        , m_value(std::move(initial))
    {
    }

    Snapshot(const Snapshot&) = delete;
    Snapshot& operator=(const Snapshot&) = delete;

    // Replaces the value. Readers see it at their next read(). Thread safe.
    void publish(std::shared_ptr<const T> value)
    {
        std::lock_guard lock(m_mutex);
        m_value = std::move(value);
        m_version.fetch_add(1, std::memory_order_release);
    }

    // Returns the latest value. Hold the pointer, not a reference into the value, across a suspension.
    std::shared_ptr<const T> read() const
    {
        thread_local std::vector<Cached> cache;
        if (cache.size() <= m_slot)
            cache.resize(m_slot + 1);
        auto& cached = cache[m_slot];
        auto version = m_version.load(std::memory_order_acquire);
        if (cached.version != version) {
            std::lock_guard lock(m_mutex);
            cached.value = m_value;
            cached.version = m_version.load(std::memory_order_relaxed);
        }
        return cached.value;
    }

private:
    struct Cached {
        uint64_t version { 0 }; // 0 is never a published version
        std::shared_ptr<const T> value;
    };

    const size_t m_slot;
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
    std::atomic<uint64_t> m_version { 1 };
};

}
