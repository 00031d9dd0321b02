#include "base/event_log.h"
#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <mutex>
#include <unistd.h>

namespace alderward::base {

namespace {

constexpr int kBurstSeconds = 2; // a budget that was not used may be saved up for this long
constexpr size_t kClasses = 3;
constexpr milliseconds kLeftOutInterval { 1000 }; // between two lines on what was left out

// One class's allowance, filled once a second.
struct Allowance {
    double lines { 0 };
    double perSecond { 0 };
};

struct EventLog {
    std::mutex mutex;
    std::string host;
    LogBudget budget;
    std::array<Allowance, kClasses> allowances;
    TimePoint refilledAt {};
    std::string buffer; // waiting for the reader
    uint64_t written { 0 };
    uint64_t leftOut { 0 };
    uint64_t leftOutSaid { 0 };
    TimePoint leftOutSaidAt {};
    bool isBegun { false };
};

EventLog& getLog()
{
    static EventLog log;
    return log;
}

void applyBudget(EventLog& log)
{
    auto lines = static_cast<double>(log.budget.linesPerSecond);
    log.allowances[static_cast<size_t>(LogClass::State)].perSecond = lines;
    log.allowances[static_cast<size_t>(LogClass::Failure)].perSecond = lines * 0.75;
    log.allowances[static_cast<size_t>(LogClass::Request)].perSecond = lines * 0.25;
}

void refill(EventLog& log, TimePoint now)
{
    std::chrono::duration<double> passed = now - log.refilledAt;
    log.refilledAt = now;
    for (auto& it : log.allowances)
        it.lines = std::min(it.perSecond * kBurstSeconds, it.lines + it.perSecond * std::min(passed.count(), static_cast<double>(kBurstSeconds)));
}

std::string formatValue(const LogField& field)
{
    if (auto* text = std::get_if<std::string_view>(&field.value))
        return boost::json::serialize(boost::json::string(*text));
    if (auto* number = std::get_if<int64_t>(&field.value))
        return fmt::format("{}", *number);
    if (auto* real = std::get_if<double>(&field.value))
        return fmt::format("{:.3f}", *real);
    return std::get<bool>(field.value) ? "true" : "false";
}

std::string formatLine(const std::string& host, std::string_view event, std::initializer_list<LogField> fields)
{
    auto steady = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
    auto wall = std::chrono::system_clock::now();
    auto ms = std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count() % 1000;
    auto line = fmt::format(R"({{"t":{}.{:03},"wall":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","host":"{}","event":"{}")", steady / 1000, steady % 1000,
        fmt::gmtime(std::chrono::system_clock::to_time_t(wall)), ms, host, event);
    for (auto& it : fields)
        line += fmt::format(R"(,"{}":{})", it.name, formatValue(it));
    return line + "}\n";
}

// Only ever writes as much as the reader takes now.
void writeOut(EventLog& log)
{
    while (!log.buffer.empty()) {
        auto n = ::write(STDOUT_FILENO, log.buffer.data(), log.buffer.size());
        if (n <= 0)
            return;
        log.buffer.erase(0, static_cast<size_t>(n));
    }
}

bool append(EventLog& log, std::string line)
{
    if (log.buffer.size() + line.size() > static_cast<size_t>(log.budget.bufferBytes))
        writeOut(log);
    if (log.buffer.size() + line.size() > static_cast<size_t>(log.budget.bufferBytes))
        return false;
    log.buffer += line;
    ++log.written;
    return true;
}

}

void beginEventLog(std::string host, const LogBudget& budget)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    log.host = std::move(host);
    log.budget = budget;
    applyBudget(log);
    log.refilledAt = Clock::now() - std::chrono::seconds(kBurstSeconds);
    log.isBegun = true;
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void setLogBudget(const LogBudget& budget)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    log.budget = budget;
    applyBudget(log);
}

bool hasLogBudget(LogClass logClass)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    if (!log.isBegun)
        return false;
    refill(log, Clock::now());
    bool has = log.allowances[static_cast<size_t>(logClass)].lines >= 1;
    if (!has)
        ++log.leftOut;
    return has;
}

void logEvent(LogClass logClass, std::string_view event, std::initializer_list<LogField> fields)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    if (!log.isBegun)
        return;
    refill(log, Clock::now());
    auto& allowance = log.allowances[static_cast<size_t>(logClass)];
    if (allowance.lines < 1 || !append(log, formatLine(log.host, event, fields))) {
        ++log.leftOut;
        return;
    }
    allowance.lines -= 1;
}

void flushEventLog()
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    if (!log.isBegun)
        return;
    auto now = Clock::now();
    if (log.leftOut > log.leftOutSaid && now - log.leftOutSaidAt >= kLeftOutInterval) {
        log.leftOutSaidAt = now;
        auto n = static_cast<int64_t>(log.leftOut - log.leftOutSaid);
        if (append(log, formatLine(log.host, "lines-left-out", { { "lines", n } })))
            log.leftOutSaid = log.leftOut;
    }
    writeOut(log);
}

LogCounts getLogCounts()
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    return { log.written, log.leftOut };
}

}
