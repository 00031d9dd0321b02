// Conversion between protobuf messages (proto/gateway.proto) and the types of the gateway.
#pragma once
#include "gateway/target_pool.h"
#include "generated/gateway.pb.h"

namespace alderward::gateway {

// The result of a status query to a member.
struct StatusReport {
    bool wasReached { false };
    links::TargetStatus status {};
    bool isRefused { false }; // the member answered with an error, and not because it was busy
};

void sendFrame(links::Channel& channel, const peer::Frame& frame);

void encodeMark(peer::Mark& wire, const Mark& mark);
Mark decodeMark(const peer::Mark& wire);

// Deadlines are sent as the time remaining, as the clocks of hosts differ. The caller sets the call number.
void encodeStatementRequest(peer::Order& wire, const TargetAddress& target, const StatementRequest& request, TimePoint now);
StatementRequest decodeStatementRequest(const peer::Order& wire, TimePoint now);

void encodeOutcome(peer::Answer& wire, const Outcome& outcome);
Outcome decodeOutcome(const peer::Answer& wire);

void encodeLoad(peer::Load& wire, const std::string& member, const PoolLoad& load, bool isUnreachable);

void encodeStatus(peer::Finding& wire, const StatusReport& report);
StatusReport decodeStatus(const peer::Finding& wire);

}
