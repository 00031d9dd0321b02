#include "links/endpoint.h"
#include "links/http.h"
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <unordered_set>

namespace alderward::links {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr auto kUseAwaitable = asio::as_tuple(asio::use_awaitable);
static constexpr base::milliseconds kResponseWriteTimeout { 30000 }; // for a client that does not read the response
static constexpr size_t kHeaderLimit = 16 * 1024;

namespace {

struct Connection {
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket))
    {
    }
    boost::beast::tcp_stream stream;
    uint64_t id { 0 };
    bool isBusy { false }; // accessed only on the connection's strand
};

class BeastServer : public HttpServer, public std::enable_shared_from_this<BeastServer> {
public:
    BeastServer(asio::io_context& context, HttpHandler handler, HttpServerOptions options)
        : m_context(context)
        , m_acceptor(asio::make_strand(context))
        , m_handler(std::move(handler))
        , m_options(std::move(options))
    {
    }

    boost::system::error_code listen(const tcp::endpoint& endpoint)
    {
        boost::system::error_code ec;
        m_acceptor.open(endpoint.protocol(), ec);
        if (!ec)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        if (!ec)
            m_acceptor.bind(endpoint, ec);
        if (!ec)
            m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        return ec;
    }

    void start() { asio::co_spawn(m_acceptor.get_executor(), accept(shared_from_this()), asio::detached); }

    void stopAccepting() override
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            boost::system::error_code ec;
            self->m_acceptor.close(ec);
        });
    }

    void closeIdle() override
    {
        m_isClosing = true;
        std::lock_guard lock(m_mutex);
        for (auto& it : m_connections) {
            asio::post(it->stream.get_executor(), [it] {
                if (!it->isBusy)
                    it->stream.close();
            });
        }
    }

    size_t getConnectionCount() const override
    {
        std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

private:
    asio::io_context& getNextContext() { return m_options.nextContext ? m_options.nextContext() : m_context; }

    static asio::awaitable<void> accept(std::shared_ptr<BeastServer> self)
    {
        for (uint64_t next = 1;; ++next) {
            auto [ec, socket] = co_await self->m_acceptor.async_accept(asio::make_strand(self->getNextContext()), kUseAwaitable);
            if (!self->m_acceptor.is_open())
                co_return;
            if (ec) {
                co_await base::sleepFor(base::milliseconds(10)); // out of file descriptors: clients wait in the backlog
                continue;
            }
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto connection = std::make_shared<Connection>(std::move(socket));
            connection->id = next;
            {
                std::lock_guard lock(self->m_mutex);
                self->m_connections.insert(connection);
            }
            auto executor = connection->stream.get_executor();
            asio::co_spawn(executor, serve(self, connection), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<BeastServer> self, std::shared_ptr<Connection> connection)
    {
        while (!self->m_isClosing && co_await self->serveOne(connection)) { }
        connection->stream.close();
        {
            std::lock_guard lock(self->m_mutex);
            self->m_connections.erase(connection);
        }
        if (self->m_options.onClose)
            self->m_options.onClose(connection->id);
    }

    // Waits for the first byte without a buffer, so that idle connections need little memory.
    asio::awaitable<bool> serveOne(std::shared_ptr<Connection> connection)
    {
        auto& stream = connection->stream;
        auto [waitError] = co_await stream.socket().async_wait(tcp::socket::wait_read, kUseAwaitable);
        if (waitError)
            co_return false;
        connection->isBusy = true;
        auto isKeptAlive = co_await readAndAnswer(*connection);
        connection->isBusy = false;
        co_return isKeptAlive;
    }

    asio::awaitable<bool> readAndAnswer(Connection& connection)
    {
        auto& stream = connection.stream;
        boost::beast::flat_buffer buf;
        http::request_parser<http::string_body> parser;
        parser.body_limit(m_options.bodyLimit);
        parser.header_limit(kHeaderLimit);
        // The stream's own timeout would close the socket before the response 408 could be sent.
        bool isLate = false;
        asio::steady_timer timer(stream.get_executor(), m_options.requestTimeout);
        timer.async_wait([&stream, &isLate](boost::system::error_code timerError) {
            if (timerError)
                return;
            isLate = true;
            stream.cancel();
        });
        auto [ec, n] = co_await http::async_read(stream, buf, parser, kUseAwaitable);
        bool hasFired = timer.cancel() == 0 && !isLate;
        if (hasFired) // its handler is queued and refers to this coroutine's frame: let it run first
            co_await asio::post(stream.get_executor(), asio::use_awaitable);
        if (ec) {
            co_await answerError(stream, ec, isLate);
            co_return false;
        }
        auto& message = parser.get();
        bool keepAlive = message.keep_alive();
        std::string requestId(message["X-Request-Id"]);
        HttpRequest request { std::string(message.method_string()), std::string(message.target()), std::move(message.body()), std::string(message["From-Host"]), connection.id };
        for (auto& it : message)
            request.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
        auto answer = co_await m_handler(std::move(request));
        if (answer.mustNotAnswer)
            co_return co_await waitForClose(stream);
        keepAlive = keepAlive && !answer.mustClose && !m_isClosing;
        co_return co_await write(stream, std::move(answer), requestId, keepAlive) && keepAlive;
    }

    asio::awaitable<void> answerError(boost::beast::tcp_stream& stream, boost::system::error_code ec, bool isLate)
    {
        unsigned status = 400;
        if (ec == http::error::body_limit)
            status = 413;
        else if (isLate)
            status = 408;
        else if (ec == http::error::end_of_stream || ec.category() != make_error_code(http::error::bad_method).category())
            co_return;
        if (!m_options.makeErrorResponse || !stream.socket().is_open())
            co_return;
        auto answer = m_options.makeErrorResponse(status);
        if (co_await write(stream, std::move(answer), std::string(), false))
            co_await drainInput(stream);
    }

    // Reads and discards remaining input for a bounded time. Closing with unread input would reset the connection, and the
    // client could lose the response.
    static asio::awaitable<void> drainInput(boost::beast::tcp_stream& stream)
    {
        boost::system::error_code shutdownError;
        stream.socket().shutdown(tcp::socket::shutdown_send, shutdownError);
        std::array<char, 4096> buf;
        stream.expires_after(base::milliseconds(500));
        for (;;) {
            auto [ec, n] = co_await stream.async_read_some(asio::buffer(buf), kUseAwaitable);
            if (ec)
                co_return;
        }
    }

    static asio::awaitable<bool> waitForClose(boost::beast::tcp_stream& stream)
    {
        co_await stream.socket().async_wait(tcp::socket::wait_read, kUseAwaitable);
        co_return false;
    }

    static asio::awaitable<bool> write(boost::beast::tcp_stream& stream, HttpResponse answer, const std::string& requestId, bool keepAlive)
    {
        http::response<http::string_body> message { static_cast<http::status>(answer.status), 11 };
        message.set(http::field::content_type, answer.contentType);
        if (!requestId.empty())
            message.set("X-Request-Id", requestId);
        if (answer.retryAfter.count() > 0)
            message.set(http::field::retry_after, std::to_string((answer.retryAfter.count() + 999) / 1000));
        message.keep_alive(keepAlive);
        message.body() = std::move(answer.body);
        message.prepare_payload();
        stream.expires_after(kResponseWriteTimeout);
        auto [ec, n] = co_await http::async_write(stream, message, kUseAwaitable);
        stream.expires_never();
        co_return !ec;
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    HttpServerOptions m_options;
    std::atomic<bool> m_isClosing { false };
    mutable std::mutex m_mutex;
    std::unordered_set<std::shared_ptr<Connection>> m_connections;
};

// The returned owner of a server; the accept loop holds a reference of its own.
class ServerHandle : public HttpServer {
public:
    explicit ServerHandle(std::shared_ptr<BeastServer> server)
        : m_server(std::move(server))
    {
    }
    void stopAccepting() override { m_server->stopAccepting(); }
    void closeIdle() override { m_server->closeIdle(); }
    size_t getConnectionCount() const override { return m_server->getConnectionCount(); }

private:
    std::shared_ptr<BeastServer> m_server;
};

}

tl::expected<std::unique_ptr<HttpServer>, std::string> startHttpServer(
    asio::io_context& context, const std::string& address, HttpHandler handler, HttpServerOptions options)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return tl::make_unexpected("'" + address + "' " + endpoint.error());
    auto server = std::make_shared<BeastServer>(context, std::move(handler), std::move(options));
    if (auto ec = server->listen(*endpoint))
        return tl::make_unexpected("cannot listen on " + address + ": " + ec.message());
    server->start();
    return std::make_unique<ServerHandle>(server);
}

}
