// What the two halves of Promoter share: promoter.cpp decides whose turn it is and orders, promoter_evidence.cpp asks members and witnesses.
#pragma once
#include "base/latch.h"
#include "gateway/promoter.h"

namespace alderward::gateway {

// Replicas are asked while the primary is examined, so that a dead one costs one wait, not two.
struct Promoter::ReplicaQuery {
    explicit ReplicaQuery(const boost::asio::any_io_executor& executor)
        : latch(executor, 1) // until askReplicas() knows how many there are
    {
    }
    base::Latch latch;
    std::vector<decisions::MemberFinding> findings {};
};

}
