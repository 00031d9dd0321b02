#include "decisions/statement.h"
#include <algorithm>

namespace alderward::decisions {

bool canTryOtherTarget(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Overloaded:
    case ErrorKind::TooManyConnections:
    case ErrorKind::TooStale:
    case ErrorKind::NotPrimary:
    case ErrorKind::WrongTarget:
    case ErrorKind::UnknownStatement:
    case ErrorKind::TargetUnreachable:
        return true;
    default:
        return false;
    }
}

ConnectionPlan planConnection(const ConnectionState& connection, const SessionVariables& session, const std::optional<PreparedShape>& shape)
{
    ConnectionPlan plan;
    plan.mustReset = connection.isUncertain || std::ranges::any_of(connection.variables, [&](const auto& it) { return !session.contains(it.first); });
    for (const auto& [name, value] : session) {
        auto found = connection.variables.find(name);
        if (plan.mustReset || found == connection.variables.end() || found->second != value)
            plan.variables.emplace_back(name, value);
    }
    // A number and not the shape: a shape is a caller's text of any length, and may contain the blanks that separate fields.
    if (shape && (plan.mustReset || !connection.prepared.contains(*shape)))
        plan.preparedName = "p" + std::to_string(connection.lastPreparedNumber + 1);
    return plan;
}

ConnectionState applyPlan(ConnectionState connection, const ConnectionPlan& plan, const std::optional<PreparedShape>& shape)
{
    if (plan.mustReset)
        connection = { .lastPreparedNumber = connection.lastPreparedNumber };
    for (const auto& [name, value] : plan.variables)
        connection.variables[name] = value;
    if (!plan.preparedName.empty()) {
        connection.prepared[*shape] = plan.preparedName;
        ++connection.lastPreparedNumber;
    }
    return connection;
}

ConnectionState applyRefusedPlan(ConnectionState connection, const ConnectionPlan& plan)
{
    connection.isUncertain = true;
    if (!plan.preparedName.empty())
        ++connection.lastPreparedNumber;
    return connection;
}

std::string findPreparedName(const ConnectionState& connection, const PreparedShape& shape)
{
    auto it = connection.prepared.find(shape);
    return it == connection.prepared.end() ? std::string() : it->second;
}

}
