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

constexpr int kBurstSeconds = 2; // capacity of a token bucket, in seconds of its refill rate
constexpr size_t kLogClassCount = 3;
constexpr milliseconds kDropReportInterval { 1000 }; // between two reports of dropped lines

// Rate limit of one log class. One token allows one line.
struct TokenBucket {
    double tokens { 0 };
    double refillPerSecond { 0 };
};

struct EventLog {
    std::mutex mutex;
    std::string host;
    LogBudget budget;
    std::array<TokenBucket, kLogClassCount> buckets;
    TimePoint refilledAt {};
    std::string buffer; // lines not yet written
    uint64_t written { 0 };
    uint64_t droppedLines { 0 };
    uint64_t reportedDrops { 0 };
    TimePoint dropsReportedAt {};
    bool isOpen { false };
};

EventLog& getLog()
{
    static EventLog log;
    return log;
}

void setRefillRates(EventLog& log)
{
    auto lines = static_cast<double>(log.budget.linesPerSecond);
    log.buckets[static_cast<size_t>(LogClass::State)].refillPerSecond = lines;
    log.buckets[static_cast<size_t>(LogClass::Failure)].refillPerSecond = lines * 0.75;
    log.buckets[static_cast<size_t>(LogClass::Request)].refillPerSecond = lines * 0.25;
}

void refillBuckets(EventLog& log, TimePoint now)
{
    std::chrono::duration<double> passed = now - log.refilledAt;
    log.refilledAt = now;
    for (auto& it : log.buckets)
        it.tokens = std::min(it.refillPerSecond * kBurstSeconds, it.tokens + it.refillPerSecond * std::min(passed.count(), static_cast<double>(kBurstSeconds)));
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

// Writes as much as the non-blocking standard output accepts.
void writeBuffer(EventLog& log)
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
        writeBuffer(log);
    if (log.buffer.size() + line.size() > static_cast<size_t>(log.budget.bufferBytes))
        return false;
    log.buffer += line;
    ++log.written;
    return true;
}

}

void openEventLog(std::string host, const LogBudget& budget)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    log.host = std::move(host);
    log.budget = budget;
    setRefillRates(log);
    log.refilledAt = Clock::now() - std::chrono::seconds(kBurstSeconds);
    log.isOpen = true;
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void setLogBudget(const LogBudget& budget)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    log.budget = budget;
    setRefillRates(log);
}

bool hasLogBudget(LogClass logClass)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    if (!log.isOpen)
        return false;
    refillBuckets(log, Clock::now());
    bool has = log.buckets[static_cast<size_t>(logClass)].tokens >= 1;
    if (!has)
        ++log.droppedLines;
    return has;
}

void logEvent(LogClass logClass, std::string_view event, std::initializer_list<LogField> fields)
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    if (!log.isOpen)
        return;
    refillBuckets(log, Clock::now());
    auto& bucket = log.buckets[static_cast<size_t>(logClass)];
    if (bucket.tokens < 1 || !append(log, formatLine(log.host, event, fields))) {
        ++log.droppedLines;
        return;
    }
    bucket.tokens -= 1;
}

void flushEventLog()
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    if (!log.isOpen)
        return;
    auto now = Clock::now();
    if (log.droppedLines > log.reportedDrops && now - log.dropsReportedAt >= kDropReportInterval) {
        log.dropsReportedAt = now;
        auto n = static_cast<int64_t>(log.droppedLines - log.reportedDrops);
        if (append(log, formatLine(log.host, "lines-left-out", { { "lines", n } })))
            log.reportedDrops = log.droppedLines;
    }
    writeBuffer(log);
}

LogLineCounts getLogCounts()
{
    auto& log = getLog();
    std::lock_guard lock(log.mutex);
    return { log.written, log.droppedLines };
}

}
