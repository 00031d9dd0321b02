// Peer link: hosts talk over gRPC (src/generated, made from proto/peer.proto). This header keeps gRPC out of everything
// else: requests and replies are the generated messages, calls are coroutines.
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

// Test aid, off unless [debug] allow_faults is set: peers that this process neither calls nor answers.
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
    virtual void stop() = 0; // ends calls in flight after a short grace
};

// Serves peers on `address`; handlers run as coroutines on `contexts` in turn.
tl::expected<std::unique_ptr<PeerServer>, std::string> startPeerServer(
    base::IoContextPool& contexts, const std::string& address, PeerHandlers handlers, const BlockedPeers& blockedPeers);

// Calls to other hosts, over one channel for each address. Thread safe.
class PeerClient {
public:
    virtual ~PeerClient() = default;
    virtual boost::asio::awaitable<LinkResult<peer::RelayReply>> relay(std::string name, std::string address, peer::RelayRequest request, base::milliseconds limit) = 0;
    virtual boost::asio::awaitable<LinkResult<peer::ExchangeReply>> exchange(std::string name, std::string address, peer::ExchangeRequest request, base::milliseconds limit) = 0;
};

std::unique_ptr<PeerClient> makePeerClient(const BlockedPeers& blockedPeers);

}
