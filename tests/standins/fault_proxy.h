// A loopback proxy before one address that delays, swallows or resets what passes. Runs on one io_context.
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
    std::chrono::milliseconds delay { 0 }; // of each piece, either way
    bool swallowsThere { false }; // bytes towards the address are taken and lost
    bool swallowsBack { false }; // bytes from it likewise
};

class FaultProxy {
public:
    FaultProxy(boost::asio::io_context& context, unsigned short port, const std::string& address);

    const std::string& getAddress() const { return m_address; } // where it listens
    LinkFaults faults {};
    // Ends all connections with a reset. Those on which bytes were lost should end this way, or they would go on with a gap.
    void resetAll();

private:
    struct Pair;
    void accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<Pair> pair);
    boost::asio::awaitable<void> pump(std::shared_ptr<Pair> pair, bool isThere);

    boost::asio::io_context& m_context;
    std::string m_address;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Pair>> m_pairs;
};

}
