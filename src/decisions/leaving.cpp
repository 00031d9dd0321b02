#include "decisions/leaving.h"
#include <algorithm>

namespace alderward::decisions {

bool takesNewOperations(std::optional<TimePoint> leavingSince, milliseconds drainTime, TimePoint now)
{
    auto reserve = std::min(kDrainReserve, drainTime / 2); // a short drain time is not all reserve
    return !leavingSince || now < *leavingSince + drainTime - reserve;
}

TimePoint assumeLeavingSince(milliseconds drainTime, TimePoint foundAt)
{
    return foundAt - drainTime / 2;
}

}
