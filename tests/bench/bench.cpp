// Runs one benchmark by name; without a name it prints the usage. See docs/MEASUREMENTS.md.
#include "bench/measure.h"
#include <cstdlib>
#include <fmt/format.h>

using namespace bench;

int main(int argc, char** argv)
{
    std::string what = argc > 1 ? argv[1] : "";
    int n = argc > 2 ? std::atoi(argv[2]) : 0;
    if (what == "throughput")
        measureThroughput(n ? static_cast<unsigned>(n) : 4);
    else if (what == "memory")
        measureMemory();
    else if (what == "reads")
        measureReadShare();
    else if (what == "gap")
        measureFailoverGap(n ? n : 20, argc > 3 ? argv[3] : "");
    else if (what == "records")
        measureRecordPropagation(n ? n : 100, argc > 3 ? std::atoi(argv[3]) : 0);
    else if (what == "control")
        measureControlTraffic(n ? std::vector<unsigned> { static_cast<unsigned>(n) } : std::vector<unsigned> { 9, 30, 60, 100 });
    else if (what == "groups")
        measureGroups();
    else if (what == "placement")
        measurePlacement();
    else if (what == "overload")
        measureOverload();
    else if (what == "membership")
        measureMembership();
    else if (what == "sync")
        measureResynchronization();
    else if (what == "storm")
        measureOutageWithoutPromotion();
    else if (what == "fairness")
        measureFairness();
    else if (what == "homes")
        measureHomes();
    else if (what == "quiet")
        measureUnneededPromotions(n ? n : 600);
    else {
        fmt::print(stderr, "usage: bench throughput [threads]|memory|reads|gap [runs] [fault]|records [changes] [delay ms]|control [hosts]|groups|placement|membership|overload|sync|storm|fairness|homes|quiet [seconds]\n");
        return 2;
    }
}
