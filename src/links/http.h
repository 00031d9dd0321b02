// HTTP/1.1 carrier for callers, operators, targets and the platform (Boost.Beast, kept inside http_*.cpp).
// Nothing here decides anything: it moves a body there and back and says how far it got.
#pragma once
#include "base/clock.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace alderward::links {

// A request as a server sees it, or as a client sends it.
struct HttpRequest {
    std::string method { "POST" };
    std::string path {};
    std::string body {};
    std::string from {}; // name of the sending process, header "From-Host"
    uint64_t connection { 0 }; // server side: number of the connection, unique in the process
    std::vector<std::pair<std::string, std::string>> headers {}; // client side: further ones to send; server side: all that came
};

struct HttpResponse {
    unsigned status { 200 };
    std::string body {};
    std::string contentType { "application/json" };
    base::milliseconds retryAfter { 0 }; // sent as Retry-After, rounded up to seconds; 0: not sent
    bool mustClose { false }; // server side: close the connection after this answer
    bool mustNotAnswer { false }; // server side: never answer (stand-ins use it for cuts)
};

// Why an exchange failed, and whether the far side may have seen it.
struct LinkFailure {
    bool mayHaveArrived { false }; // false: no byte of the request can have reached the far side
    bool wasRefused { false }; // nothing listens there
    std::string reason {};
};

template <typename T>
using LinkResult = tl::expected<T, LinkFailure>;

// ---- server ----

struct HttpServerOptions {
    size_t bodyLimit { 1 << 20 }; // bytes
    base::milliseconds requestTimeout { 10000 }; // from the first byte of a request to its last
    std::function<HttpResponse(unsigned status)> makeErrorResponse {}; // body for 400, 408 and 413
    std::function<void(uint64_t connection)> onClose {}; // after a connection ended
    std::function<boost::asio::io_context&()> nextContext {}; // where the next connection runs; empty: on the server's own
};

using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

class HttpServer {
public:
    virtual ~HttpServer() = default;
    virtual void stopAccepting() = 0; // closes the listening socket; connections go on until told otherwise
    virtual void closeIdle() = 0; // each connection closes as soon as it has no request in flight
    virtual size_t getConnectionCount() const = 0;
};

// Listens on `address` ("127.0.0.1:8080") and serves each connection on a strand of its own.
tl::expected<std::unique_ptr<HttpServer>, std::string> startHttpServer(
    boost::asio::io_context& context, const std::string& address, HttpHandler handler, HttpServerOptions options = {});

// ---- client ----

// One connection to one server, one request at a time. Not thread safe: use it from one strand only.
// After any failure the connection is closed: an answer that comes late has nowhere to go.
class HttpConnection {
public:
    virtual ~HttpConnection() = default;
    // Connects. A failure never has `mayHaveArrived`.
    virtual boost::asio::awaitable<LinkResult<void>> open(base::TimePoint deadline) = 0;
    // Sends one request and reads its answer, which must carry the same request id.
    virtual boost::asio::awaitable<LinkResult<HttpResponse>> exchange(HttpRequest request, base::TimePoint deadline) = 0;
    // Whether the next exchange has a connection to go out on; looks at the socket, so call it between exchanges only.
    virtual bool isOpen() = 0;
    // Also ends an exchange in flight: it fails as one that may have arrived.
    virtual void close() = 0;
    // Bytes of HTTP written and read since the connection was made, for metrics.
    virtual uint64_t getTransferredBytes() const = 0;
};

struct HttpClientOptions {
    bool expectsRequestId { true }; // the far side repeats X-Request-Id; false for servers that are not ours
};

std::unique_ptr<HttpConnection> makeHttpConnection(boost::asio::any_io_executor executor, const std::string& address, HttpClientOptions options = {});

// Splits "ip:port". The ip must be numeric.
tl::expected<boost::asio::ip::tcp::endpoint, std::string> parseEndpoint(const std::string& address);

}
