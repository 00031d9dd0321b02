// The operator adds a database and removes another. With trouble, the new route has a Priority of 1,500.
#include "rig_2.h"

using namespace rig;

namespace {

constexpr milliseconds kConfigApply { 4000 }; // ConfigApplyMs of the site
constexpr milliseconds kMargin { 4000 }; // beyond it, before anything is judged

int play(const std::string& recordPath)
{
    Deployment deployment({}, { { "db-drafts" }, { "db-old" } }, 3, recordPath);
    auto& record = deployment.record;
    if (!deployment.start())
        return 2;
    for (auto& host : deployment.hosts) {
        Client client(*host, "db-old", record, "before");
        if (!client.isOpen() || !client.ask("WRITE item-before data").isOk())
            return 2;
    }
    deployment.configure(2, { { "db-drafts" }, { "db-new", "primary", 1000, 0, hasTrouble() ? 1500 : 3 } });
    record.add("configuration 2 is acknowledged: db-old is removed, db-new is added");
    sleepFor(kConfigApply + kMargin);
    unsigned broken = 0;
    auto judge = [&](bool isBroken, const std::string& what) {
        broken += isBroken ? 1 : 0;
        if (isBroken)
            record.add("RULE BROKEN: " + what);
    };
    for (auto& host : deployment.hosts) {
        Client added(*host, "db-new", record, "to-added");
        judge(!added.isOpen(), host->getName() + " refuses the database that was added");
        if (added.isOpen())
            judge(!added.ask("WRITE item-new data").isOk(), host->getName() + " does not serve the database that was added");
        Client removed(*host, "db-old", record, "to-removed");
        if (removed.isOpen())
            judge(removed.ask("WRITE item-removed data").isOk(), host->getName() + " runs a write for the database that was removed");
    }
    record.add("requests handled as only configuration 1 allows: " + std::to_string(broken));
    return broken > 0 ? 1 : 0;
}

}

int main(int argc, char** argv)
{
    return argc == 2 ? play(argv[1]) : 2;
}
