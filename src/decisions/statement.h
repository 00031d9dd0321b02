// Statements of callers whose session is a connection, their outcomes, and the routes that determine how they are served.
// Independent of the wire format, which links/statement_codec.h encodes and decodes.
//
// [SECTION] Statements   Statement, SessionState
// [SECTION] Outcomes     Outcome
// [SECTION] Sessions     PreparedShape, SessionVariables, planConnection()
// [SECTION] Routes       Consistency, DatabaseRoute
#pragma once
#include "decisions/errors.h"
#include "decisions/session.h"
#include <map>
#include <string>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Statements
//-----------------------------------------------------------------------------

enum class StatementKind {
    Begin, // a transaction that may write
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetVariable, // of the session
    Prepare,
    Execute, // of a prepared statement
    Deallocate,
    Unknown, // not recognized; answered as a bad request
};

struct Statement {
    std::string id {}; // assigned by the caller, unique for each attempt
    StatementKind kind { StatementKind::Unknown };
    std::string text {}; // as received; forwarded unchanged
    std::string name {}; // SetVariable: the variable; Prepare, Execute, Deallocate: the prepared statement
    std::string argument {}; // SetVariable: the value; Prepare: the shape; Execute: the text after the name
    bool isWrite { false }; // for Write and Prepare of a write; for Execute, copied from the prepared statement
    friend bool operator==(const Statement&, const Statement&) = default;
};

// Transaction state of a session after an answer.
enum class SessionState { Idle,
    InTransaction,
    Failed }; // the transaction failed and can only be ended

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

// The result of a statement.
struct Outcome {
    std::vector<std::string> rows {};
    std::string signature {}; // the target's proof that it executed the statement; empty on error
    std::optional<Error> error {};
    Mark position {}; // end of the target's log when it answered; term 0: not reported
    bool wasSent { false }; // the statement was written to a target, even if it then failed
    friend bool operator==(const Outcome&, const Outcome&) = default;
};

inline Outcome makeFailure(ErrorKind kind, std::string message, bool wasSent = false)
{
    Outcome outcome;
    outcome.error = Error { kind, std::move(message) };
    outcome.wasSent = wasSent;
    return outcome;
}

// Whether the error shows that the target did not execute the statement, so that another target may be tried.
bool canTryOtherTarget(ErrorKind kind);

//-----------------------------------------------------------------------------
// [SECTION] Sessions
//-----------------------------------------------------------------------------

// A prepared statement without its name.
struct PreparedShape {
    std::string shape {};
    bool isWrite { false };
    friend auto operator<=>(const PreparedShape&, const PreparedShape&) = default;
};

using SessionVariables = std::map<std::string, std::string>;

// Session state left on a pooled connection by the sessions that it served before.
struct ConnectionState {
    SessionVariables variables {};
    std::map<PreparedShape, std::string> prepared {}; // the name of each shape at the target
    uint64_t lastPreparedNumber { 0 }; // of the connection's prepared statements; names are not used again, also after a reset
    bool isUncertain { false }; // the target refused a part of the last setup: a reset must precede the next one
    friend bool operator==(const ConnectionState&, const ConnectionState&) = default;
};

// What must be sent on a connection before it can serve a session.
struct ConnectionPlan {
    bool mustReset { false }; // it has a variable that the session has not set, or its state is uncertain
    std::vector<std::pair<std::string, std::string>> variables {}; // to set
    std::string preparedName {}; // to prepare the shape under; empty: it need not be prepared
    size_t getCost() const { return (mustReset ? 1 : 0) + variables.size() + (preparedName.empty() ? 0 : 1); }
    friend bool operator==(const ConnectionPlan&, const ConnectionPlan&) = default;
};

// `shape` is the prepared statement that the session executes next, if any.
ConnectionPlan planConnection(const ConnectionState& connection, const SessionVariables& session, const std::optional<PreparedShape>& shape);
// Returns the connection's state after the target has accepted each message of the plan.
ConnectionState applyPlan(ConnectionState connection, const ConnectionPlan& plan, const std::optional<PreparedShape>& shape);
// Returns the connection's state after the target has refused a message of the plan, or has not answered all of them.
ConnectionState applyRefusedPlan(ConnectionState connection, const ConnectionPlan& plan);
// The name under which the shape is prepared on the connection; empty: it is not.
std::string findPreparedName(const ConnectionState& connection, const PreparedShape& shape);

//-----------------------------------------------------------------------------
// [SECTION] Routes
//-----------------------------------------------------------------------------

enum class Consistency {
    Primary, // reads see every commit acknowledged before
    BoundedStaleness, // reads may miss commits younger than `maximumAge`
    ReadYourWrites, // the same, but reads see all writes of their own session
};

// How the statements of one database are served, as configured by operators.
struct DatabaseRoute {
    std::string database {}; // the name that callers connect to
    std::string group {}; // the database group that serves it
    Consistency consistency { Consistency::Primary };
    milliseconds maximumAge { 0 }; // of commits that a read may miss; unused with Primary
    milliseconds statementLimit { 1000 }; // from a statement's arrival to its answer
    milliseconds objective { 500 }; // latency objective of an operation
    int priority { 0 }; // 0 is the highest
    bool isPublic { false }; // callers need no API key
    friend bool operator==(const DatabaseRoute&, const DatabaseRoute&) = default;
};

}
