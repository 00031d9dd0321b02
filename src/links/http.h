// HTTP/1.1 transport for callers, operators, targets and the platform (Boost.Beast, used only in http_*.cpp).
// Errors tell whether a request may have reached the server, so that callers know whether a retry is safe.
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

// A request, on either side.
struct HttpRequest {
    std::string method { "POST" };
    std::string path {};
    std::string body {};
    std::string from {}; // name of the sending process, header "From-Host"
    uint64_t connection { 0 }; // server side: connection number, unique in the process
    std::vector<std::pair<std::string, std::string>> headers {}; // client side: additional headers; server side: all headers received
};

struct HttpResponse {
    unsigned status { 200 };
    std::string body {};
    std::string contentType { "application/json" };
    base::milliseconds retryAfter { 0 }; // sent as Retry-After, rounded up to seconds; 0: not sent
    bool mustClose { false }; // server side: close the connection after this response
    bool mustNotAnswer { false }; // server side: send no response (used by test doubles to simulate network failures)
};

// Why a call failed, and whether the remote end may have processed it.
struct LinkFailure {
    bool mayHaveArrived { false }; // false: no byte of the request can have reached the remote end
    bool wasRefused { false }; // connection refused
    std::string reason {};
    bool isTooLarge { false }; // the response's body exceeds the limit
};

template <typename T>
using LinkResult = tl::expected<T, LinkFailure>;

// ---- server ----

struct HttpServerOptions {
    size_t bodyLimit { 1 << 20 }; // bytes
    base::milliseconds requestTimeout { 10000 }; // from a request's first byte to its last
    std::function<HttpResponse(unsigned status)> makeErrorResponse {}; // response for status 400, 408 or 413
    std::function<void(uint64_t connection)> onClose {}; // called after a connection is closed
    std::function<boost::asio::io_context&()> nextContext {}; // io_context of the next connection; empty: the server's own
};

using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

class HttpServer {
public:
    virtual ~HttpServer() = default;
    virtual void stopAccepting() = 0; // closes the listening socket; open connections continue
    virtual void closeIdle() = 0; // closes each connection as soon as it has no request in flight
    virtual size_t getConnectionCount() const = 0;
};

// Listens on `address` ("127.0.0.1:8080") and serves each connection on a strand of its own.
tl::expected<std::unique_ptr<HttpServer>, std::string> startHttpServer(
    boost::asio::io_context& context, const std::string& address, HttpHandler handler, HttpServerOptions options = {});

// ---- client ----

// Connection to one server, with one request at a time. Not thread safe: use it from one strand only.
// Any failure closes the connection, so that a late response cannot be taken for that of the next request.
class HttpConnection {
public:
    virtual ~HttpConnection() = default;
    // Connects. Failures never have `mayHaveArrived`.
    virtual boost::asio::awaitable<LinkResult<void>> open(base::TimePoint deadline) = 0;
    // Sends one request and reads its response, which must carry the same request id.
    virtual boost::asio::awaitable<LinkResult<HttpResponse>> exchange(HttpRequest request, base::TimePoint deadline) = 0;
    // Whether the connection is usable for the next exchange. Peeks at the socket, so call it between exchanges only.
    virtual bool isOpen() = 0;
    // Closes the connection. An exchange in flight fails with `mayHaveArrived`.
    virtual void close() = 0;
    // HTTP bytes written and read since construction, for metrics.
    virtual uint64_t getTransferredBytes() const = 0;
};

struct HttpClientOptions {
    bool expectsRequestId { true }; // the server echoes X-Request-Id; false for servers of other products
    size_t bodyLimit { 8 << 20 }; // bytes; a larger response fails with `isTooLarge`
    // A response that has begun by the deadline may take longer, while bytes keep arriving within this time. 0: it must be complete by the deadline.
    base::milliseconds silenceLimit { 0 };
};

std::unique_ptr<HttpConnection> makeHttpConnection(boost::asio::any_io_executor executor, const std::string& address, HttpClientOptions options = {});

}
