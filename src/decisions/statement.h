// Statements of callers whose session is a connection: what was asked, how a route wants it served, and what came of it.
// Wire forms are made and read by a codec (links/statement_codec.h); nothing here knows one.
//
// [SECTION] Statements   Statement, SessionState
// [SECTION] Outcomes     Outcome
// [SECTION] Sessions     PreparedShape, SessionValues, planConnection()
// [SECTION] Routes       Consistency, DatabaseRoute
#pragma once
#include "decisions/errors.h"
#include "decisions/session.h"
#include <map>
#include <set>
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
    SetVariable, // a value of the session
    Prepare,
    Execute, // of a prepared statement
    Deallocate,
    Unknown, // not in the language; answered as a bad request
};

struct Statement {
    std::string id {}; // the caller's, unique for each attempt
    StatementKind kind { StatementKind::Unknown };
    std::string text {}; // as it came; passed on unchanged
    std::string name {}; // SetValue: the value's; Prepare, Execute, Deallocate: the prepared statement's
    std::string argument {}; // SetValue: the value; Prepare: the shape; Execute: all behind the name
    bool isWrite { false }; // Write, and Prepare of a write; an Execute takes it from what was prepared
    friend bool operator==(const Statement&, const Statement&) = default;
};

// Where a session stands after an answer.
enum class SessionState { Idle,
    InTransaction,
    Failed }; // the transaction failed: only its end is taken

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

// What came of a statement.
struct Outcome {
    std::vector<std::string> rows {};
    std::string signature {}; // the target's proof that it ran the statement; empty with an error
    std::optional<Error> error {};
    Mark position {}; // of the target's log when it answered; term 0: not said
    bool wasSent { false }; // the statement was written to a target, whatever came of it
    friend bool operator==(const Outcome&, const Outcome&) = default;
};

inline Outcome makeFailure(ErrorKind kind, std::string message, bool wasSent = false)
{
    Outcome outcome;
    outcome.error = Error { kind, std::move(message) };
    outcome.wasSent = wasSent;
    return outcome;
}

// Whether the target said that it did not run the statement, so that another may be asked.
bool canTryOtherTarget(ErrorKind kind);

//-----------------------------------------------------------------------------
// [SECTION] Sessions
//-----------------------------------------------------------------------------

struct PreparedShape {
    std::string shape {};
    bool isWrite { false };
    friend auto operator<=>(const PreparedShape&, const PreparedShape&) = default;
};

// A name for a shape at targets, the same for all sessions, so that sessions whose names collide can share a connection.
std::string getPreparedName(const PreparedShape& shape);

using SessionVariables = std::map<std::string, std::string>;

// What a pooled connection carries from the sessions that it served before.
struct ConnectionState {
    SessionVariables values {};
    std::set<PreparedShape> prepared {};
    friend bool operator==(const ConnectionState&, const ConnectionState&) = default;
};

// What has to be sent on a connection before it may serve a session.
struct ConnectionPlan {
    bool mustReset { false }; // it carries a value that the session does not have
    std::vector<std::pair<std::string, std::string>> values {}; // to set
    bool mustPrepare { false };
    size_t getCost() const { return (mustReset ? 1 : 0) + values.size() + (mustPrepare ? 1 : 0); }
    friend bool operator==(const ConnectionPlan&, const ConnectionPlan&) = default;
};

// `shape` is the one that the next statement executes, if it executes one.
ConnectionPlan planConnection(const ConnectionState& connection, const SessionVariables& session, const std::optional<PreparedShape>& shape);
// The connection's state once the plan was carried out.
ConnectionState applyPlan(ConnectionState connection, const ConnectionPlan& plan, const std::optional<PreparedShape>& shape);

//-----------------------------------------------------------------------------
// [SECTION] Routes
//-----------------------------------------------------------------------------

enum class Consistency {
    Primary, // sees every commit that was acknowledged before
    BoundedStaleness, // may lack commits younger than `maximumAge`
    ReadYourWrites, // the same, but never one of its own session
};

// How the statements of one database are served, as operators wrote it.
struct DatabaseRoute {
    std::string database {}; // what callers connect to
    std::string group {}; // the database group that serves it
    Consistency consistency { Consistency::Primary };
    milliseconds maximumAge { 0 }; // of what a read may lack; not for Primary
    milliseconds statementLimit { 1000 }; // from a statement's arrival to its answer
    milliseconds objective { 500 }; // a caller is content with an answer within this
    int priority { 0 }; // 0 goes first
    bool isPublic { false }; // callers need no key
    friend bool operator==(const DatabaseRoute&, const DatabaseRoute&) = default;
};

}
