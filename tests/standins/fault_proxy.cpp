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

struct FaultProxy::Pair {
    explicit Pair(tcp::socket socket)
        : near(std::move(socket))
        , far(near.get_executor())
    {
    }
    // A reset, not an orderly end: the far side learns that something may be missing.
    void reset()
    {
        boost::system::error_code ec;
        for (auto* it : { &near, &far }) {
            it->set_option(asio::socket_base::linger(true, 0), ec);
            it->close(ec);
        }
    }
    tcp::socket near;
    tcp::socket far;
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
    auto pairs = m_pairs;
    for (auto& it : pairs)
        it->reset();
}

void FaultProxy::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (ec)
            return;
        auto pair = std::make_shared<Pair>(std::move(socket));
        m_pairs.insert(pair);
        asio::co_spawn(m_context, connect(pair), asio::detached);
        accept();
    });
}

asio::awaitable<void> FaultProxy::connect(std::shared_ptr<Pair> pair)
{
    boost::system::error_code ec;
    co_await pair->far.async_connect(m_target, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        pair->reset();
        m_pairs.erase(pair);
        co_return;
    }
    pair->near.set_option(tcp::no_delay(true), ec);
    pair->far.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(m_context, pump(pair, true), asio::detached);
    asio::co_spawn(m_context, pump(pair, false), asio::detached);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<Pair> pair, bool isThere)
{
    auto& from = isThere ? pair->near : pair->far;
    auto& to = isThere ? pair->far : pair->near;
    std::array<char, 16384> buf;
    boost::system::error_code ec;
    while (!ec) {
        auto n = co_await from.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        if (ec || (isThere ? faults.swallowsThere : faults.swallowsBack))
            continue;
        if (faults.delay.count() > 0)
            co_await alderward::base::sleepFor(faults.delay);
        co_await asio::async_write(to, asio::buffer(buf.data(), n), asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec == asio::error::eof) { // an orderly end stays one
        to.shutdown(tcp::socket::shutdown_send, ec);
        if (isThere)
            co_return; // what the address still sends is passed on
    }
    pair->reset();
    m_pairs.erase(pair);
}

}
