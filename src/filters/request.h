// The filter chain of callers' requests: decode, deadline, check for a configuration, routing, execution or relay. A filter
// either replies or passes the request on. Members detect duplicates by the request keys that they store with writes.
#pragma once
#include "controllers/groups.h"
#include "decisions/errors.h"
#include "decisions/session.h"
#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace alderward::filters {

// The state of a request in the chain.
struct RequestContext {
    std::string path {}; // /v1/statement, ...
    std::string body {}; // JSON as received
    base::TimePoint receivedAt {};
    std::optional<base::milliseconds> remaining {}; // relayed requests: time until the deadline at the sender
    unsigned hops { 0 }; // number of relays so far
    // set by decode
    std::string group {};
    decisions::SessionMarks marks {};
    std::optional<std::string> readKind {};
    std::optional<base::milliseconds> deadline {};
    controllers::GroupRequest request {};
    // set by route
    controllers::GroupEntry entry {};
};

// The reply to a caller, independent of its transport.
struct Reply {
    unsigned status { 200 };
    std::string body {};
    base::milliseconds retryAfter { 0 };
    bool isNotHome { false }; // of a relayed request: nothing ran, this host is not a home
};

// The services available to filters.
struct Services {
    controllers::Node& node;
    controllers::ConfigurationController& configuration;
    controllers::HostsController& hosts;
    controllers::GroupsController& groups;
    const std::atomic<bool>& isDraining;
};

using Filter = std::function<boost::asio::awaitable<std::optional<Reply>>(const Services&, RequestContext&)>;

// The filters in their order. The last one always replies.
const std::vector<Filter>& getChain();
boost::asio::awaitable<Reply> runChain(const Services& services, RequestContext context);

Reply replyWithError(const decisions::Error& error, const std::string& session);
// Parses the body into `context`. Errors name the invalid field. Does no I/O.
decisions::Result<void> decodeRequest(RequestContext& context, const std::string& sessionKey);

}
