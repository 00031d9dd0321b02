#include "links/endpoint.h"
#include <charconv>

namespace alderward::links {

namespace asio = boost::asio;
using asio::ip::tcp;

tl::expected<tcp::endpoint, std::string> parseEndpoint(const std::string& address)
{
    auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return tl::make_unexpected("is not of the form ip:port");
    boost::system::error_code ec;
    auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    if (ec)
        return tl::make_unexpected("does not begin with a numeric IP address");
    uint16_t port = 0;
    auto* begin = address.data() + colon + 1;
    auto* end = address.data() + address.size();
    auto parsed = std::from_chars(begin, end, port);
    if (begin == end || parsed.ec != std::errc() || parsed.ptr != end)
        return tl::make_unexpected("does not end with a port from 0 to 65535");
    return tcp::endpoint(ip, port);
}

tl::expected<tcp::endpoint, std::string> parseRemoteEndpoint(const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint;
    if (endpoint->port() == 0)
        return tl::make_unexpected("has port 0");
    if (endpoint->address().is_unspecified() || endpoint->address().is_multicast())
        return tl::make_unexpected("is not the IP address of one machine");
    return endpoint;
}

}
