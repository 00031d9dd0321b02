#include "links/channel.h"
#include "links/endpoint.h"
#include "links/http.h"
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <poll.h>

namespace alderward::links {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr size_t kReadSize = 16 * 1024; // bytes per read
static constexpr size_t kFrameHeaderSize = 4; // bytes
static constexpr size_t kMaxIdleCapacity = 4096; // bytes; larger buffers are freed once empty
static constexpr base::milliseconds kCloseTimeout { 1000 }; // for a remote end that does not read the last message

FramedMessage splitLine(std::string_view buf, size_t from)
{
    auto end = buf.find('\n', from);
    if (end == std::string_view::npos)
        return { .isMalformed = buf.size() > kMaxMessageSize };
    bool isMalformed = end == 0 || buf[end - 1] != '\r' || end > kMaxMessageSize;
    return { end + 1, 0, end == 0 ? 0 : end - 1, isMalformed };
}

FramedMessage splitFrame(std::string_view buf, size_t)
{
    if (buf.size() < kFrameHeaderSize)
        return {};
    size_t length = 0;
    for (size_t i = 0; i < kFrameHeaderSize; ++i)
        length = length << 8 | static_cast<unsigned char>(buf[i]);
    if (length > 2 * kMaxMessageSize) // a caller's message plus the fields that a relay adds
        return { .isMalformed = true };
    if (buf.size() < kFrameHeaderSize + length)
        return {};
    return { kFrameHeaderSize + length, kFrameHeaderSize, length, false };
}

std::string encodeFrame(std::string_view message)
{
    std::string frame;
    frame.reserve(kFrameHeaderSize + message.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>(message.size() >> shift & 0xff));
    frame.append(message);
    return frame;
}

tl::expected<void, std::string> listenOn(tcp::acceptor& acceptor, const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return tl::make_unexpected("'" + address + "' " + endpoint.error());
    boost::system::error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(*endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return tl::make_unexpected(address + ": " + ec.message());
    return {};
}

Channel::Channel(asio::any_io_executor executor, ChannelOptions options)
    : m_socket(executor)
    , m_timer(executor)
    , m_options(options)
{
}

Channel::~Channel() = default;

void Channel::start(tcp::socket socket, MessageHandler onMessage, CloseHandler onClose)
{
    m_socket = std::move(socket);
    m_onMessage = std::move(onMessage);
    m_onClose = std::move(onClose);
    m_isOpen = true;
    m_isConnected = true;
    m_wasConnected = true;
    boost::system::error_code ec;
    auto endpoint = m_socket.remote_endpoint(ec);
    if (!ec)
        m_remote = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    applyOptions();
    read();
}

void Channel::connect(const std::string& address, base::milliseconds limit, MessageHandler onMessage, CloseHandler onClose)
{
    m_onMessage = std::move(onMessage);
    m_onClose = std::move(onClose);
    m_remote = address;
    m_isOpen = true;
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), reason = "the address " + endpoint.error()] { self->fail(reason); });
        return;
    }
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && !self->m_isConnected)
            self->fail("connection attempt timed out");
    });
    m_socket.async_connect(*endpoint, [self = shared_from_this()](boost::system::error_code ec) {
        if (!self->m_isOpen)
            return;
        self->m_timer.cancel();
        if (ec) {
            self->fail(ec.message());
            return;
        }
        self->m_isConnected = true;
        self->m_wasConnected = true;
        self->applyOptions();
        self->read();
        self->flush();
    });
}

// Detects a remote host that disappeared without closing the connection, for example by power loss.
void Channel::applyOptions()
{
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    m_socket.set_option(tcp::no_delay(true), ec);
    m_socket.set_option(asio::socket_base::keep_alive(true), ec);
    int fd = m_socket.native_handle();
    auto limit = static_cast<int>(m_options.unresponsiveTimeout.count());
    int second = 1;
    int probes = std::max(1, limit / 1000 - 1);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void Channel::read()
{
    if (!m_isOpen || m_isReading || m_isPaused || m_isClosingAfterWrite)
        return;
    m_isReading = true;
    // Waits without a buffer, so that thousands of idle connections need little memory.
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code ec) {
        self->m_isReading = false;
        if (!self->m_isOpen)
            return;
        if (ec) {
            self->fail(ec.message());
            return;
        }
        auto size = self->m_input.size();
        self->m_input.resize(size + kReadSize);
        auto n = self->m_socket.read_some(asio::buffer(self->m_input.data() + size, kReadSize), ec);
        self->m_input.resize(size + n);
        if (ec && ec != asio::error::would_block) {
            self->fail(ec == asio::error::eof ? "connection closed by the remote end" : ec.message());
            return;
        }
        self->dispatchMessages();
        self->read();
    });
}

void Channel::dispatchMessages()
{
    size_t consumed = 0;
    auto self = shared_from_this();
    while (m_isOpen && !m_isPaused && !m_isClosingAfterWrite) {
        std::string_view rest(m_input.data() + consumed, m_input.size() - consumed);
        auto split = m_options.splitter(rest, m_scannedBytes);
        if (split.isMalformed) {
            fail("malformed message");
            return;
        }
        if (split.size == 0) {
            m_scannedBytes = rest.size();
            break;
        }
        m_scannedBytes = 0;
        consumed += split.size;
        m_onMessage(rest.substr(split.offset, split.length));
    }
    if (!m_isOpen)
        return;
    m_input.erase(0, consumed);
    if (m_input.empty() && m_input.capacity() > kMaxIdleCapacity)
        std::string().swap(m_input);
}

void Channel::send(std::string_view bytes)
{
    if (!m_isOpen)
        return;
    if (m_output.size() + m_writing.size() + bytes.size() > m_options.maxOutputBytes) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_isOpen)
                self->fail("output buffer full: the remote end does not read");
        });
        return;
    }
    m_output.append(bytes);
    flush();
}

void Channel::flush()
{
    if (m_isFlushPosted || m_isWriting || !m_isConnected)
        return;
    m_isFlushPosted = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isFlushPosted = false;
        self->write();
    });
}

void Channel::write()
{
    if (!m_isOpen || m_isWriting || !m_isConnected)
        return;
    if (m_output.empty()) {
        if (m_isClosingAfterWrite)
            close();
        return;
    }
    m_isWriting = true;
    m_writing.swap(m_output);
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](boost::system::error_code ec, size_t) {
        self->m_isWriting = false;
        self->m_writing.clear();
        if (self->m_writing.capacity() > kMaxIdleCapacity)
            std::string().swap(self->m_writing);
        if (!self->m_isOpen)
            return;
        if (ec) {
            self->fail(ec.message());
            return;
        }
        self->write();
    });
}

void Channel::closeAfterWrite()
{
    if (!m_isOpen || m_isClosingAfterWrite)
        return;
    m_isClosingAfterWrite = true;
    m_timer.expires_after(kCloseTimeout);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->close();
    });
    if (!m_isWriting)
        flush();
}

void Channel::close()
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_isConnected = false;
    boost::system::error_code ec;
    m_timer.cancel();
    m_socket.shutdown(tcp::socket::shutdown_both, ec);
    m_socket.close(ec);
    // Handlers may own this channel's owner, so they are destroyed after the current handler has returned.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_onMessage = nullptr;
        self->m_onClose = nullptr;
    });
}

void Channel::setReadingPaused(bool isPaused)
{
    if (m_isPaused == isPaused)
        return;
    m_isPaused = isPaused;
    if (isPaused)
        return;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isOpen || self->m_isPaused)
            return;
        self->dispatchMessages();
        self->read();
    });
}

RemoteEnd Channel::checkRemoteEnd()
{
    if (!m_isOpen)
        return RemoteEnd::Reset;
    if (!m_isConnected)
        return RemoteEnd::Open;
    pollfd fd { m_socket.native_handle(), POLLRDHUP, 0 };
    if (::poll(&fd, 1, 0) <= 0)
        return RemoteEnd::Open;
    return (fd.revents & (POLLERR | POLLHUP)) != 0 ? RemoteEnd::Reset : RemoteEnd::SendingEnded;
}

bool Channel::hasUnreadBytes() const
{
    boost::system::error_code ec;
    return m_isConnected && m_socket.available(ec) > 0 && !ec;
}

void Channel::fail(const std::string& reason)
{
    if (!m_isOpen)
        return;
    auto handler = m_onClose;
    close();
    if (handler)
        handler(reason);
}

}
