#include "links/endpoint.h"
#include "links/http.h"
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace alderward::links {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr auto kUseAwaitable = asio::as_tuple(asio::use_awaitable);
static constexpr base::milliseconds kMaxTransferTime { 20000 }; // of a response's body: the largest one at 3 Mbit/s
static std::atomic<uint64_t> nextRequestId { 1 };

namespace {

class BeastConnection : public HttpConnection {
public:
    BeastConnection(asio::any_io_executor executor, std::string address, HttpClientOptions options)
        : m_stream(executor)
        , m_address(std::move(address))
        , m_options(options)
    {
    }

    asio::awaitable<LinkResult<void>> open(base::TimePoint deadline) override
    {
        auto endpoint = parseEndpoint(m_address);
        if (!endpoint)
            co_return tl::make_unexpected(LinkFailure { false, false, "the address " + endpoint.error() });
        m_stream.expires_at(deadline);
        auto [ec] = co_await m_stream.async_connect(*endpoint, kUseAwaitable);
        m_stream.expires_never();
        if (ec) {
            close();
            co_return tl::make_unexpected(LinkFailure { false, ec == asio::error::connection_refused, ec.message() });
        }
        boost::system::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        m_isOpen = true;
        co_return LinkResult<void> {};
    }

    asio::awaitable<LinkResult<HttpResponse>> exchange(HttpRequest request, base::TimePoint deadline) override
    {
        if (!m_isOpen)
            co_return tl::make_unexpected(LinkFailure { false, false, "not connected" });
        auto requestId = std::to_string(nextRequestId.fetch_add(1));
        auto message = makeMessage(std::move(request), requestId);
        m_stream.expires_at(deadline);
        auto [writeError, written] = co_await http::async_write(m_stream, message, kUseAwaitable);
        m_transferred += written;
        if (writeError)
            co_return failExchange(written > 0, writeError);
        http::response_parser<http::string_body> parser;
        parser.body_limit(m_options.bodyLimit);
        auto readError = co_await readResponse(parser, deadline);
        if (readError)
            co_return failExchange(true, readError);
        m_stream.expires_never();
        auto reply = parser.release();
        if (m_options.expectsRequestId && reply["X-Request-Id"] != requestId) {
            close();
            co_return tl::make_unexpected(LinkFailure { true, false, "response carries another request id" });
        }
        if (!reply.keep_alive())
            close();
        HttpResponse answer;
        answer.status = reply.result_int();
        answer.body = std::move(reply.body());
        co_return answer;
    }

    // Detects an idle connection that the server closed, or on which unexpected bytes arrived. Sending on it would fail with
    // an unknown outcome, although the request could not have run.
    bool isOpen() override
    {
        if (!m_isOpen)
            return false;
        char byte = 0;
        auto n = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        bool isQuiet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (!isQuiet)
            close();
        return isQuiet;
    }

    void close() override
    {
        m_isOpen = false;
        m_stream.close();
    }

    uint64_t getTransferredBytes() const override { return m_transferred; }

private:
    static http::request<http::string_body> makeMessage(HttpRequest request, const std::string& requestId)
    {
        http::request<http::string_body> message { http::string_to_verb(request.method), request.path, 11 };
        message.set(http::field::host, "alderward");
        message.set(http::field::content_type, "application/json");
        message.set("X-Request-Id", requestId);
        if (!request.from.empty())
            message.set("From-Host", request.from);
        for (auto& [name, value] : request.headers)
            message.set(name, value);
        message.body() = std::move(request.body);
        message.prepare_payload();
        return message;
    }

    // A large body on a narrow link takes seconds, so after the header only silence counts, up to a limit for senders that never end.
    asio::awaitable<boost::system::error_code> readResponse(http::response_parser<http::string_body>& parser, base::TimePoint deadline)
    {
        boost::beast::flat_buffer buf;
        parser.eager(true); // reads the body along with the header where it has arrived
        auto [headerError, headerSize] = co_await http::async_read_header(m_stream, buf, parser, kUseAwaitable);
        m_transferred += headerSize;
        if (headerError)
            co_return headerError;
        auto latest = base::Clock::now() + kMaxTransferTime;
        while (!parser.is_done()) {
            auto nextByteDue = std::min(base::Clock::now() + m_options.silenceLimit, latest);
            m_stream.expires_at(std::max(deadline, nextByteDue));
            auto [ec, n] = co_await http::async_read_some(m_stream, buf, parser, kUseAwaitable);
            m_transferred += n;
            if (ec)
                co_return ec;
        }
        co_return boost::system::error_code {};
    }

    tl::unexpected<LinkFailure> failExchange(bool mayHaveArrived, boost::system::error_code ec)
    {
        close();
        return tl::make_unexpected(LinkFailure { mayHaveArrived, ec == asio::error::connection_refused, ec.message(), ec == http::error::body_limit });
    }

    boost::beast::tcp_stream m_stream;
    std::string m_address;
    HttpClientOptions m_options;
    uint64_t m_transferred { 0 };
    bool m_isOpen { false };
};

}

std::unique_ptr<HttpConnection> makeHttpConnection(asio::any_io_executor executor, const std::string& address, HttpClientOptions options)
{
    return std::make_unique<BeastConnection>(executor, address, options);
}

}
