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

void writeMark(peer::Mark& wire, const Mark& mark)
{
    wire.set_term(mark.term);
    wire.set_position(mark.position);
}

Mark readMark(const peer::Mark& wire)
{
    return { wire.term(), wire.position() };
}

void writeOrder(peer::Order& wire, const TargetAddress& target, const Order& order, TimePoint now)
{
    wire.set_member(target.member);
    wire.set_kind(static_cast<uint32_t>(order.kind));
    wire.set_id(order.statement.id);
    wire.set_statement_kind(static_cast<uint32_t>(order.statement.kind));
    // The shape of a prepared statement replaces its text, which would double the size of the message.
    if (order.shape)
        wire.set_argument(order.statement.argument);
    else
        wire.set_text(order.statement.text);
    wire.set_is_write(order.statement.isWrite);
    if (order.shape) {
        wire.set_has_shape(true);
        wire.set_shape(order.shape->shape);
        wire.set_shape_writes(order.shape->isWrite);
    }
    for (auto& [name, value] : order.values)
        (*wire.mutable_values())[name] = value;
    wire.set_is_read_only(order.isReadOnly);
    writeMark(*wire.mutable_at_least(), order.atLeast);
    wire.set_priority(order.priority);
    wire.set_objective_us(getRemainingUs(order.objective, now));
    wire.set_deadline_us(getRemainingUs(order.deadline, now));
    wire.set_transaction(order.transaction);
    wire.set_database(order.database);
    wire.set_account(order.account);
}

Order readOrder(const peer::Order& wire, TimePoint now)
{
    Order order;
    order.kind = static_cast<OrderKind>(std::min<uint32_t>(wire.kind(), static_cast<uint32_t>(OrderKind::Continue)));
    order.statement.id = wire.id();
    order.statement.kind = static_cast<decisions::StatementKind>(std::min<uint32_t>(wire.statement_kind(), static_cast<uint32_t>(decisions::StatementKind::Unknown)));
    order.statement.text = wire.text();
    order.statement.argument = wire.argument();
    order.statement.isWrite = wire.is_write();
    if (wire.has_shape())
        order.shape = decisions::PreparedShape { wire.shape(), wire.shape_writes() };
    order.values = { wire.values().begin(), wire.values().end() };
    order.isReadOnly = wire.is_read_only();
    order.atLeast = readMark(wire.at_least());
    order.priority = wire.priority();
    order.database = wire.database();
    order.account = wire.account();
    order.objective = now + microseconds(wire.objective_us());
    order.deadline = now + microseconds(wire.deadline_us());
    return order;
}

void writeOutcome(peer::Answer& wire, const Outcome& outcome)
{
    for (auto& it : outcome.rows)
        wire.add_rows(it);
    wire.set_signature(outcome.signature);
    if (outcome.error) {
        wire.set_has_error(true);
        wire.set_error(std::string(decisions::getErrorRow(outcome.error->kind).name));
        wire.set_message(outcome.error->message);
    }
    writeMark(*wire.mutable_position(), outcome.position);
    wire.set_was_sent(outcome.wasSent);
}

Outcome readOutcome(const peer::Answer& wire)
{
    Outcome outcome;
    outcome.rows.assign(wire.rows().begin(), wire.rows().end());
    outcome.signature = wire.signature();
    if (wire.has_error())
        outcome.error = decisions::Error { decisions::parseErrorKind(wire.error()).value_or(ErrorKind::Internal), wire.message() };
    outcome.position = readMark(wire.position());
    outcome.wasSent = wire.was_sent();
    return outcome;
}

void writeLoad(peer::Load& wire, const std::string& member, const PoolLoad& load, bool isUnreachable)
{
    wire.set_member(member);
    wire.set_waiting(load.waiting);
    wire.set_running(load.running);
    wire.set_work_ms(load.workMs);
    wire.set_unreachable(isUnreachable);
}

void writeStatus(peer::Finding& wire, const StatusReport& report)
{
    wire.set_reached(report.wasReached);
    wire.set_is_primary(report.status.isPrimary);
    wire.set_term(report.status.term);
    writeMark(*wire.mutable_received(), report.status.received);
    wire.set_lag_ms(static_cast<uint64_t>(report.status.lag.count()));
}

StatusReport readStatus(const peer::Finding& wire)
{
    return { wire.reached(), { wire.is_primary(), wire.term(), readMark(wire.received()), milliseconds(wire.lag_ms()) } };
}

}
