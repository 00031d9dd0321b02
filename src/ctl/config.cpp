// alderctl config: every change is a compare-and-swap with a unique change id. A conflict shows the concurrent change. After a
// lost response, the record is read to find out whether the swap took effect.
#include "ctl/commands.h"
#include "ctl/fetch.h"
#include "decisions/records.h"
#include "links/json_fields.h"
#include <chrono>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>

namespace alderward::ctl {

namespace asio = boost::asio;
using base::Clock;
using base::milliseconds;

static constexpr milliseconds kCallTimeout { 2000 };
static constexpr milliseconds kPollInterval { 50 };

static std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "{}: cannot open file\n", path);
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static std::string getGroupName(const std::string& path)
{
    return std::filesystem::path(path).stem().string();
}

static std::string getKey(const std::string& group)
{
    return std::string(decisions::kGroupPrefix) + group;
}

static std::string makeChangeId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

static bool checkRecord(const std::string& path, const std::string& text)
{
    auto record = decisions::parseGroupRecord(getGroupName(path), text);
    if (!record)
        fmt::print(stderr, "{}: {}\n", path, decisions::formatProblem(record.error()));
    return record.has_value();
}

static std::vector<std::string> splitLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string it; std::getline(stream, it);)
        lines.push_back(it);
    return lines;
}

// Prints a line diff based on the longest common subsequence.
static void printDiff(const std::string& before, const std::string& after)
{
    auto a = splitLines(before);
    auto b = splitLines(after);
    std::vector<std::vector<size_t>> lcsLengths(a.size() + 1, std::vector<size_t>(b.size() + 1, 0));
    for (size_t i = a.size(); i-- > 0;) {
        for (size_t j = b.size(); j-- > 0;)
            lcsLengths[i][j] = a[i] == b[j] ? lcsLengths[i + 1][j + 1] + 1 : std::max(lcsLengths[i + 1][j], lcsLengths[i][j + 1]);
    }
    size_t i = 0;
    size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (j == b.size() || (i < a.size() && lcsLengths[i + 1][j] >= lcsLengths[i][j + 1]))
            fmt::print("-{}\n", a[i++]);
        else
            fmt::print("+{}\n", b[j++]);
    }
}

static void printChange(const decisions::Change& change)
{
    fmt::print("{} by {} at {} ms: {}\n", change.id, change.by, change.atMs, change.summary);
}

static decisions::Envelope parseStored(const std::string& value)
{
    return decisions::parseEnvelope(value).value_or(decisions::Envelope {});
}

// ---- apply ----

enum class ApplyResult { Written,
    Conflict,
    Unknown };

struct ApplyOutcome {
    ApplyResult result { ApplyResult::Unknown };
    uint64_t version { 0 };
    std::string storedValue {}; // for Conflict: the value in the store
};

static bool hasChange(const decisions::Envelope& envelope, const std::string& id)
{
    return std::ranges::find(envelope.changes, id, &decisions::Change::id) != envelope.changes.end();
}

// Determines whether a swap without a response took effect: its change id is then in the stored history, even after later changes.
static asio::awaitable<ApplyOutcome> resolveSwapOutcome(const Options& options, const std::string& key, uint64_t expected, const std::string& id, base::TimePoint deadline)
{
    while (Clock::now() < deadline) {
        auto stored = co_await links::getValue(options.platform, key, std::min(deadline, Clock::now() + kCallTimeout));
        if (stored && hasChange(parseStored(stored->value), id))
            co_return ApplyOutcome { ApplyResult::Written, stored->revision, {} };
        if (stored && stored->revision != expected)
            co_return ApplyOutcome { ApplyResult::Conflict, stored->revision, stored->value };
        if (stored) // unchanged so far; the swap may still arrive late
            co_return ApplyOutcome { ApplyResult::Unknown, stored->revision, {} };
        co_await base::sleepFor(kPollInterval * 4);
    }
    co_return ApplyOutcome {};
}

static asio::awaitable<ApplyOutcome> swapRecord(const Options& options, const std::string& key, const links::StoredValue& stored, const std::string& text, const decisions::Change& change, base::TimePoint deadline)
{
    auto envelope = parseStored(stored.value);
    envelope.record = text;
    envelope.changes.insert(envelope.changes.begin(), change);
    if (envelope.changes.size() > decisions::kChangeHistoryLimit)
        envelope.changes.resize(decisions::kChangeHistoryLimit);
    auto value = decisions::formatEnvelope(envelope);
    for (;;) {
        auto swap = co_await links::compareAndSwap(options.platform, key, stored.revision, value, std::min(deadline, Clock::now() + kCallTimeout));
        if (swap && swap->wasSwapped)
            co_return ApplyOutcome { ApplyResult::Written, swap->current.revision, {} };
        if (swap && hasChange(parseStored(swap->current.value), change.id)) // an earlier attempt of this command
            co_return ApplyOutcome { ApplyResult::Written, swap->current.revision, {} };
        if (swap)
            co_return ApplyOutcome { ApplyResult::Conflict, swap->current.revision, swap->current.value };
        auto found = co_await resolveSwapOutcome(options, key, stored.revision, change.id, deadline);
        if (found.result != ApplyResult::Unknown || Clock::now() >= deadline)
            co_return found;
        // Retrying is safe: the swap expects the same revision, so it takes effect at most once.
    }
}

static asio::awaitable<bool> isInForceAt(std::string address, std::string group, uint64_t version)
{
    auto status = co_await fetchJson(address, "/status", Clock::now() + kCallTimeout);
    if (!status)
        co_return false;
    auto* groups = status->if_contains("groups");
    if (!groups || !groups->is_object())
        co_return false;
    auto* entry = groups->get_object().if_contains(group);
    co_return entry && entry->is_object() && links::getNumber(entry->get_object(), "version") >= version;
}

static asio::awaitable<int> waitUntilInForce(const Options& options, const std::string& group, uint64_t version, base::TimePoint deadline)
{
    auto startedAt = Clock::now();
    std::vector<std::string> pendingHosts = co_await findHosts(options);
    auto count = pendingHosts.size();
    while (!pendingHosts.empty() && Clock::now() < deadline) {
        std::vector<std::string> stillPending;
        for (auto& it : pendingHosts) {
            if (!co_await isInForceAt(it, group, version))
                stillPending.push_back(it);
        }
        pendingHosts = std::move(stillPending);
        if (!pendingHosts.empty())
            co_await base::sleepFor(kPollInterval);
    }
    auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt).count();
    if (pendingHosts.empty()) {
        fmt::print("in force on {} hosts after {} ms\n", count, elapsed);
        co_return kExitSuccess;
    }
    for (auto& it : pendingHosts)
        fmt::print(stderr, "record not in force at host {}\n", it);
    co_return kExitNotInForce;
}

static asio::awaitable<int> applyRecord(const Options& options, const std::string& path)
{
    auto deadline = Clock::now() + options.timeout;
    auto text = readFile(path);
    if (!text || !checkRecord(path, *text))
        co_return kExitInvalid;
    auto group = getGroupName(path);
    auto stored = co_await links::getValue(options.platform, getKey(group), std::min(deadline, Clock::now() + kCallTimeout));
    if (!stored) {
        fmt::print(stderr, "the platform does not answer; nothing was written\n");
        co_return kExitFailed;
    }
    auto atMs = static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    decisions::Change change { makeChangeId(), options.changedBy, atMs, stored->revision ? "changed" : "created" };
    auto applied = co_await swapRecord(options, getKey(group), *stored, *text, change, deadline);
    if (applied.result == ApplyResult::Conflict) {
        fmt::print(stderr, "the record was changed concurrently; nothing was written. The other change, and the difference to your file:\n");
        auto concurrent = parseStored(applied.storedValue);
        if (!concurrent.changes.empty())
            printChange(concurrent.changes.front());
        printDiff(concurrent.record, *text);
        co_return kExitConflict;
    }
    if (applied.result == ApplyResult::Unknown) {
        fmt::print(stderr, "the platform did not answer; the change may have been written. Look for change {} with history-of {}\n", change.id, group);
        co_return kExitFailed;
    }
    fmt::print("{} version {} change {}\n", group, applied.version, change.id);
    if (!options.mustWait)
        co_return kExitSuccess;
    co_return co_await waitUntilInForce(options, group, applied.version, deadline);
}

// ---- other subcommands ----

static asio::awaitable<std::optional<links::StoredValue>> fetchRecord(const Options& options, const std::string& group)
{
    auto stored = co_await links::getValue(options.platform, getKey(group), Clock::now() + kCallTimeout);
    if (!stored || stored->revision == 0) {
        fmt::print(stderr, "{}\n", stored ? group + ": no such record" : std::string("the platform does not answer"));
        co_return std::nullopt;
    }
    co_return *stored;
}

static asio::awaitable<int> list(const Options& options)
{
    std::vector<std::string> prefixes(1, std::string(decisions::kGroupPrefix));
    auto values = co_await links::listValues(options.platform, prefixes, Clock::now() + kCallTimeout);
    if (!values) {
        fmt::print(stderr, "the platform does not answer\n");
        co_return kExitFailed;
    }
    for (auto& it : values->values) {
        auto envelope = parseStored(it.value);
        fmt::print("{} version {} changes {}\n", it.key.substr(decisions::kGroupPrefix.size()), it.revision, envelope.changes.size());
    }
    co_return kExitSuccess;
}

static asio::awaitable<int> diff(const Options& options, const std::string& group, const std::string& path)
{
    auto text = readFile(path);
    auto stored = co_await fetchRecord(options, group);
    if (!text || !stored)
        co_return kExitFailed;
    printDiff(parseStored(stored->value).record, *text);
    co_return kExitSuccess;
}

asio::awaitable<int> runConfig(Options options)
{
    auto& arguments = options.arguments;
    auto subcommand = arguments.size() > 1 ? arguments[1] : std::string();
    if (subcommand == "list" && arguments.size() == 2)
        co_return co_await list(options);
    if (subcommand == "diff" && arguments.size() == 4)
        co_return co_await diff(options, arguments[2], arguments[3]);
    if (arguments.size() != 3)
        co_return kExitUsage;
    if (subcommand == "apply")
        co_return co_await applyRecord(options, arguments[2]);
    if (subcommand == "check") {
        auto text = readFile(arguments[2]);
        co_return text&& checkRecord(arguments[2], *text) ? kExitSuccess : kExitInvalid;
    }
    if (subcommand != "get" && subcommand != "history-of")
        co_return kExitUsage;
    auto stored = co_await fetchRecord(options, arguments[2]);
    if (!stored)
        co_return kExitFailed;
    auto envelope = parseStored(stored->value);
    if (subcommand == "get")
        fmt::print("{}\n", envelope.record);
    else
        std::ranges::for_each(envelope.changes, printChange);
    co_return kExitSuccess;
}

}
