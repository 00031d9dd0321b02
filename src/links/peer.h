// gRPC between hosts (src/generated, from proto/peer.proto), wrapped in coroutines so that other code does not depend on
// gRPC. Requests and replies are the generated messages.
#pragma once
#include "base/clock.h"
#include "base/contexts.h"
#include "generated/peer.pb.h"
#include "links/http.h"
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace alderward::links {

// Test aid for network partitions, off unless [debug] allow_faults is set: peers that this process neither calls nor answers.
class BlockedPeers {
public:
    void set(std::set<std::string> names);
    bool contains(const std::string& name) const;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_names;
    std::atomic<bool> m_isEmpty { true };
};

struct PeerHandlers {
    std::function<boost::asio::awaitable<peer::RelayReply>(peer::RelayRequest)> relay;
    std::function<boost::asio::awaitable<peer::ExchangeReply>(peer::ExchangeRequest)> exchange;
};

class PeerServer {
public:
    virtual ~PeerServer() = default;
    virtual void stop() = 0; // waits briefly for calls in flight, then cancels them
};

// Serves peers on `address`; handlers run as coroutines on `contexts`, round-robin.
tl::expected<std::unique_ptr<PeerServer>, std::string> startPeerServer(
    base::IoContextPool& contexts, const std::string& address, PeerHandlers handlers, const BlockedPeers& blockedPeers);

// Calls to other hosts, with one gRPC channel per address. Thread safe.
class PeerClient {
public:
    virtual ~PeerClient() = default;
    virtual boost::asio::awaitable<LinkResult<peer::RelayReply>> relay(std::string name, std::string address, peer::RelayRequest request, base::milliseconds limit) = 0;
    virtual boost::asio::awaitable<LinkResult<peer::ExchangeReply>> exchange(std::string name, std::string address, peer::ExchangeRequest request, base::milliseconds limit) = 0;
};

std::unique_ptr<PeerClient> makePeerClient(const BlockedPeers& blockedPeers);

}
