// The daemon: one process per host, without special roles. Connects controllers, links and filters.
#include "base/metrics.h"
#include "base/settings.h"
#include "base/timeline.h"
#include "controllers/groups.h"
#include "daemon/drain.h"
#include "daemon/gateway.h"
#include "daemon/operators.h"
#include "filters/request.h"
#include "links/peer.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace {

namespace asio = boost::asio;
using namespace alderward;
using base::Clock;
using base::milliseconds;

struct CommandLine {
    std::string settingsPath;
    bool mustOnlyCheck { false };
};

CommandLine readCommandLine(int argc, char** argv)
{
    TCLAP::CmdLine command("alderward: database proxy with session consistency. See docs/OPERATIONS.md.", ' ', ALDERWARD_VERSION);
    TCLAP::ValueArg<std::string> settings("s", "settings", "INI file with this host's settings", true, "", "file", command);
    TCLAP::SwitchArg check("c", "check-settings", "Check the settings and exit", command);
    command.parse(argc, argv);
    return { settings.getValue(), check.getValue() };
}

// Counts a request as in flight during its lifetime.
class InFlightGuard {
public:
    explicit InFlightGuard(daemon::DrainState& state)
        : m_state(state)
    {
        ++m_state.requestsInFlight;
        m_state.lastRequestMs = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
    }
    InFlightGuard(const InFlightGuard&) = delete;
    ~InFlightGuard() { --m_state.requestsInFlight; }

private:
    daemon::DrainState& m_state;
};

asio::awaitable<links::HttpResponse> serveCaller(const filters::Services& services, daemon::DrainState& state, links::HttpRequest request)
{
    InFlightGuard guard(state);
    filters::RequestContext context;
    context.path = std::move(request.path);
    context.body = std::move(request.body);
    auto reply = co_await filters::runChain(services, std::move(context));
    links::HttpResponse answer { reply.status, std::move(reply.body) };
    answer.retryAfter = reply.retryAfter;
    answer.mustClose = state.isDraining; // makes the caller reconnect, to another host
    co_return answer;
}

asio::awaitable<peer::RelayReply> serveRelay(const filters::Services& services, daemon::DrainState& state, peer::RelayRequest request)
{
    InFlightGuard guard(state);
    filters::RequestContext context;
    context.path = request.operation();
    context.body = request.body();
    context.remaining = milliseconds(request.remaining_ms());
    context.hops = request.hops();
    auto reply = co_await filters::runChain(services, std::move(context));
    peer::RelayReply answer;
    answer.set_status(reply.status);
    answer.set_body(std::move(reply.body));
    answer.set_retry_after_ms(static_cast<uint32_t>(reply.retryAfter.count()));
    answer.set_not_home(reply.isNotHome);
    co_return answer;
}

links::HttpResponse makeErrorResponse(unsigned status)
{
    auto kind = status == 413 ? decisions::ErrorKind::BodyTooLarge : status == 408 ? decisions::ErrorKind::SlowSender
                                                                                   : decisions::ErrorKind::BadRequest;
    auto reply = filters::replyWithError({ kind, "the request could not be read" }, "");
    return { reply.status, reply.body };
}

// Owns all objects of the process; members are declared in order of construction.
class Daemon {
public:
    explicit Daemon(base::Settings settings)
        : m_settings(std::move(settings))
        , m_contexts(m_settings.threads)
        , m_timers(base::makeTimerService())
        , m_peerClient(links::makePeerClient(m_blockedPeers))
        , m_node { m_settings, m_contexts, *m_timers, *m_peerClient, { m_settings.platformAddress, m_settings.name } }
        , m_configuration(m_node)
        , m_hosts(m_node, m_configuration, base::getWallMs(base::getHybridClock().tick()))
        , m_groups(m_node, m_configuration, m_hosts)
        , m_services { m_node, m_configuration, m_hosts, m_groups, m_drainState.isDraining }
        , m_operatorServices { m_node, m_configuration, m_hosts, m_groups, m_drainState, m_blockedPeers }
        , m_signals(m_contexts.getNext(), SIGTERM, SIGINT)
    {
    }

    tl::expected<void, std::string> start()
    {
        base::getTimeline().setHost(m_settings.name);
        links::PeerHandlers handlers;
        handlers.relay = [this](peer::RelayRequest request) { return serveRelay(m_services, m_drainState, std::move(request)); };
        handlers.exchange = [this](peer::ExchangeRequest request) { return m_hosts.handleExchange(std::move(request)); };
        auto peerServer = links::startPeerServer(m_contexts, m_settings.peerAddress, std::move(handlers), m_blockedPeers);
        if (!peerServer)
            return tl::make_unexpected(peerServer.error());
        m_peerServer = std::move(*peerServer);
        links::HttpServerOptions options;
        options.bodyLimit = static_cast<size_t>(m_settings.bodyLimitKb) * 1024;
        options.requestTimeout = milliseconds(m_settings.requestTimeoutMs);
        options.makeErrorResponse = makeErrorResponse;
        options.nextContext = [this]() -> asio::io_context& { return m_contexts.getNext(); };
        auto callerServer = links::startHttpServer(
            m_contexts.getNext(), m_settings.callerAddress, [this](links::HttpRequest request) { return serveCaller(m_services, m_drainState, std::move(request)); }, options);
        if (!callerServer)
            return tl::make_unexpected(callerServer.error());
        m_callerServer = std::move(*callerServer);
        auto operatorServer = links::startHttpServer(m_contexts.getNext(), m_settings.operatorAddress, [this](links::HttpRequest request) -> asio::awaitable<links::HttpResponse> { co_return daemon::answerOperator(m_operatorServices, request); });
        if (!operatorServer)
            return tl::make_unexpected(operatorServer.error());
        m_operatorServer = std::move(*operatorServer);
        m_groups.start();
        m_hosts.start();
        m_configuration.start([this] { return m_hosts.isWatcher(); });
        waitForSignal();
        base::getTimeline().add("started", "", fmt::format("version {} in {}", ALDERWARD_VERSION, m_settings.dataCentre));
        return {};
    }

    void run() { m_contexts.run(); }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (ec)
                return;
            if (m_drainState.isDraining.exchange(true)) {
                m_drainState.mustStopNow = true;
                return;
            }
            asio::co_spawn(m_contexts.getNext(), stop(), asio::detached);
            waitForSignal();
        });
    }

    asio::awaitable<void> stop()
    {
        co_await daemon::drain(m_node, m_drainState, m_hosts, m_groups, *m_callerServer);
        m_peerServer->stop();
        m_contexts.stop();
    }

    base::Settings m_settings;
    base::IoContextPool m_contexts;
    links::BlockedPeers m_blockedPeers;
    daemon::DrainState m_drainState;
    std::unique_ptr<base::TimerService> m_timers;
    std::unique_ptr<links::PeerClient> m_peerClient;
    controllers::Node m_node;
    controllers::ConfigurationController m_configuration;
    controllers::HostsController m_hosts;
    controllers::GroupsController m_groups;
    filters::Services m_services;
    daemon::OperatorServices m_operatorServices;
    asio::signal_set m_signals;
    std::unique_ptr<links::PeerServer> m_peerServer;
    std::unique_ptr<links::HttpServer> m_callerServer;
    std::unique_ptr<links::HttpServer> m_operatorServer;
};

}

int main(int argc, char** argv)
{
    auto commandLine = readCommandLine(argc, argv);
    auto text = base::readFile(commandLine.settingsPath);
    if (text && base::hasGatewaySection(*text))
        return daemon::runGateway(commandLine.settingsPath, *text, commandLine.mustOnlyCheck);
    auto settings = base::readSettings(commandLine.settingsPath);
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error());
        return 2;
    }
    if (commandLine.mustOnlyCheck) {
        fmt::print("{}: settings are valid\n", commandLine.settingsPath);
        return 0;
    }
    // Never destroyed: the drain has completed all work, so destructors are skipped at exit.
    auto* server = new Daemon(std::move(*settings));
    auto started = server->start();
    if (!started) {
        fmt::print(stderr, "{}\n", started.error());
        return 1;
    }
    server->run();
    std::_Exit(0);
}
