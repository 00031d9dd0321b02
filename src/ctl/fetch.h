// Fetches JSON documents from a host's operators' address.
#pragma once
#include "base/clock.h"
#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <optional>
#include <string>

namespace alderward::ctl {

// Returns nullopt if the host does not answer by the deadline or the body is not a JSON object.
boost::asio::awaitable<std::optional<boost::json::object>> fetchJson(std::string address, std::string path, base::TimePoint deadline);

}
