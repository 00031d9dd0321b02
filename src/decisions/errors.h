// All errors that a caller can get, with the HTTP status and retry semantics of each.
// docs/ERRORS.md documents the same table for callers; a unit test checks that both agree.
#pragma once
#include "decisions/mark.h"
#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace alderward::decisions {

using std::chrono::milliseconds;

// Whether the request was executed. `No` is a guarantee: no target has executed it and none will.
enum class Ran { No,
    Unknown,
    Yes };

enum class ErrorKind {
    BadRequest, // not JSON, a missing field, or a field of the wrong type
    UnknownField, // a field that the API does not define
    BodyTooLarge,
    SlowSender, // the complete request did not arrive in time
    BadToken, // the session token is truncated or was not signed with this system's key
    BadDeadline, // deadlineMs is zero, negative or above the maximum
    UnknownPath,
    UnknownGroup,
    NotConfigured, // this host has not received any records yet
    Overloaded, // cannot be served in time; includes a retry delay
    NoPrimary, // no primary is known or reachable; includes a retry delay
    NotCaughtUp, // no reachable member has applied all that the session has seen
    TooStale, // no reachable member is fresh enough for the read
    SessionWritesLost, // a promotion discarded a write that the session had seen
    TransactionUnknown, // the transaction ended, or its owner is gone
    KeyClosed, // the request key was settled as not executed
    DeadlineExceeded, // the deadline passed before the statement was sent
    OutcomeUnknown, // sent, but no reliable answer was received
    StatementRefused, // the target refused the statement itself
    Draining, // this host is shutting down
    TransactionAborted, // rolled back, or never begun; none of its writes are kept
    NotPrimary, // a write was sent to a replica
    WrongTarget, // a different member answers at the target's address
    TooManyConnections, // the target accepts no more connections
    TargetUnreachable, // connecting to the target failed; the statement was not sent
    UnknownStatement, // no prepared statement has this name
    StatementFailed, // the target executed the statement and reported a failure
    StatementTimedOut, // sent, but not answered within the route's time limit
    UnknownKey, // the API key belongs to no client account
    QuotaExceeded, // the client account's operation quota is used up; includes a retry delay
    CallerGone, // the caller closed its connection before the statement was sent
    Internal,
};

// How an error kind is reported to callers.
struct ErrorRow {
    ErrorKind kind;
    std::string_view name; // in JSON
    unsigned status; // HTTP
    Ran ran;
    bool mayRepeat; // whether the caller may send the same request again unchanged
};

// A failed request, as reported to the caller.
struct Error {
    ErrorKind kind { ErrorKind::Internal };
    std::string message {}; // human-readable
    milliseconds retryAfter { 0 }; // suggested delay before a retry; 0: none
    Mark markAfterLoss {}; // SessionWritesLost: the mark with which the session continues
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
