// Fetches JSON documents from hosts.
#pragma once
#include "base/clock.h"
#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace alderward::ctl {

// Returns nullopt if the host does not answer by the deadline or the body is not a JSON object.
boost::asio::awaitable<std::optional<boost::json::object>> fetchJson(std::string address, std::string path, base::TimePoint deadline);

// By address; empty for a host that does not answer.
using Documents = std::map<std::string, std::optional<boost::json::object>>;

// Fetches the document at `path` from all addresses at once.
boost::asio::awaitable<Documents> fetchDocuments(std::vector<std::string> addresses, std::string path);
// Prints how many hosts answered, and those that did not. Returns kExitFailed if there are any.
int printAnswered(const Documents& documents);

}
