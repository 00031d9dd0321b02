// TCP connection for framed messages in both directions, with back-pressure on reads and batched writes. Used for callers,
// targets and peers; the message format is up to the caller of this class.
//
// COMMON MISTAKES
//   - Destroying objects that the handlers use while the channel is open. Call close() first; no handler runs after it.
//   - Keeping the string_view passed to onMessage. It points into the channel's buffer.
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

// First message of a buffer, as found by a splitter.
struct FramedMessage {
    size_t size { 0 }; // bytes including the frame; 0: incomplete
    size_t offset { 0 }; // start of the payload
    size_t length { 0 }; // bytes of the payload
    bool isMalformed { false }; // cannot become a valid message; the channel fails
};

// Finds the first message of `buf`. Bytes before `from` were scanned by an earlier call that found the message incomplete.
using MessageSplitter = FramedMessage (*)(std::string_view buf, size_t from);

inline constexpr size_t kMaxMessageSize = 1 << 20; // bytes of one message of the callers' protocol

// Splits messages terminated by CR LF.
FramedMessage splitLine(std::string_view buf, size_t from);
// Splits messages prefixed by their length in four bytes, big-endian.
FramedMessage splitFrame(std::string_view buf, size_t from);
// Prefixes a message with its length, as splitFrame() reads it.
std::string encodeFrame(std::string_view message);

// Opens, binds and listens on "ip:port". The error names the address.
tl::expected<void, std::string> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address);

struct ChannelOptions {
    MessageSplitter splitter { splitLine };
    size_t maxOutputBytes { 4 << 20 }; // bytes waiting to be written; with more, the channel fails
    base::milliseconds unresponsiveTimeout { 3000 }; // TCP_USER_TIMEOUT and keep-alive: fails after about this long without a response from the remote host
};

// Whether the remote end can still send and receive, as far as this host has been told.
enum class RemoteEnd {
    Open,
    SendingEnded, // it has closed the connection or only its sending direction; the two cannot be told apart without sending to it
    Reset,
};

class Channel : public std::enable_shared_from_this<Channel> {
public:
    using MessageHandler = std::function<void(std::string_view message)>;
    using CloseHandler = std::function<void(const std::string& reason)>;

    Channel(boost::asio::any_io_executor executor, ChannelOptions options);
    ~Channel();

    // Takes ownership of an accepted socket. Handlers run on the executor, never from within this call.
    void start(boost::asio::ip::tcp::socket socket, MessageHandler onMessage, CloseHandler onClose);
    // Connects within `limit`. Messages sent meanwhile are queued. Errors, including a timeout, go to `onClose`.
    void connect(const std::string& address, base::milliseconds limit, MessageHandler onMessage, CloseHandler onClose);
    // Queues bytes. Those queued by the same handler are written together.
    void send(std::string_view bytes);
    // Closes once all queued bytes are written, or after a second. Stops reading.
    void closeAfterWrite();
    // Closes immediately. No handler runs afterwards.
    void close();
    // Stops or resumes reading, so that TCP flow control slows down the sender.
    void setReadingPaused(bool isPaused);
    // Reads nothing, so it also works while reading is paused and unread messages precede the end of the connection.
    RemoteEnd checkRemoteEnd();

    // Whether the socket holds bytes that have not been read.
    bool hasUnreadBytes() const;

    bool isConnected() const { return m_isConnected; }
    bool isOpen() const { return m_isOpen; }
    bool wasConnected() const { return m_wasConnected; } // also after closing: bytes may have reached the remote end
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
    size_t m_scannedBytes { 0 }; // bytes at the start of m_input known to hold no complete message
    std::string m_output; // queued
    std::string m_writing; // passed to the socket
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
