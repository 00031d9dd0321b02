#include "gateway/host_entry.h"
#include "links/endpoint.h"
#include "links/json_fields.h"

namespace alderward::gateway {

namespace json = boost::json;

static constexpr size_t kMaxNameBytes = 200; // the platform's limit of a key, which a host's name is part of

static bool isName(const std::string& text)
{
    return !text.empty() && text.size() <= kMaxNameBytes;
}

std::string formatHostEntry(const links::RegisteredHost& host)
{
    return json::serialize(json::object { { "address", host.address }, { "dataCentre", host.dataCentre }, { "incarnation", host.incarnation } });
}

std::optional<links::RegisteredHost> parseHostEntry(const std::string& name, const std::string& text)
{
    auto object = links::parseObject(text);
    auto* incarnation = object ? object->if_contains("incarnation") : nullptr;
    if (!incarnation)
        return std::nullopt;
    links::RegisteredHost host { name, links::getString(*object, "address"), links::getString(*object, "dataCentre"), 0 };
    boost::system::error_code ec;
    host.incarnation = incarnation->to_number<uint64_t>(ec);
    bool isUsable = !ec && isName(host.name) && isName(host.dataCentre) && links::parseRemoteEndpoint(host.address);
    return isUsable ? std::optional(host) : std::nullopt;
}

}
