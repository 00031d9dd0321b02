// The messages between hosts (proto/gateway.proto) as values of this program, and back. Decides nothing.
#pragma once
#include "gateway/target_pool.h"
#include "generated/gateway.pb.h"

namespace alderward::gateway {

// What a member answered when it was asked for its status on behalf of a promotion.
struct StatusReport {
    bool wasReached { false };
    links::TargetStatus status {};
};

void sendFrame(links::Channel& channel, const peer::Frame& frame);

void writeMark(peer::Mark& wire, const Mark& mark);
Mark readMark(const peer::Mark& wire);

// Times travel as what is left of them, as hosts' clocks differ. The caller adds the number of the call.
void writeOrder(peer::Order& wire, const TargetAddress& target, const StatementRequest& order, TimePoint now);
StatementRequest readOrder(const peer::Order& wire, TimePoint now);

void writeOutcome(peer::Answer& wire, const Outcome& outcome);
Outcome readOutcome(const peer::Answer& wire);

void writeLoad(peer::Load& wire, const std::string& member, const PoolLoad& load, bool isUnreachable);

void writeStatus(peer::Finding& wire, const StatusReport& report);
StatusReport readStatus(const peer::Finding& wire);

}
