// Runs the failover decision step by step: a primary refuses connections, its replicas lose contact with it, and a replica is
// promoted. Prints the actions that a program would have to perform; see src/alderward.h.
#include "alderward.h"
#include <fmt/format.h>

using namespace alderward::decisions;

static MemberStatus makeStatus(const std::string& name, Role role, uint64_t position, int contactAgeMs)
{
    MemberStatus status;
    status.member = name;
    status.term = 1;
    status.role = role;
    status.log = { 1, position, { { 1, 1 } } };
    status.primary = "a";
    status.primaryContactAge = milliseconds(contactAgeMs);
    return status;
}

static void print(const FailoverStep& step)
{
    for (auto& it : step.actions) {
        if (auto* entry = std::get_if<AddTimelineEntry>(&it))
            fmt::print("  {}: {}\n", entry->kind, entry->cause);
        else if (auto* fence = std::get_if<SendFence>(&it))
            fmt::print("  fence member {} for term {}\n", fence->member, fence->term);
        else if (auto* promote = std::get_if<SendPromote>(&it))
            fmt::print("  promote member {} in term {}\n", promote->member, promote->term);
        else if (auto* follow = std::get_if<SendFollow>(&it))
            fmt::print("  member {} follows {} in term {}\n", follow->member, follow->primary, follow->term);
        else if (std::holds_alternative<WriteClaim>(it))
            fmt::print("  write the claim\n");
        else
            fmt::print("  announce the new primary to the other homes\n");
    }
}

int main()
{
    GroupRecord record;
    record.name = "orders";
    record.members = { { "a", "10.0.0.1:1", "x" }, { "b", "10.0.0.2:1", "y" }, { "c", "10.0.0.3:1", "z" } };
    auto start = TimePoint {} + std::chrono::hours(1);
    auto health = makeHealth(record, start);
    health = applyStatus(health, 0, makeStatus("a", Role::Primary, 100, 0), start, start);
    auto now = start + milliseconds(400);
    for (int ms : { 50, 100, 150 })
        health = applyProbeFailure(health, 0, true, start + milliseconds(ms));
    health = applyStatus(health, 1, makeStatus("b", Role::Replica, 99, 350), now, now);
    health = applyStatus(health, 2, makeStatus("c", Role::Replica, 100, 350), now, now);

    FailoverContext context { record, health, { false, false, false }, 0, {} };
    fmt::print("the timer ticks\n");
    auto step = stepFailover(context, {}, Tick {}, now);
    print(step);
    fmt::print("the store accepts the claim\n");
    step = stepFailover(context, step.state, ClaimAnswered { 2, ClaimOutcome::Taken, 2 }, now);
    print(step);
    fmt::print("b and c grant the term, a does not answer\n");
    step = stepFailover(context, step.state, FenceAnswered { 2, 0, {} }, now);
    step = stepFailover(context, step.state, FenceAnswered { 2, 1, FenceAnswer { true, 2, { 1, 99, { { 1, 1 } } } } }, now);
    step = stepFailover(context, step.state, FenceAnswered { 2, 2, FenceAnswer { true, 2, { 1, 100, { { 1, 1 } } } } }, now);
    print(step);
    fmt::print("c is promoted\n");
    print(stepFailover(context, step.state, PromoteAnswered { 2, true }, now));
}
