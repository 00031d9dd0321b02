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

std::string getPreparedName(const PreparedShape& shape)
{
    return (shape.isWrite ? "w_" : "r_") + shape.shape;
}

ConnectionPlan planConnection(const ConnectionState& connection, const SessionVariables& session, const std::optional<PreparedShape>& shape)
{
    ConnectionPlan plan;
    plan.mustReset = std::ranges::any_of(connection.variables, [&](const auto& it) { return !session.contains(it.first); });
    for (const auto& [name, value] : session) {
        auto found = connection.variables.find(name);
        if (plan.mustReset || found == connection.variables.end() || found->second != value)
            plan.variables.emplace_back(name, value);
    }
    plan.mustPrepare = shape && (plan.mustReset || !connection.prepared.contains(*shape));
    return plan;
}

ConnectionState applyPlan(ConnectionState connection, const ConnectionPlan& plan, const std::optional<PreparedShape>& shape)
{
    if (plan.mustReset)
        connection = {};
    for (const auto& [name, value] : plan.variables)
        connection.variables[name] = value;
    if (plan.mustPrepare)
        connection.prepared.insert(*shape);
    return connection;
}

}
