#include "decisions/leaving.h"
#include <algorithm>

namespace alderward::decisions {

bool acceptsNewOperations(std::optional<TimePoint> leavingSince, milliseconds drainTime, TimePoint now)
{
    auto margin = std::min(kDrainSafetyMargin, drainTime / 2); // leaves half of a short drain time usable
    return !leavingSince || now < *leavingSince + drainTime - margin;
}

TimePoint estimateLeavingSince(milliseconds drainTime, TimePoint foundAt)
{
    return foundAt - drainTime / 2;
}

}
