#include "base/snapshot.h"

namespace alderward::base {

size_t allocateSnapshotSlot()
{
    static std::atomic<size_t> next { 0 };
    return next.fetch_add(1);
}

}
