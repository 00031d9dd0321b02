// Conversion between protobuf messages (proto/gateway.proto) and the types of the gateway.
#pragma once
#include "gateway/target_pool.h"
#include "generated/gateway.pb.h"

namespace alderward::gateway {

// The result of a status query to a member.
struct StatusReport {
    bool wasReached { false };
    links::TargetStatus status {};
};

void sendFrame(links::Channel& channel, const peer::Frame& frame);

void writeMark(peer::Mark& wire, const Mark& mark);
Mark readMark(const peer::Mark& wire);

// Deadlines are sent as the time remaining, as the clocks of hosts differ. The caller sets the call number.
void writeOrder(peer::Order& wire, const TargetAddress& target, const Order& order, TimePoint now);
Order readOrder(const peer::Order& wire, TimePoint now);

void writeOutcome(peer::Answer& wire, const Outcome& outcome);
Outcome readOutcome(const peer::Answer& wire);

void writeLoad(peer::Load& wire, const std::string& member, const PoolLoad& load, bool isUnreachable);

void writeStatus(peer::Finding& wire, const StatusReport& report);
StatusReport readStatus(const peer::Finding& wire);

}
