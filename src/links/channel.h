// One TCP connection that carries messages both ways: split by a function, read with back-pressure, written in batches.
// Callers, targets and peers all use it; what a message means is none of its business.
//
// COMMON MISTAKES
//   - Destroying what the handlers point to while the channel is open: call close() first; no handler runs after it.
//   - Keeping the string_view that onMessage gets: it points into the channel's buffer.
#pragma once
#include "base/clock.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace alderward::links {

// What a splitter found at the start of the buffer.
struct FramedMessage {
    size_t size { 0 }; // bytes of the whole message with its frame; 0: not yet complete
    size_t offset { 0 }; // where the message itself begins
    size_t length { 0 }; // bytes of the message itself
    bool isMalformed { false }; // the bytes can never become a message: the connection is closed
};

// Splits the first message off `buf`. `from` is how far an earlier call has looked in vain.
using MessageSplitter = FramedMessage (*)(std::string_view buf, size_t from);

inline constexpr size_t kMaxMessageSize = 1 << 20; // bytes; the most that a message of the caller's protocol may have

// Messages that end with CR LF.
FramedMessage splitLine(std::string_view buf, size_t from);
// Messages behind a length of four bytes, big-endian.
FramedMessage splitFrame(std::string_view buf, size_t from);
// The frame that splitFrame() reads.
std::string encodeFrame(std::string_view message);

// Opens, binds and listens. The error names the address.
tl::expected<void, std::string> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

struct ChannelOptions {
    MessageSplitter splitter { splitLine };
    size_t maxOutputBytes { 4 << 20 }; // bytes waiting to be written; a far side that reads so slowly is cut off
    base::milliseconds unresponsiveTimeout { 3000 }; // TCP_USER_TIMEOUT and keep-alive: the far host is gone after about this
};

class Channel : public std::enable_shared_from_this<Channel> {
public:
    using MessageHandler = std::function<void(std::string_view message)>;
    using CloseHandler = std::function<void(const std::string& reason)>;

    Channel(boost::asio::any_io_executor executor, ChannelOptions options);
    ~Channel();

    // Takes over an accepted socket. Handlers run on the executor, never from within this call.
    void start(boost::asio::ip::tcp::socket socket, MessageHandler onMessage, CloseHandler onClose);
    // Connects first; what is sent meanwhile waits.
    void connect(const std::string& address, base::milliseconds limit, MessageHandler onMessage, CloseHandler onClose);
    // Queues bytes; those of one turn of the executor leave in one write.
    void send(std::string_view bytes);
    // Closes after everything queued has been written, or after a second. No more messages are read.
    void closeAfterWrite();
    // Closes now. No handler runs after it.
    void close();
    // Stops and resumes reading, so that a far side that asks faster than it is served is held back by TCP.
    void setReadingPaused(bool isPaused);

    bool isConnected() const { return m_isConnected; }
    bool isOpen() const { return m_isOpen; }
    bool wasConnected() const { return m_wasConnected; } // bytes may have reached the far side
    const std::string& getRemoteAddress() const { return m_remote; }

private:
    void applyOptions();
    void read();
    void dispatchMessages();
    void flush();
    void write();
    void fail(const std::string& reason);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    ChannelOptions m_options;
    MessageHandler m_onMessage;
    CloseHandler m_onClose;
    std::string m_input;
    size_t m_scannedBytes { 0 }; // bytes at the start of m_input that hold no end of a message
    std::string m_output; // waiting
    std::string m_writing; // handed to the socket
    std::string m_remote;
    bool m_isOpen { false };
    bool m_isConnected { false };
    bool m_wasConnected { false };
    bool m_isWriting { false };
    bool m_isFlushPosted { false };
    bool m_isReading { false };
    bool m_isPaused { false };
    bool m_isClosingAfterWrite { false };
};

}
