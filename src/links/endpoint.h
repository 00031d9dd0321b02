// Addresses of the form ip:port, with a numeric IP address.
#pragma once
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <tl/expected.hpp>

namespace alderward::links {

// An address to listen on or to connect to. The error says what is wrong, without the text itself, which another program may have written.
tl::expected<boost::asio::ip::tcp::endpoint, std::string> parseEndpoint(const std::string& address);
// An address of another process: neither port 0 nor an unspecified or multicast IP address.
tl::expected<boost::asio::ip::tcp::endpoint, std::string> parseRemoteEndpoint(const std::string& address);

}
