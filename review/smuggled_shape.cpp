// Two clients use the same name for prepared statements of different shapes. With trouble, the second shape has blanks in it.
#include "rig_2.h"
#include <algorithm>

using namespace rig;

namespace {

struct Sent {
    std::string text;
    std::string shape; // of the prepared statement
};

// Whether a member ran the statement as its client sent it: only the name of the prepared statement may differ.
bool isUnchanged(const RunStatement& run, const Sent& sent)
{
    auto bracket = run.text.find(" [");
    auto getArguments = [](const std::string& text) { return text.substr(text.find(' ', text.find(' ') + 1) + 1); };
    return run.text.substr(bracket + 2) == sent.shape + "]" && getArguments(run.text.substr(0, bracket)) == getArguments(sent.text);
}

int play(const std::string& recordPath)
{
    Deployment deployment({}, { { "db-orders" } }, 3, recordPath);
    auto& record = deployment.record;
    if (!deployment.start())
        return 2;
    std::string secondShape = hasTrouble() ? "WRITE q2c with options" : "WRITE q2c_with_options";
    std::map<std::string, Sent> sent;
    bool hasServed = false;
    for (int round = 0; round < 5; ++round) {
        for (auto& host : deployment.hosts) {
            for (auto& shape : { std::string("WRITE q2c"), secondShape }) {
                Client client(*host, "db-orders", record, shape == secondShape ? "second" : "first");
                if (!client.isOpen() || !client.ask("PREPARE s1 " + shape).isOk())
                    return 2;
                auto text = "EXECUTE s1 item" + std::to_string(round) + " data" + std::to_string(round);
                auto answer = client.ask(text);
                sent[client.getLastId()] = { text, shape };
                hasServed = hasServed || answer.isOk();
            }
        }
    }
    if (!hasServed)
        return 2;
    unsigned broken = 0;
    for (auto& it : deployment.group.getRun()) {
        auto found = sent.find(it.id);
        if (found != sent.end() && isUnchanged(it, found->second))
            continue;
        ++broken;
        record.add("RULE BROKEN: " + it.member + " ran " + it.id + " " + it.text + ", its client sent " + (found == sent.end() ? "nothing" : found->second.text + " [" + found->second.shape + "]"));
    }
    auto log = deployment.group.getLog();
    auto foreign = std::ranges::count_if(log, [](const LogEntry& it) { return std::ranges::any_of(it.items, [](auto& item) { return !item.first.starts_with("item"); }); });
    record.add("commits: " + std::to_string(log.size()) + ", of them to items that no client named: " + std::to_string(foreign));
    record.add("statements that no client sent so: " + std::to_string(broken));
    return broken > 0 ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    return argc == 2 ? play(argv[1]) : 2;
}
