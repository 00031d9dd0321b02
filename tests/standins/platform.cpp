// Stand-in for the platform: a key-value store with compare-and-swap, leases and watches, and the host list under
// platform/hosts/. Tests can make it stop answering, delay or drop replies, and block hosts.
#include "links/http.h"
#include "links/json_fields.h"
#include "standins/answers.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <set>
#include <tclap/CmdLine.h>

namespace asio = boost::asio;
namespace json = boost::json;
using namespace alderward;
using base::Clock;
using base::milliseconds;
using links::getNumber;
using links::getString;
using links::HttpRequest;
using links::HttpResponse;
using standins::makeDroppedResponse;
using standins::makeJsonResponse;

namespace {

constexpr size_t kMaxValueBytes = 1 << 20;

struct StoredValue {
    std::string value;
    uint64_t revision { 0 };
    uint64_t lease { 0 };
};

struct StoreEvent {
    std::string key;
    StoredValue stored;
    bool isDeleted { false };
};

class Platform {
public:
    explicit Platform(asio::io_context& context)
        : m_context(context)
    {
    }

    asio::awaitable<HttpResponse> handle(HttpRequest request)
    {
        auto body = links::parseObject(request.body.empty() ? "{}" : request.body);
        if (!body)
            co_return HttpResponse { 400, "{}" };
        if (request.path.starts_with("/admin/"))
            co_return handleAdmin(request.path, *body);
        ++m_calls;
        ++m_callsByPath[request.path];
        if (m_isDown || m_blockedPeers.contains(request.from))
            co_return makeDroppedResponse();
        if (m_delay.count() > 0)
            co_await base::sleepFor(m_delay);
        if (request.path == "/kv/cas")
            co_await waitForConcurrentSwaps();
        auto answer = co_await handleStore(request.path, *body);
        if (m_isDown || m_blockedPeers.contains(request.from))
            co_return makeDroppedResponse();
        if (m_repliesToDrop > 0 && request.path == "/kv/cas") {
            --m_repliesToDrop;
            co_return makeDroppedResponse();
        }
        co_return answer;
    }

    asio::awaitable<void> expireLeases()
    {
        for (;;) {
            co_await base::sleepFor(milliseconds(50));
            auto now = Clock::now();
            for (auto it = m_leases.begin(); it != m_leases.end();) {
                bool isOver = it->second < now;
                if (isOver)
                    deleteLeased(it->first);
                it = isOver ? m_leases.erase(it) : std::next(it);
            }
        }
    }

private:
    // Delays compare-and-swap calls until the requested number has arrived, so that they run concurrently.
    asio::awaitable<void> waitForConcurrentSwaps()
    {
        ++m_arrivedSwaps;
        auto until = Clock::now() + milliseconds(5000);
        while (m_arrivedSwaps < m_expectedSwaps && Clock::now() < until)
            co_await base::sleepFor(milliseconds(5));
    }

    asio::awaitable<HttpResponse> handleStore(const std::string& path, const json::object& body)
    {
        if (path == "/kv/get")
            co_return get(getString(body, "key"));
        if (path == "/kv/list")
            co_return list(body);
        if (path == "/kv/cas")
            co_return compareAndSwap(body);
        if (path == "/kv/watch")
            co_return co_await watch(body);
        if (path == "/lease/grant") {
            m_leases[++m_lastLease] = Clock::now() + milliseconds(getNumber(body, "ttlMs"));
            co_return makeJsonResponse({ { "lease", m_lastLease } });
        }
        if (path == "/lease/keepalive") {
            auto it = m_leases.find(getNumber(body, "lease"));
            if (it == m_leases.end())
                co_return makeJsonResponse({ { "error", "lease has expired" } }, 404);
            it->second = Clock::now() + milliseconds(getNumber(body, "ttlMs"));
            co_return makeJsonResponse({});
        }
        co_return HttpResponse { 404, "{}" };
    }

    HttpResponse get(const std::string& key) const
    {
        auto it = m_data.find(key);
        if (it == m_data.end())
            return makeJsonResponse({ { "revision", 0 } });
        return makeJsonResponse({ { "value", it->second.value }, { "revision", it->second.revision } });
    }

    HttpResponse list(const json::object& body) const
    {
        json::array entries;
        for (auto& prefix : getPrefixes(body)) {
            for (auto it = m_data.lower_bound(prefix); it != m_data.end() && it->first.starts_with(prefix); ++it)
                entries.push_back({ { "key", it->first }, { "value", it->second.value }, { "revision", it->second.revision } });
        }
        return makeJsonResponse({ { "entries", std::move(entries) }, { "revision", m_revision } });
    }

    HttpResponse compareAndSwap(const json::object& body)
    {
        auto key = getString(body, "key");
        auto value = getString(body, "value");
        if (value.size() > kMaxValueBytes)
            return makeJsonResponse({ { "error", "value is too large" } }, 413);
        auto it = m_data.find(key);
        auto current = it == m_data.end() ? StoredValue {} : it->second;
        if (current.revision != getNumber(body, "expectRevision"))
            return makeJsonResponse({ { "swapped", false }, { "value", current.value }, { "revision", current.revision } });
        put(key, value, getNumber(body, "lease"));
        return makeJsonResponse({ { "swapped", true }, { "revision", m_revision } });
    }

    void put(const std::string& key, const std::string& value, uint64_t lease)
    {
        m_data[key] = { value, ++m_revision, lease };
        addEvent({ key, m_data[key], false });
    }

    void addEvent(StoreEvent event)
    {
        m_events.push_back(std::move(event));
        if (m_events.size() > 1000)
            compact(m_events.front().stored.revision);
        for (auto* it : m_waiters)
            it->cancel();
    }

    void compact(uint64_t revision)
    {
        while (!m_events.empty() && m_events.front().stored.revision <= revision)
            m_events.pop_front();
        m_compactedRevision = std::max(m_compactedRevision, revision);
    }

    void deleteLeased(uint64_t lease)
    {
        for (auto it = m_data.begin(); it != m_data.end();) {
            if (it->second.lease != lease) {
                ++it;
                continue;
            }
            addEvent({ it->first, { "", ++m_revision, 0 }, true });
            it = m_data.erase(it);
        }
    }

    static std::vector<std::string> getPrefixes(const json::object& body)
    {
        std::vector<std::string> prefixes;
        if (auto* list = body.if_contains("prefixes"); list && list->is_array()) {
            for (auto& it : list->get_array())
                prefixes.emplace_back(it.get_string());
        }
        return prefixes;
    }

    asio::awaitable<HttpResponse> watch(const json::object& body)
    {
        auto prefixes = getPrefixes(body);
        auto after = getNumber(body, "afterRevision");
        auto until = Clock::now() + milliseconds(getNumber(body, "waitMs"));
        auto startEpoch = m_watchEpoch;
        for (;;) {
            if (after < m_compactedRevision)
                co_return makeJsonResponse({ { "compacted", true }, { "revision", m_revision } });
            auto events = collectEvents(prefixes, after);
            if (!events.empty() || Clock::now() >= until || startEpoch != m_watchEpoch)
                co_return makeJsonResponse({ { "events", std::move(events) }, { "revision", m_revision } });
            asio::steady_timer timer(m_context);
            timer.expires_at(until);
            m_waiters.push_back(&timer);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            std::erase(m_waiters, &timer);
            if (m_isDown)
                co_return makeDroppedResponse();
        }
    }

    json::array collectEvents(const std::vector<std::string>& prefixes, uint64_t after) const
    {
        json::array events;
        for (auto& it : m_events) {
            bool matches = std::ranges::any_of(prefixes, [&](const std::string& prefix) { return it.key.starts_with(prefix); });
            if (it.stored.revision > after && matches)
                events.push_back({ { "key", it.key }, { "value", it.stored.value }, { "revision", it.stored.revision }, { "deleted", it.isDeleted } });
        }
        return events;
    }

    HttpResponse handleAdmin(const std::string& path, const json::object& body)
    {
        if (path == "/admin/set") {
            if (body.contains("down"))
                m_isDown = links::getBool(body, "down");
            if (body.contains("gatherSwaps")) {
                m_expectedSwaps = getNumber(body, "gatherSwaps");
                m_arrivedSwaps = 0;
            }
            if (body.contains("delayMs"))
                m_delay = milliseconds(getNumber(body, "delayMs"));
            if (body.contains("loseAnswers"))
                m_repliesToDrop = getNumber(body, "loseAnswers");
            standins::applyBlockedPeers(body, m_blockedPeers);
            ++m_watchEpoch;
            for (auto* it : m_waiters)
                it->cancel();
            return makeJsonResponse({});
        }
        if (path == "/admin/compact") {
            compact(m_revision);
            return makeJsonResponse({});
        }
        if (path == "/admin/put") { // a write by the platform itself, such as the host list
            auto key = getString(body, "key");
            auto value = getString(body, "value");
            asio::co_spawn(m_context, putAfterDelay(key, value, milliseconds(getNumber(body, "lagMs"))), asio::detached);
            return makeJsonResponse({});
        }
        json::object calls;
        for (auto& [name, n] : m_callsByPath)
            calls[name] = n;
        return makeJsonResponse({ { "calls", m_calls }, { "byPath", std::move(calls) }, { "revision", m_revision } });
    }

    asio::awaitable<void> putAfterDelay(std::string key, std::string value, milliseconds lag)
    {
        if (lag.count() > 0)
            co_await base::sleepFor(lag);
        put(key, value, 0);
    }

    asio::io_context& m_context;
    std::map<std::string, StoredValue> m_data;
    std::deque<StoreEvent> m_events;
    std::map<uint64_t, Clock::time_point> m_leases;
    std::vector<asio::steady_timer*> m_waiters;
    std::set<std::string> m_blockedPeers;
    std::map<std::string, uint64_t> m_callsByPath;
    uint64_t m_revision { 0 };
    uint64_t m_compactedRevision { 0 };
    uint64_t m_lastLease { 0 };
    uint64_t m_calls { 0 };
    uint64_t m_repliesToDrop { 0 };
    uint64_t m_watchEpoch { 0 };
    milliseconds m_delay { 0 };
    uint64_t m_expectedSwaps { 0 };
    uint64_t m_arrivedSwaps { 0 };
    bool m_isDown { false };
};

}

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Stand-in for the platform's key-value service and host list.", ' ', ALDERWARD_VERSION);
    TCLAP::ValueArg<std::string> address("", "address", "Listening address", true, "", "ip:port", command);
    command.parse(argc, argv);
    asio::io_context context(1);
    Platform platform(context);
    links::HttpServerOptions options;
    options.bodyLimit = 4 << 20;
    auto server = links::startHttpServer(
        context, address.getValue(), [&platform](HttpRequest request) { return platform.handle(std::move(request)); }, options);
    if (!server) {
        fmt::print(stderr, "{}\n", server.error());
        return 1;
    }
    asio::co_spawn(context, platform.expireLeases(), asio::detached);
    context.run();
}
