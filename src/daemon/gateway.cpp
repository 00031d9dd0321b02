#include "daemon/gateway.h"
#include "base/event_log.h"
#include "gateway/gateway.h"
#include "platform/adapter.h"
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <fmt/format.h>

namespace alderward::daemon {

namespace asio = boost::asio;

static constexpr base::milliseconds kFileCheckInterval { 2000 }; // the file may be changed without a SIGHUP

namespace {

// Reloads the settings file on SIGHUP or when its modification time changes.
class SettingsReloader {
public:
    SettingsReloader(std::string path, gateway::Gateway& gateway)
        : m_path(std::move(path))
        , m_gateway(gateway)
        , m_modifiedAt(getModificationTime())
    {
    }

    void reloadIfChanged()
    {
        auto modifiedAt = getModificationTime();
        if (modifiedAt != m_modifiedAt)
            reload("the file changed");
        m_modifiedAt = modifiedAt;
    }

    void reload(std::string_view cause)
    {
        auto text = base::readFile(m_path);
        auto settings = text ? base::parseGatewaySettings(*text, m_path) : tl::make_unexpected(text.error());
        base::logEvent(base::LogClass::State, "settings-read", { { "cause", cause }, { "good", settings.has_value() }, { "problem", settings ? std::string_view() : std::string_view(settings.error()) } });
        if (settings)
            m_gateway.reload(*settings);
    }

private:
    std::filesystem::file_time_type getModificationTime() const
    {
        std::error_code ec;
        return std::filesystem::last_write_time(m_path, ec);
    }

    std::string m_path;
    gateway::Gateway& m_gateway;
    std::filesystem::file_time_type m_modifiedAt;
};

void waitForSignal(asio::signal_set& signals, gateway::Gateway& gateway, SettingsReloader& reloader)
{
    signals.async_wait([&](boost::system::error_code ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP)
            reloader.reload("signal");
        else
            gateway.startShutdown();
        waitForSignal(signals, gateway, reloader);
    });
}

}

int runGateway(const std::string& path, const std::string& text, bool mustOnlyCheck)
{
    auto settings = base::parseGatewaySettings(text, path);
    if (!settings) {
        fmt::print(stderr, "{}\n", settings.error());
        return 2;
    }
    if (mustOnlyCheck) {
        fmt::print("{}: settings are valid\n", path);
        return 0;
    }
    ::signal(SIGPIPE, SIG_IGN);
    base::openEventLog(settings->name, { settings->logLinesPerSecond, settings->logBufferKb * 1024 });
    asio::io_context context(1);
    auto timers = base::makeTimerService();
    auto adapter = platform::makeAdapter(context.get_executor(), { settings->storeAddress, settings->ordersAddress });
    auto* gateway = new gateway::Gateway(context, *timers, *settings, std::move(adapter));
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    SettingsReloader reloader(path, *gateway);
    waitForSignal(signals, *gateway, reloader);
    auto checks = timers->subscribe(context.get_executor(), kFileCheckInterval, [&] { reloader.reloadIfChanged(); });
    auto started = gateway->start();
    if (!started) {
        fmt::print(stderr, "{}\n", started.error());
        return 1;
    }
    context.run();
    base::flushEventLog();
    std::_Exit(0); // skips destructors: the planned stop has completed all work
}

}
