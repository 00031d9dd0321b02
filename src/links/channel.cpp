#include "links/channel.h"
#include "links/http.h"
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

namespace alderward::links {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr size_t kReadSize = 16 * 1024; // bytes; a batch of small messages or a part of a large one
static constexpr size_t kFrameHeader = 4; // bytes
static constexpr size_t kIdleCapacity = 4096; // bytes; a buffer that grew larger is given back once it is empty
static constexpr base::milliseconds kFinishLimit { 1000 }; // for a far side that does not read its last answer

Split splitLine(std::string_view buf, size_t from)
{
    auto end = buf.find('\n', from);
    if (end == std::string_view::npos)
        return { .isBad = buf.size() > kMessageLimit };
    bool isBad = end == 0 || buf[end - 1] != '\r' || end > kMessageLimit;
    return { end + 1, 0, end == 0 ? 0 : end - 1, isBad };
}

Split splitFrame(std::string_view buf, size_t)
{
    if (buf.size() < kFrameHeader)
        return {};
    size_t length = 0;
    for (size_t i = 0; i < kFrameHeader; ++i)
        length = length << 8 | static_cast<unsigned char>(buf[i]);
    if (length > 2 * kMessageLimit) // a message of the caller's protocol and what a relay adds to it
        return { .isBad = true };
    if (buf.size() < kFrameHeader + length)
        return {};
    return { kFrameHeader + length, kFrameHeader, length, false };
}

std::string makeFrame(std::string_view message)
{
    std::string frame;
    frame.reserve(kFrameHeader + message.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>(message.size() >> shift & 0xff));
    frame.append(message);
    return frame;
}

tl::expected<void, std::string> beginListening(tcp::acceptor& acceptor, const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return tl::make_unexpected(endpoint.error());
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

void Channel::begin(tcp::socket socket, MessageHandler onMessage, CloseHandler onClose)
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
        asio::post(m_socket.get_executor(), [self = shared_from_this(), reason = endpoint.error()] { self->fail(reason); });
        return;
    }
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && !self->m_isConnected)
            self->fail("connecting timed out");
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

// Without these a far host that lost its power is never found out: it sends no reset.
void Channel::applyOptions()
{
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    m_socket.set_option(tcp::no_delay(true), ec);
    m_socket.set_option(asio::socket_base::keep_alive(true), ec);
    int fd = m_socket.native_handle();
    auto limit = static_cast<int>(m_options.silentLimit.count());
    int second = 1;
    int probes = std::max(1, limit / 1000 - 1);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void Channel::read()
{
    if (!m_isOpen || m_isReading || m_isPaused || m_isFinishing)
        return;
    m_isReading = true;
    // Waiting without a buffer keeps an idle connection small: there may be thousands.
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code ec) {
        self->m_isReading = false;
        if (!self->m_isOpen)
            return;
        if (ec) {
            self->fail(ec.message());
            return;
        }
        auto size = self->m_in.size();
        self->m_in.resize(size + kReadSize);
        auto n = self->m_socket.read_some(asio::buffer(self->m_in.data() + size, kReadSize), ec);
        self->m_in.resize(size + n);
        if (ec && ec != asio::error::would_block) {
            self->fail(ec == asio::error::eof ? "closed by the far side" : ec.message());
            return;
        }
        self->takeMessages();
        self->read();
    });
}

void Channel::takeMessages()
{
    size_t taken = 0;
    auto self = shared_from_this();
    while (m_isOpen && !m_isPaused && !m_isFinishing) {
        std::string_view rest(m_in.data() + taken, m_in.size() - taken);
        auto split = m_options.splitter(rest, m_scanned);
        if (split.isBad) {
            fail("malformed message");
            return;
        }
        if (split.size == 0) {
            m_scanned = rest.size();
            break;
        }
        m_scanned = 0;
        taken += split.size;
        m_onMessage(rest.substr(split.offset, split.length));
    }
    if (!m_isOpen)
        return;
    m_in.erase(0, taken);
    if (m_in.empty() && m_in.capacity() > kIdleCapacity)
        std::string().swap(m_in);
}

void Channel::send(std::string_view bytes)
{
    if (!m_isOpen)
        return;
    if (m_out.size() + m_writing.size() + bytes.size() > m_options.outputLimit) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_isOpen)
                self->fail("the far side does not read");
        });
        return;
    }
    m_out.append(bytes);
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
    if (m_out.empty()) {
        if (m_isFinishing)
            close();
        return;
    }
    m_isWriting = true;
    m_writing.swap(m_out);
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](boost::system::error_code ec, size_t) {
        self->m_isWriting = false;
        self->m_writing.clear();
        if (self->m_writing.capacity() > kIdleCapacity)
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

void Channel::finish()
{
    if (!m_isOpen || m_isFinishing)
        return;
    m_isFinishing = true;
    m_timer.expires_after(kFinishLimit);
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
    // Handlers may own what owns this channel, so they go once this turn is over.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_onMessage = nullptr;
        self->m_onClose = nullptr;
    });
}

void Channel::setPaused(bool isPaused)
{
    if (m_isPaused == isPaused)
        return;
    m_isPaused = isPaused;
    if (isPaused)
        return;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_isOpen || self->m_isPaused)
            return;
        self->takeMessages();
        self->read();
    });
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
