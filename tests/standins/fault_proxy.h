// A TCP proxy on loopback that forwards to one address and can delay or drop data and reset connections.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace standins {

struct LinkFaults {
    std::chrono::milliseconds delay { 0 }; // of each chunk, in both directions
    bool dropsUpstream { false }; // discards data sent to the address
    bool dropsDownstream { false }; // discards data received from the address
};

class FaultProxy {
public:
    FaultProxy(boost::asio::io_context& context, unsigned short port, const std::string& address);

    const std::string& getAddress() const { return m_address; } // listening address
    LinkFaults faults {};
    // Resets all connections. Call it after dropping data, or connections continue with a gap in their stream.
    void resetAll();

private:
    struct ConnectionPair;
    void accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<ConnectionPair> connections);
    boost::asio::awaitable<void> forward(std::shared_ptr<ConnectionPair> connections, bool isUpstream);

    boost::asio::io_context& m_context;
    std::string m_address;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<ConnectionPair>> m_connectionPairs;
};

}
