// The chain that a caller's request passes: admit, decode, deadline, route, execute or relay. Each filter either ends the
// request with a reply or lets it go on. Duplicates are found in the database, where request keys live with their writes.
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

// What a request has become on its way through the chain.
struct RequestContext {
    std::string path {}; // /v1/statement, ...
    std::string body {}; // as it came
    base::TimePoint receivedAt {};
    std::optional<base::milliseconds> remaining {}; // relayed requests: what the sender left of the deadline
    unsigned hops { 0 }; // relays so far
    // set by decode
    std::string group {};
    decisions::SessionMarks marks {};
    std::optional<std::string> readKind {};
    std::optional<base::milliseconds> deadline {};
    controllers::GroupRequest request {};
    // set by route
    controllers::GroupEntry entry {};
};

// The answer to a caller, ready for the carrier.
struct Reply {
    unsigned status { 200 };
    std::string body {};
    base::milliseconds retryAfter { 0 };
    bool isNotHome { false }; // to a relay: nothing ran here, ask another home
};

// What filters may use.
struct Services {
    controllers::Node& node;
    controllers::ConfigurationController& configuration;
    controllers::HostsController& hosts;
    controllers::GroupsController& groups;
    const std::atomic<bool>& isDraining;
};

using Filter = std::function<boost::asio::awaitable<std::optional<Reply>>(const Services&, RequestContext&)>;

// The chain in order; the last filter always replies.
const std::vector<Filter>& getChain();
boost::asio::awaitable<Reply> runChain(const Services& services, RequestContext context);

Reply replyWithError(const decisions::Error& error, const std::string& session);
// Reads the body into `context`; the error names the field. Free of I/O, so that tests can call it.
decisions::Result<void> decodeRequest(RequestContext& context, const std::string& sessionKey);

}
