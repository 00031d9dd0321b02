#include "gateway/peer_codec.h"
#include <algorithm>

namespace alderward::gateway {

using decisions::ErrorKind;
using std::chrono::duration_cast;
using std::chrono::microseconds;

static int64_t getRemainingUs(TimePoint until, TimePoint now)
{
    return duration_cast<microseconds>(until - now).count();
}

void sendFrame(links::Channel& channel, const peer::Frame& frame)
{
    channel.send(links::encodeFrame(frame.SerializeAsString()));
}

void encodeMark(peer::Mark& wire, const Mark& mark)
{
    wire.set_term(mark.term);
    wire.set_position(mark.position);
}

Mark decodeMark(const peer::Mark& wire)
{
    return { wire.term(), wire.position() };
}

void encodeStatementRequest(peer::Order& wire, const TargetAddress& target, const StatementRequest& request, TimePoint now)
{
    wire.set_member(target.member);
    wire.set_kind(static_cast<uint32_t>(request.kind));
    wire.set_id(request.statement.id);
    wire.set_statement_kind(static_cast<uint32_t>(request.statement.kind));
    // The shape of a prepared statement replaces its text, which would double the size of the message.
    if (request.shape)
        wire.set_argument(request.statement.argument);
    else
        wire.set_text(request.statement.text);
    wire.set_is_write(request.statement.isWrite);
    if (request.shape) {
        wire.set_has_shape(true);
        wire.set_shape(request.shape->shape);
        wire.set_shape_writes(request.shape->isWrite);
    }
    for (auto& [name, value] : request.variables)
        (*wire.mutable_values())[name] = value;
    wire.set_is_read_only(request.isReadOnly);
    encodeMark(*wire.mutable_at_least(), request.atLeast);
    wire.set_priority(request.priority);
    wire.set_objective_us(getRemainingUs(request.objective, now));
    wire.set_deadline_us(getRemainingUs(request.deadline, now));
    wire.set_transaction(request.transaction);
    wire.set_database(request.database);
    wire.set_account(request.account);
}

StatementRequest decodeStatementRequest(const peer::Order& wire, TimePoint now)
{
    StatementRequest request;
    request.kind = static_cast<RequestKind>(std::min<uint32_t>(wire.kind(), static_cast<uint32_t>(RequestKind::Continue)));
    request.statement.id = wire.id();
    request.statement.kind = static_cast<decisions::StatementKind>(std::min<uint32_t>(wire.statement_kind(), static_cast<uint32_t>(decisions::StatementKind::Unknown)));
    request.statement.text = wire.text();
    request.statement.argument = wire.argument();
    request.statement.isWrite = wire.is_write();
    if (wire.has_shape())
        request.shape = decisions::PreparedShape { wire.shape(), wire.shape_writes() };
    request.variables = { wire.values().begin(), wire.values().end() };
    request.isReadOnly = wire.is_read_only();
    request.atLeast = decodeMark(wire.at_least());
    request.priority = wire.priority();
    request.database = wire.database();
    request.account = wire.account();
    request.objective = now + microseconds(wire.objective_us());
    request.deadline = now + microseconds(wire.deadline_us());
    return request;
}

void encodeOutcome(peer::Answer& wire, const Outcome& outcome)
{
    for (auto& it : outcome.rows)
        wire.add_rows(it);
    wire.set_signature(outcome.signature);
    if (outcome.error) {
        wire.set_has_error(true);
        wire.set_error(std::string(decisions::getErrorRow(outcome.error->kind).name));
        wire.set_message(outcome.error->message);
    }
    encodeMark(*wire.mutable_position(), outcome.position);
    wire.set_was_sent(outcome.wasSent);
}

Outcome decodeOutcome(const peer::Answer& wire)
{
    Outcome outcome;
    outcome.rows.assign(wire.rows().begin(), wire.rows().end());
    outcome.signature = wire.signature();
    if (wire.has_error())
        outcome.error = decisions::Error { decisions::parseErrorKind(wire.error()).value_or(ErrorKind::Internal), wire.message() };
    outcome.position = decodeMark(wire.position());
    outcome.wasSent = wire.was_sent();
    return outcome;
}

void encodeLoad(peer::Load& wire, const std::string& member, const PoolLoad& load, bool isUnreachable)
{
    wire.set_member(member);
    wire.set_waiting(load.waiting);
    wire.set_running(load.running);
    wire.set_work_ms(load.workMs);
    wire.set_unreachable(isUnreachable);
}

void encodeStatus(peer::Finding& wire, const StatusReport& report)
{
    wire.set_reached(report.wasReached);
    wire.set_is_primary(report.status.isPrimary);
    wire.set_term(report.status.term);
    encodeMark(*wire.mutable_received(), report.status.received);
    wire.set_lag_ms(static_cast<uint64_t>(report.status.lag.count()));
    wire.set_suspended_for(report.status.suspendedFor);
    wire.set_refused(report.isRefused);
}

StatusReport decodeStatus(const peer::Finding& wire)
{
    return { wire.reached(), { wire.is_primary(), wire.term(), decodeMark(wire.received()), milliseconds(wire.lag_ms()), wire.suspended_for() }, wire.refused() };
}

}
