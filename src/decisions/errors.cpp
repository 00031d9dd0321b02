#include "decisions/errors.h"
#include <algorithm>
#include <array>

namespace alderward::decisions {

// Kinds with Ran::No may be repeated if their cause is transient. OutcomeUnknown may be repeated only by a request that is
// marked repeatable or carries a request key, as docs/ERRORS.md explains.
static constexpr std::array kErrorTable {
    ErrorRow { ErrorKind::BadRequest, "bad-request", 400, Ran::No, false },
    ErrorRow { ErrorKind::UnknownField, "unknown-field", 400, Ran::No, false },
    ErrorRow { ErrorKind::BodyTooLarge, "body-too-large", 413, Ran::No, false },
    ErrorRow { ErrorKind::SlowSender, "slow-sender", 408, Ran::No, true },
    ErrorRow { ErrorKind::BadToken, "bad-token", 400, Ran::No, false },
    ErrorRow { ErrorKind::BadDeadline, "bad-deadline", 400, Ran::No, false },
    ErrorRow { ErrorKind::UnknownPath, "unknown-path", 404, Ran::No, false },
    ErrorRow { ErrorKind::UnknownGroup, "unknown-group", 404, Ran::No, false },
    ErrorRow { ErrorKind::NotConfigured, "not-configured", 503, Ran::No, true },
    ErrorRow { ErrorKind::Overloaded, "overloaded", 503, Ran::No, true },
    ErrorRow { ErrorKind::NoPrimary, "no-primary", 503, Ran::No, true },
    ErrorRow { ErrorKind::NotCaughtUp, "not-caught-up", 503, Ran::No, true },
    ErrorRow { ErrorKind::TooStale, "too-stale", 503, Ran::No, true },
    ErrorRow { ErrorKind::SessionWritesLost, "session-writes-lost", 409, Ran::No, false },
    ErrorRow { ErrorKind::TransactionUnknown, "transaction-unknown", 409, Ran::No, false },
    ErrorRow { ErrorKind::KeyClosed, "key-closed", 409, Ran::No, false },
    ErrorRow { ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, Ran::No, true },
    ErrorRow { ErrorKind::OutcomeUnknown, "outcome-unknown", 504, Ran::Unknown, true },
    ErrorRow { ErrorKind::StatementRefused, "statement-refused", 422, Ran::No, false },
    ErrorRow { ErrorKind::Draining, "draining", 503, Ran::No, true },
    ErrorRow { ErrorKind::TransactionAborted, "transaction-aborted", 409, Ran::No, true },
    ErrorRow { ErrorKind::NotPrimary, "not-primary", 503, Ran::No, true },
    ErrorRow { ErrorKind::WrongTarget, "wrong-target", 503, Ran::No, true },
    ErrorRow { ErrorKind::TooManyConnections, "too-many-connections", 503, Ran::No, true },
    ErrorRow { ErrorKind::TargetUnreachable, "target-unreachable", 503, Ran::No, true },
    ErrorRow { ErrorKind::UnknownStatement, "unknown-statement", 404, Ran::No, false },
    ErrorRow { ErrorKind::StatementFailed, "statement-failed", 500, Ran::Yes, false },
    ErrorRow { ErrorKind::StatementTimedOut, "statement-timed-out", 504, Ran::Unknown, false },
    ErrorRow { ErrorKind::UnknownKey, "unknown-key", 401, Ran::No, false },
    ErrorRow { ErrorKind::QuotaExceeded, "quota-exceeded", 429, Ran::No, true },
    ErrorRow { ErrorKind::CallerGone, "caller-gone", 499, Ran::No, true },
    ErrorRow { ErrorKind::Internal, "internal", 500, Ran::Unknown, false },
};

std::span<const ErrorRow> getErrorTable()
{
    return kErrorTable;
}

const ErrorRow& getErrorRow(ErrorKind kind)
{
    return kErrorTable[static_cast<size_t>(kind)];
}

std::optional<ErrorKind> parseErrorKind(std::string_view name)
{
    auto it = std::ranges::find(kErrorTable, name, &ErrorRow::name);
    if (it == kErrorTable.end())
        return std::nullopt;
    return it->kind;
}

std::string_view getRanName(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    default:
        return "unknown";
    }
}

}
