#include "standins/fault_proxy.h"
#include "base/clock.h"
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace standins {

namespace asio = boost::asio;
using asio::ip::tcp;

static tcp::endpoint makeLoopback(unsigned short port) { return { asio::ip::address_v4::loopback(), port }; }

struct FaultProxy::ConnectionPair {
    explicit ConnectionPair(tcp::socket socket)
        : client(std::move(socket))
        , upstream(client.get_executor())
    {
    }
    // Sends a TCP reset, so that the remote ends learn that data may be missing.
    void reset()
    {
        boost::system::error_code ec;
        for (auto* it : { &client, &upstream }) {
            it->set_option(asio::socket_base::linger(true, 0), ec);
            it->close(ec);
        }
    }
    tcp::socket client;
    tcp::socket upstream;
};

FaultProxy::FaultProxy(asio::io_context& context, unsigned short port, const std::string& address)
    : m_context(context)
    , m_address(fmt::format("127.0.0.1:{}", port))
    , m_target(makeLoopback(static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1)))))
    , m_acceptor(context, makeLoopback(port))
{
    accept();
}

void FaultProxy::resetAll()
{
    auto allConnections = m_connectionPairs;
    for (auto& it : allConnections)
        it->reset();
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec)
            return;
        auto connections = std::make_shared<ConnectionPair>(std::move(socket));
        m_connectionPairs.insert(connections);
        asio::co_spawn(m_context, connect(connections), asio::detached);
        accept();
    });
}

asio::awaitable<void> FaultProxy::connect(std::shared_ptr<ConnectionPair> connections)
{
    boost::system::error_code ec;
    co_await connections->upstream.async_connect(m_target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        connections->reset();
        m_connectionPairs.erase(connections);
        co_return;
    }
    connections->client.set_option(tcp::no_delay(true), ec);
    connections->upstream.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(m_context, forward(connections, true), asio::detached);
    asio::co_spawn(m_context, forward(connections, false), asio::detached);
}

asio::awaitable<void> FaultProxy::forward(std::shared_ptr<ConnectionPair> connections, bool isUpstream)
{
    auto& from = isUpstream ? connections->client : connections->upstream;
    auto& to = isUpstream ? connections->upstream : connections->client;
    std::array<char, 16384> buf;
    boost::system::error_code ec;
    while (!ec) {
        auto n = co_await from.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (ec || (isUpstream ? faults.dropsUpstream : faults.dropsDownstream))
            continue;
        if (faults.delay.count() > 0)
            co_await alderward::base::sleepFor(faults.delay);
        co_await asio::async_write(to, asio::buffer(buf.data(), n), asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec == asio::error::eof) { // forwards an orderly close
        to.shutdown(tcp::socket::shutdown_send, ec);
        if (isUpstream)
            co_return; // the other direction keeps forwarding
    }
    connections->reset();
    m_connectionPairs.erase(connections);
}

}
