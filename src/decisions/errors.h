// The closed list of errors that a caller can get, and the one table from kind to answer.
// docs/ERRORS.md holds the same table for callers; a unit test holds page and table to each other.
#pragma once
#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace alderward::decisions {

using std::chrono::milliseconds;

// Whether the request took effect. `No` is a promise: no target ran it and none will.
enum class Ran { No,
    Unknown,
    Yes };

enum class ErrorKind {
    BadRequest, // not JSON, a missing field, or a field of the wrong type
    UnknownField, // a field that the interface does not have
    BodyTooLarge,
    SlowSender, // the request did not arrive whole in time
    BadToken, // the session token is cut or was not made with this system's key
    BadDeadline, // deadlineMs is zero, negative or above the bound
    UnknownPath,
    UnknownGroup,
    NotConfigured, // this host has no records yet
    Overloaded, // cannot be served in time; comes with a time to come back
    NoPrimary, // no primary is known or reachable; comes with a time to come back
    NotCaughtUp, // the session is ahead of everything reachable
    TooStale, // no reachable member is fresh enough for the read
    SessionWritesLost, // a promotion lost a write that the session had seen
    TransactionUnknown, // the transaction ended, or its owner is gone
    KeyClosed, // the request key was settled as not run
    DeadlineExceeded, // the deadline passed before the statement was sent
    OutcomeUnknown, // sent, but no trustworthy answer came
    StatementRefused, // the target refused the statement itself
    Draining, // this host is stopping
    TransactionAborted, // rolled back, or never begun: nothing of it is kept
    NotPrimary, // the target is a replica and was asked to write
    WrongTarget, // another member answers at the target's address
    TooManyConnections, // the target takes no more connections
    TargetUnreachable, // no connection to the target could be had; the statement was not sent
    UnknownStatement, // no statement was prepared under this name
    StatementFailed, // the target ran the statement and reports a failure
    StatementTimedOut, // sent, but no answer came within the route's limit
    UnknownKey, // the caller's key belongs to no client account, or no longer
    QuotaExceeded, // the client account began as many operations as it may; comes with a time to come back
    Internal,
};

// One row of the table from kind to answer.
struct ErrorRow {
    ErrorKind kind;
    std::string_view name; // as in JSON
    unsigned status; // HTTP status
    Ran ran;
    bool mayRepeat; // whether the same request may be sent again as it is
};

// A failed request on its way to the caller.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message {}; // for people
    milliseconds retryAfter { 0 }; // when to come back; 0: not said
    friend bool operator==(const Error&, const Error&) = default;
};

std::span<const ErrorRow> getErrorTable();
const ErrorRow& getErrorRow(ErrorKind kind);
std::optional<ErrorKind> parseErrorKind(std::string_view name);
std::string_view getRanName(Ran ran);

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(ErrorKind kind, std::string message, milliseconds retryAfter = milliseconds { 0 })
{
    return tl::make_unexpected(Error { kind, std::move(message), retryAfter });
}

}
