// alderctl configuration: what each host has in force of the operators' configuration, from the documents at GET /configuration.
#include "ctl/commands.h"
#include "ctl/fetch.h"
#include "links/json_fields.h"
#include <fmt/format.h>

namespace alderward::ctl {

namespace asio = boost::asio;
namespace json = boost::json;

static std::string formatProblem(const json::object& problem)
{
    auto field = links::getString(problem, "field");
    return fmt::format("{}{}{}: {} ({})", links::getString(problem, "item"), field.empty() ? "" : ", ", field, links::getString(problem, "reason"), links::getString(problem, "use"));
}

// Returns whether all that the store has is in force on this host as written.
static bool printHost(const json::object& document)
{
    bool isComplete = true;
    fmt::print("{}: version {}, {} routes\n", links::getString(document, "host"), links::getNumber(document, "configuration"), links::getNumber(document, "routes"));
    auto* refused = document.if_contains("refused");
    if (refused && refused->is_object()) {
        isComplete = false;
        auto& it = refused->get_object();
        fmt::print("  the newest configuration (store revision {}) is refused as a whole since {} s: {}\n", links::getNumber(it, "revision"), links::getNumber(it, "seconds"), links::getString(it, "reason"));
    }
    auto* problems = document.if_contains("problems");
    if (!problems || !problems->is_array())
        return isComplete;
    for (auto& it : problems->get_array()) {
        isComplete = false;
        if (it.is_object())
            fmt::print("  {}\n", formatProblem(it.get_object()));
    }
    return isComplete;
}

asio::awaitable<int> showConfiguration(Options options)
{
    std::vector<std::string> addresses(options.arguments.begin() + 1, options.arguments.end());
    auto documents = co_await fetchDocuments(addresses, "/configuration");
    bool isComplete = true;
    for (auto& [address, document] : documents) {
        if (document)
            isComplete = printHost(*document) && isComplete;
    }
    auto code = printAnswered(documents);
    co_return code == kExitSuccess && !isComplete ? kExitInvalid : code;
}

}
