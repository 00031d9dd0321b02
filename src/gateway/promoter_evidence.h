// Shared by promoter.cpp (coordination and orders) and promoter_evidence.cpp (status queries to members and witnesses).
#pragma once
#include "base/latch.h"
#include "gateway/promoter.h"

namespace alderward::gateway {

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
