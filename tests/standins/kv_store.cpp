#include "standins/kv_store.h"
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <stdexcept>

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace alderward;
using alderward::links::HttpResponse;
using Clock = std::chrono::steady_clock;

static constexpr size_t kMaxPageItems = 500;
static constexpr size_t kMaxPageBytes = 1 << 20;
static constexpr uint64_t kFirstStartMs = 1789000000000; // ms since 1970

static std::string encode(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    text.resize(static_cast<size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
    return text;
}

static std::string decode(const std::string& text)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    auto n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    auto padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1
                                                                  : 0;
    bytes.resize(static_cast<size_t>(std::max(0, n - padding)));
    return bytes;
}

static std::string getQueryParameter(const std::string& path, const std::string& name)
{
    auto at = path.find(name + "=");
    if (at == std::string::npos)
        return "";
    auto raw = path.substr(at + name.size() + 1);
    raw = raw.substr(0, raw.find('&'));
    std::string text;
    for (size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
            text += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else
            text += raw[i];
    }
    return text;
}

static HttpResponse makeResponse(unsigned status, const json::value& body)
{
    HttpResponse answer;
    answer.status = status;
    answer.body = json::serialize(body);
    return answer;
}

KvStore::KvStore(asio::io_context& context, unsigned short port, std::vector<LineGroup*> groups)
    : m_context(context)
    , m_address(fmt::format("127.0.0.1:{}", port))
    , m_groups(std::move(groups))
{
    auto server = links::startHttpServer(context, m_address, [this](links::HttpRequest request) { return serve(std::move(request)); });
    if (!server)
        throw std::runtime_error(server.error());
    m_server = std::move(*server);
}

void KvStore::put(const std::string& key, const std::string& value, uint64_t lease)
{
    auto& item = m_items[key];
    item.value = value;
    for (auto& [from, to] : advertisedAddresses) {
        if (auto at = item.value.find('"' + from + '"'); at != std::string::npos)
            item.value.replace(at + 1, from.size(), to);
    }
    item.lease = lease;
    item.revision = ++m_revision;
    if (item.createRevision == 0)
        item.createRevision = m_revision;
    m_changes.push_back({ m_revision, key, false, item });
}

void KvStore::remove(const std::string& key)
{
    if (m_items.erase(key) > 0)
        m_changes.push_back({ ++m_revision, key, true, {} });
}

void KvStore::setLeaving(const std::string& member, bool isLeaving)
{
    if (isLeaving)
        m_leavingMembers.insert(member);
    else
        m_leavingMembers.erase(member);
    registerMembers();
}

void KvStore::registerMembers()
{
    auto isGone = [this](const std::string& id) { return std::ranges::none_of(m_groups, [&](auto* group) { return std::ranges::find(group->getIds(), id) != group->getIds().end(); }); };
    auto registered = std::exchange(m_registeredMembers, {});
    for (auto& id : registered) {
        if (isGone(id))
            remove("servers/" + id);
    }
    for (auto* group : m_groups) {
        for (auto& id : group->getIds()) {
            json::object entry { { "Service", group->getName() }, { "Address", group->getAddress(id) }, { "Zone", "dc-" + id.substr(id.size() - 1) }, { "Version", "v1" }, { "Slots", 4 }, { "State", m_leavingMembers.contains(id) ? "draining" : "ready" }, { "ColdLeftMs", 0 }, { "DbRole", group->getPrimary() == id ? "primary" : "replica" }, { "Sequence", 1 }, { "born", kFirstStartMs + group->getStartCount(id) } };
            auto address = advertisedAddresses.find(group->getAddress(id));
            if (address != advertisedAddresses.end())
                entry["Address"] = address->second;
            auto value = json::serialize(entry);
            m_registeredMembers.insert(id);
            auto it = m_items.find("servers/" + id);
            if (it == m_items.end() || it->second.value != value)
                put("servers/" + id, value);
        }
    }
}

void KvStore::compact()
{
    m_changes.clear();
    m_compactedRevision = m_revision;
}

void KvStore::expire()
{
    auto now = Clock::now();
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (now < it->second.first) {
            ++it;
            continue;
        }
        auto ended = it->first;
        it = m_leases.erase(it);
        auto items = m_items;
        for (auto& [key, item] : items) {
            if (item.lease == ended)
                remove(key);
        }
    }
}

// One page: it ends with the item that reaches one of the limits.
HttpResponse KvStore::list(const std::string& prefix, const std::string& after)
{
    json::array items;
    size_t bytes = 0;
    bool hasMore = false;
    for (auto it = m_items.upper_bound(after); it != m_items.end(); ++it) {
        auto& [key, item] = *it;
        if (!key.starts_with(prefix))
            continue;
        if (items.size() >= kMaxPageItems || bytes >= kMaxPageBytes) {
            hasMore = true;
            break;
        }
        items.push_back({ { "Key", key }, { "Value", encode(item.value) }, { "Revision", item.revision }, { "CreateRev", item.createRevision }, { "Lease", item.lease } });
        bytes += item.value.size();
    }
    auto response = makeResponse(200, json::object { { "items", items }, { "HasMore", hasMore }, { "CurrentRev", m_revision } });
    m_readBytes += response.body.size();
    return response;
}

asio::awaitable<HttpResponse> KvStore::watch(std::string prefix, uint64_t after, int waitMs)
{
    auto until = Clock::now() + milliseconds(waitMs);
    for (;;) {
        if (after < m_compactedRevision)
            co_return makeResponse(410, json::object {});
        json::array events;
        for (auto& it : m_changes) {
            if (it.revision <= after || !it.key.starts_with(prefix))
                continue;
            if (it.isDeleted)
                events.push_back({ { "Key", it.key }, { "Revision", it.revision }, { "Tombstone", true } });
            else
                events.push_back({ { "Key", it.key }, { "Value", encode(it.item.value) }, { "Revision", it.revision }, { "CreateRev", it.item.createRevision }, { "Lease", it.item.lease } });
        }
        bool isOver = Clock::now() >= until;
        if (!faults.hasSilentWatches && (!events.empty() || isOver)) {
            auto response = makeResponse(200, json::object { { "events", events }, { "CurrentRev", m_revision } });
            m_readBytes += response.body.size();
            co_return response;
        }
        co_await base::sleepFor(milliseconds(5));
    }
}

HttpResponse KvStore::executeTransaction(const std::string& body)
{
    auto request = json::parse(body).as_object();
    json::array conflicts;
    bool hasExpectedRevisions = true;
    for (auto& it : request["Expect"].as_array()) {
        auto& row = it.as_object();
        std::string key(row["Key"].as_string());
        auto found = m_items.find(key);
        auto revision = found == m_items.end() ? 0 : found->second.revision;
        hasExpectedRevisions = hasExpectedRevisions && revision == row["Revision"].to_number<uint64_t>();
        if (found != m_items.end())
            conflicts.push_back({ { "Key", key }, { "Value", encode(found->second.value) }, { "Revision", revision } });
    }
    if (!hasExpectedRevisions)
        return makeResponse(412, json::object { { "items", conflicts } });
    for (auto& it : request["Puts"].as_array()) {
        auto lease = it.as_object()["Lease"].to_number<uint64_t>();
        if (lease != 0 && !m_leases.contains(lease))
            return makeResponse(404, json::object {});
    }
    for (auto& it : request["Puts"].as_array()) {
        auto& row = it.as_object();
        put(std::string(row["Key"].as_string()), decode(std::string(row["Value"].as_string())), row["Lease"].to_number<uint64_t>());
    }
    for (auto& it : request["Deletes"].as_array())
        remove(std::string(it.as_string()));
    return makeResponse(200, json::object { { "Revision", m_revision } });
}

static std::string getHeader(const links::HttpRequest& request, const std::string& name)
{
    for (auto& [known, value] : request.headers) {
        if (known == name)
            return value;
    }
    return "";
}

static std::string getOrderingHost(const links::HttpRequest& request)
{
    return getHeader(request, "Duty-Holder");
}

bool KvStore::executePromotion(LineGroup& group, const std::string& member)
{
    if (faults.promotionDelay.count() == 0)
        return group.promote(member);
    auto timer = std::make_shared<asio::steady_timer>(m_context, faults.promotionDelay);
    timer->async_wait([this, timer, &group, member](boost::system::error_code ec) {
        if (!ec && group.promote(member))
            registerMembers();
    });
    return true;
}

HttpResponse KvStore::promote(const links::HttpRequest& request)
{
    PromotionRequest promotion;
    promotion.host = getOrderingHost(request);
    promotion.token = std::stoull(getHeader(request, "Fencing-Token"));
    auto body = json::parse(request.body).as_object();
    promotion.group = body["Service"].as_string();
    promotion.member = body["Id"].as_string();
    auto& highest = m_highestTokens[promotion.group];
    promotion.status = promotion.token < highest ? 409 : 200;
    highest = std::max(highest, promotion.token);
    for (auto* group : m_groups) {
        if (promotion.status == 200 && group->getName() == promotion.group && !executePromotion(*group, promotion.member))
            promotion.status = 409;
    }
    m_promotions.push_back(promotion);
    registerMembers();
    return makeResponse(promotion.status, json::object { { "Error", promotion.status == 409 ? "refused" : "" } });
}

void KvStore::promoteLater(const links::HttpRequest& request, milliseconds delay)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, request](boost::system::error_code ec) {
        if (!ec)
            promote(request);
    });
}

asio::awaitable<HttpResponse> KvStore::serve(links::HttpRequest request)
{
    ++m_calls;
    expire();
    HttpResponse dropped;
    dropped.mustNotAnswer = true;
    auto& path = request.path;
    if (path == "/promote") {
        if (faults.refusesPromotions)
            co_return makeResponse(503, json::object {});
        if (faults.ignoredHosts.contains(getOrderingHost(request)))
            co_return dropped;
        if (faults.unansweredOrderDelay.count() > 0) {
            promoteLater(request, faults.unansweredOrderDelay);
            co_return dropped;
        }
        auto answer = promote(request);
        co_return faults.losesPromotionReplies ? dropped : answer;
    }
    if (faults.delay.count() > 0)
        co_await alderward::base::sleepFor(faults.delay);
    if (faults.isSilent)
        co_return dropped;
    if (faults.status != 0)
        co_return makeResponse(faults.status, json::object {});
    if (path.starts_with("/-/kv-key")) {
        auto key = getQueryParameter(path, "Key");
        if (faults.refusedKeys.contains(key))
            co_return makeResponse(503, json::object {});
        auto it = m_items.find(key);
        if (it == m_items.end())
            co_return makeResponse(404, json::object {});
        co_return makeResponse(200, json::object { { "Key", key }, { "Value", encode(it->second.value) }, { "Revision", it->second.revision }, { "Lease", it->second.lease }, { "CurrentRev", m_revision } });
    }
    if (path.starts_with("/-/kv-range"))
        co_return list(getQueryParameter(path, "Prefix"), getQueryParameter(path, "after"));
    m_watches += path.starts_with("/-/kv-watch") ? 1 : 0;
    if (path.starts_with("/-/kv-watch"))
        co_return co_await watch(getQueryParameter(path, "Prefix"), std::stoull(getQueryParameter(path, "after")), std::stoi(getQueryParameter(path, "WaitMs")));
    if (path == "/-/kv-txn") {
        auto answer = executeTransaction(request.body);
        if (faults.droppedChangeReplies > 0) {
            --faults.droppedChangeReplies;
            co_return dropped;
        }
        co_return answer;
    }
    if (path == "/-/kv-lease") {
        milliseconds ttl(json::parse(request.body).as_object()["TtlMs"].to_number<int64_t>());
        m_leases[++m_lastLease] = { Clock::now() + ttl, ttl };
        co_return makeResponse(200, json::object { { "Lease", m_lastLease }, { "TtlMs", ttl.count() } });
    }
    if (path.starts_with("/-/kv-keep/")) {
        auto it = m_leases.find(std::stoull(path.substr(11)));
        if (it == m_leases.end())
            co_return makeResponse(404, json::object {});
        it->second.first = Clock::now() + it->second.second;
        co_return makeResponse(200, json::object { { "TtlMs", it->second.second.count() } });
    }
    co_return makeResponse(404, json::object {});
}

}
