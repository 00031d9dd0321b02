#include "bench/measure.h"
#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace bench {

double getMs(Clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double getMedian(std::vector<double> values)
{
    std::ranges::sort(values);
    return values.empty() ? 0 : values[values.size() / 2];
}

ProcessUsage getProcessUsage(pid_t id)
{
    std::ifstream stat(fmt::format("/proc/{}/stat", id));
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream statm(fmt::format("/proc/{}/statm", id));
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return { (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)), resident * 4096 / 1e6 };
}

json::object makeRead(const std::string& group, const std::string& key)
{
    return { { "group", group }, { "kind", "read" }, { "statement", "GET " + key } };
}

json::object makeWrite(const std::string& group, const std::string& key)
{
    return { { "group", group }, { "kind", "write" }, { "statement", "SET " + key + " v" }, { "repeatable", true } };
}

}
