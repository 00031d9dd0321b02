#include "links/peer.h"
#include "base/metrics.h"
#include "generated/peer.grpc.pb.h"
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <grpcpp/grpcpp.h>
#include <map>
#include <mutex>

namespace alderward::links {

namespace asio = boost::asio;

static constexpr base::milliseconds kShutdownGracePeriod { 200 };
// HTTP/2 pings detect a frozen host, which keeps its connections open. Pending calls then fail with `mayHaveArrived`.
static constexpr int kPingIntervalMs = 500;
static constexpr int kPingTimeoutMs = 400;
static constexpr size_t kIdleCleanupThreshold = 32; // channels; with more, idle ones are closed
static constexpr base::milliseconds kChannelIdleTimeout { 10000 };
static constexpr int kMinReconnectBackoffMs = 50;
static constexpr int kMaxReconnectBackoffMs = 500;

void BlockedPeers::set(std::set<std::string> names)
{
    std::lock_guard lock(m_mutex);
    m_names = std::move(names);
    m_isEmpty = m_names.empty();
}

bool BlockedPeers::contains(const std::string& name) const
{
    if (m_isEmpty.load(std::memory_order_relaxed))
        return false;
    std::lock_guard lock(m_mutex);
    return m_names.contains(name);
}

namespace {

// ---- server ----

class PeerService : public peer::Peer::CallbackService {
public:
    PeerService(base::IoContextPool& contexts, PeerHandlers handlers, const BlockedPeers& blockedPeers)
        : m_contexts(contexts)
        , m_handlers(std::move(handlers))
        , m_blockedPeers(blockedPeers)
    {
    }

    grpc::ServerUnaryReactor* Relay(grpc::CallbackServerContext* call, const peer::RelayRequest* request, peer::RelayReply* reply) override
    {
        return serve(call, request, reply, m_handlers.relay);
    }

    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* call, const peer::ExchangeRequest* request, peer::ExchangeReply* reply) override
    {
        return serve(call, request, reply, m_handlers.exchange);
    }

private:
    // Deletes itself when the call is done.
    struct Reactor : grpc::ServerUnaryReactor {
        void OnDone() override { delete this; }
    };

    template <typename Request, typename Reply, typename Handler>
    grpc::ServerUnaryReactor* serve(grpc::CallbackServerContext*, const Request* request, Reply* reply, const Handler& handler)
    {
        auto* reactor = new Reactor;
        base::getHybridClock().merge(request->clock());
        bool isBlocked = m_blockedPeers.contains(request->from());
        asio::co_spawn(asio::make_strand(m_contexts.getNext()), run(handler, *request, reply, reactor, isBlocked), asio::detached);
        return reactor;
    }

    template <typename Request, typename Reply, typename Handler>
    asio::awaitable<void> run(const Handler& handler, Request request, Reply* reply, Reactor* reactor, bool isBlocked)
    {
        auto from = request.from();
        if (!isBlocked)
            *reply = co_await handler(std::move(request));
        reply->set_clock(base::getHybridClock().tick());
        // A blocked peer gets no response before its deadline and cannot tell whether its request was run.
        if (isBlocked || m_blockedPeers.contains(from))
            co_await base::sleepFor(base::milliseconds(3000));
        reactor->Finish(isBlocked ? grpc::Status(grpc::StatusCode::DEADLINE_EXCEEDED, "cut") : grpc::Status::OK);
    }

    base::IoContextPool& m_contexts;
    PeerHandlers m_handlers;
    const BlockedPeers& m_blockedPeers;
};

class GrpcServer : public PeerServer {
public:
    GrpcServer(base::IoContextPool& contexts, PeerHandlers handlers, const BlockedPeers& blockedPeers)
        : m_service(contexts, std::move(handlers), blockedPeers)
    {
    }

    bool listen(const std::string& address)
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kPingIntervalMs / 2);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        return m_server && port != 0;
    }

    void stop() override
    {
        if (m_server)
            m_server->Shutdown(std::chrono::system_clock::now() + kShutdownGracePeriod);
    }

    ~GrpcServer() override { stop(); }

private:
    PeerService m_service;
    std::unique_ptr<grpc::Server> m_server;
};

// ---- client ----

class GrpcClient : public PeerClient {
public:
    explicit GrpcClient(const BlockedPeers& blockedPeers)
        : m_blockedPeers(blockedPeers)
    {
    }

    asio::awaitable<LinkResult<peer::RelayReply>> relay(std::string name, std::string address, peer::RelayRequest request, base::milliseconds limit) override
    {
        base::count(base::Counter::RelayBytes, request.ByteSizeLong());
        co_return co_await call<peer::RelayReply>(name, address, std::move(request), limit, [](auto* async, auto* context, auto* sent, auto* received, auto done) {
            async->Relay(context, sent, received, std::move(done));
        });
    }

    asio::awaitable<LinkResult<peer::ExchangeReply>> exchange(std::string name, std::string address, peer::ExchangeRequest request, base::milliseconds limit) override
    {
        auto reply = co_await call<peer::ExchangeReply>(name, address, std::move(request), limit, [](auto* async, auto* context, auto* sent, auto* received, auto done) {
            async->Exchange(context, sent, received, std::move(done));
        });
        co_return reply;
    }

private:
    template <typename Request, typename Reply>
    struct Call {
        grpc::ClientContext context;
        Request request;
        Reply reply;
    };

    template <typename Reply, typename Request, typename StartCall>
    asio::awaitable<LinkResult<Reply>> call(std::string name, std::string address, Request request, base::milliseconds limit, StartCall startCall)
    {
        if (m_blockedPeers.contains(name)) {
            co_await base::sleepFor(limit);
            co_return tl::make_unexpected(LinkFailure { true, false, "cut" });
        }
        auto state = std::make_shared<Call<Request, Reply>>();
        state->request = std::move(request);
        state->request.set_clock(base::getHybridClock().tick());
        state->context.set_deadline(std::chrono::system_clock::now() + limit);
        auto stub = getStub(address);
        auto status = co_await asio::async_initiate<const asio::use_awaitable_t<>, void(grpc::Status)>(
            [&](auto handler) {
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                startCall(stub->async(), &state->context, &state->request, &state->reply, [shared, state](grpc::Status result) {
                    auto executor = asio::get_associated_executor(*shared);
                    asio::post(executor, [shared, result]() mutable { (*shared)(result); });
                });
            },
            asio::use_awaitable);
        if (!status.ok())
            co_return tl::make_unexpected(describeFailure(status));
        base::getHybridClock().merge(state->reply.clock());
        co_return std::move(state->reply);
    }

    // A request is known to be unsent only if the channel had no connection. The server never returns UNAVAILABLE itself, so
    // this message can only come from the local channel.
    static LinkFailure describeFailure(const grpc::Status& status)
    {
        bool wasNeverSent = status.error_code() == grpc::StatusCode::UNAVAILABLE && status.error_message().starts_with("failed to connect to all addresses");
        return { !wasNeverSent, wasNeverSent, status.error_message() };
    }

    std::shared_ptr<peer::Peer::Stub> getStub(const std::string& address)
    {
        std::lock_guard lock(m_mutex);
        auto now = base::Clock::now();
        if (m_channels.size() > kIdleCleanupThreshold)
            std::erase_if(m_channels, [now](auto& it) { return now - it.second.usedAt > kChannelIdleTimeout; });
        auto& channel = m_channels[address];
        channel.usedAt = now;
        auto& stub = channel.stub;
        if (!stub) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kPingIntervalMs);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kPingTimeoutMs);
            arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
            stub = peer::Peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return stub;
    }

    // Calls in flight hold the stub, and through it the gRPC channel, after the entry is erased.
    struct Channel {
        std::shared_ptr<peer::Peer::Stub> stub;
        base::TimePoint usedAt {};
    };

    const BlockedPeers& m_blockedPeers;
    std::mutex m_mutex;
    std::map<std::string, Channel> m_channels; // by address
};

}

tl::expected<std::unique_ptr<PeerServer>, std::string> startPeerServer(
    base::IoContextPool& contexts, const std::string& address, PeerHandlers handlers, const BlockedPeers& blockedPeers)
{
    auto server = std::make_unique<GrpcServer>(contexts, std::move(handlers), blockedPeers);
    if (!server->listen(address))
        return tl::make_unexpected("cannot listen for peers on " + address);
    return server;
}

std::unique_ptr<PeerClient> makePeerClient(const BlockedPeers& blockedPeers)
{
    return std::make_unique<GrpcClient>(blockedPeers);
}

}
