// Shared by the source files of the promoter.
#pragma once
#include "base/latch.h"
#include "gateway/promoter.h"

namespace alderward::gateway {

inline constexpr milliseconds kRecordCheckInterval { 100 };
inline constexpr milliseconds kAttemptCooldown { 400 }; // after an attempt without a promotion, and after a failed write of the record
inline constexpr milliseconds kHoldPropagationTime { 60 }; // until all hosts hold their writes and the writes already sent have run; one way between hosts takes 20 ms at most
inline constexpr milliseconds kCatchUpTimeout { 800 }; // how long a handover waits for a replica to catch up
inline constexpr milliseconds kCatchUpPollInterval { 30 }; // replicas are usually 50 ms behind

// Status queries to replicas. They run while the primary is examined, so that the two timeouts overlap.
struct Promoter::ReplicaQuery {
    explicit ReplicaQuery(const boost::asio::any_io_executor& executor)
        : latch(executor, 1) // queryReplicas() adds one for each query and removes this one
    {
    }
    base::Latch latch;
    std::vector<decisions::MemberFinding> findings {};
};

}
