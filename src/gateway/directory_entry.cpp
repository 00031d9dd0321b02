// This host's own entry in the platform's store, under a lease.
#include "base/event_log.h"
#include "base/random.h"
#include "decisions/limits.h"
#include "gateway/directory.h"
#include "gateway/host_entry.h"

namespace alderward::gateway {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;
using links::StoreErrorKind;

asio::awaitable<bool> Directory::writeEntry()
{
    auto& store = m_platform.getStore();
    auto deadline = getStartupDeadline(m_entryAttempts);
    ++m_entryAttempts;
    auto lease = co_await store.grantLease(m_timings.lease, deadline);
    if (!lease)
        co_return false;
    links::StoreItem item;
    item.key = std::string(kHostsPrefix) + m_self.name;
    item.value = formatHostEntry(m_self);
    item.lease = *lease;
    links::StoreChange change;
    change.puts.push_back(std::move(item));
    auto written = co_await store.change(std::move(change), getDeadline());
    if (!written)
        co_return false;
    m_lease = *lease;
    m_entryAttempts = 0;
    co_return true;
}

asio::awaitable<void> Directory::maintainEntry()
{
    auto step = milliseconds(100);
    auto renewedAt = Clock::now();
    while (!m_isStopping) {
        if (m_lease == 0) {
            bool isWritten = co_await writeEntry();
            renewedAt = Clock::now();
            if (!isWritten)
                co_await waitForStore(decisions::getRetryPause(m_entryAttempts, base::getRandom()));
            continue;
        }
        co_await base::sleepFor(step);
        if (Clock::now() - renewedAt < m_timings.lease / 3 || waitsForRelays())
            continue;
        renewedAt = Clock::now();
        auto renewed = co_await m_platform.getStore().renewLease(m_lease, getDeadline());
        if (renewed)
            continue;
        if (renewed.error().kind == StoreErrorKind::NotFound)
            m_lease = 0;
        else
            startProbe();
    }
}

}
