// Operations of a database member, over HTTP. Each connection runs one statement at a time and corresponds to a database
// connection: closing it rolls back its transaction.
#pragma once
#include "decisions/failover.h"
#include "decisions/health.h"
#include "links/http.h"
#include <optional>
#include <string>

namespace alderward::links {

using decisions::Mark;

// Purpose of a connection. Control connections do not count towards the member's connection limit.
enum class Purpose { Work,
    Control };

// Why a member refused a request without running it.
enum class RefusalKind { Connections, // connection limit reached
    Term, // it is in another term, or has granted a fence for a later one
    Role, // not the primary, so it accepts no writes
    Behind, // its log has not reached the requested position
    KeyClosed, // the request key was settled as not run
    Transaction, // the connection has no open transaction, or already has one
    Statement }; // invalid statement

struct Refusal {
    RefusalKind kind { RefusalKind::Statement };
    std::string message {};
};

// Either the transport failed or the member refused.
struct TargetFailure {
    std::optional<Refusal> refusal {}; // set: the member refused, and nothing ran
    LinkFailure link {}; // valid only without a refusal

    bool isCertainlyNotRun() const { return refusal || !link.mayHaveArrived; }
};

template <typename T>
using TargetResult = tl::expected<T, TargetFailure>;
template <typename T>
using AsyncTargetResult = boost::asio::awaitable<TargetResult<T>>;

struct ExecuteRequest {
    uint64_t term { 0 }; // writes: the member must be in this term
    bool isWrite { false };
    std::string statement {};
    std::string parameters {}; // JSON array
    std::string requestKey {}; // idempotency key stored with the write; empty: none
    Mark atLeast {}; // reads: the member's log must contain this entry
    base::milliseconds waitLimit { 0 }; // reads: how long the member may wait for that entry
};

struct ExecuteResult {
    std::string result {}; // JSON
    Mark mark {}; // last entry of the member's log when it answered
    bool wasReplayed { false }; // the request key was known: this is the stored result of the first run
    bool didRun { true }; // settleKey() only; false: the write did not run, and the key is now closed
    decisions::PiggybackedStatus piggybackedStatus {}; // term 0: the target does not report its term
};

struct AwaitPositionResult {
    uint64_t term { 0 };
    uint64_t fencedTerm { 0 };
    uint64_t logTerm { 0 };
    uint64_t position { 0 };
};

// All calls close the connection on a transport failure; it stays usable after a refusal.
AsyncTargetResult<void> sendHello(HttpConnection& link, const std::string& from, Purpose purpose, base::TimePoint deadline);
AsyncTargetResult<decisions::MemberStatus> askStatus(HttpConnection& link, const std::string& from, base::TimePoint deadline);
AsyncTargetResult<ExecuteResult> execute(HttpConnection& link, const std::string& from, const ExecuteRequest& request, base::TimePoint deadline);
AsyncTargetResult<void> beginTransaction(HttpConnection& link, const std::string& from, uint64_t term, base::TimePoint deadline);
AsyncTargetResult<ExecuteResult> commitTransaction(HttpConnection& link, const std::string& from, const std::string& requestKey, base::TimePoint deadline);
AsyncTargetResult<void> rollbackTransaction(HttpConnection& link, const std::string& from, base::TimePoint deadline);
AsyncTargetResult<ExecuteResult> settleKey(HttpConnection& link, const std::string& from, uint64_t term, const std::string& requestKey, base::TimePoint deadline);
AsyncTargetResult<AwaitPositionResult> awaitPosition(HttpConnection& link, const std::string& from, const Mark& mark, base::milliseconds limit, base::TimePoint deadline);
AsyncTargetResult<decisions::FenceAnswer> fence(HttpConnection& link, const std::string& from, uint64_t term, const std::string& proposer, base::TimePoint deadline);
AsyncTargetResult<void> promote(HttpConnection& link, const std::string& from, uint64_t term, const std::string& proposer, base::TimePoint deadline);
AsyncTargetResult<void> follow(HttpConnection& link, const std::string& from, uint64_t term, const std::string& primary, const std::string& address, base::TimePoint deadline);

}
