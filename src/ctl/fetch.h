// One JSON document from an operators' address.
#pragma once
#include "base/clock.h"
#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>
#include <optional>
#include <string>

namespace alderward::ctl {

boost::asio::awaitable<std::optional<boost::json::object>> fetchJson(std::string address, std::string path, base::TimePoint deadline);

}
