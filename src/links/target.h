// Target link: the operations that a database member offers, over the HTTP carrier. One statement at a time per
// connection, so that a connection means what it does at a database: closing it rolls its transaction back.
#pragma once
#include "decisions/failover.h"
#include "decisions/health.h"
#include "links/http.h"
#include <optional>
#include <string>

namespace alderward::links {

using decisions::Mark;

// What a connection is for. Control connections do not count against the member's limit.
enum class Purpose { Work,
    Control };

// A member's own word that it did not run the request.
enum class RefusalKind { Connections, // it takes no more connections
    Term, // it works in another term, or promised to a later one
    Role, // writes go to its primary
    Behind, // it has not reached the position asked for
    KeyClosed, // the request key was settled as not run
    Transaction, // no transaction is open on this connection, or one is already
    Statement }; // the statement itself is wrong

struct Refusal {
    RefusalKind kind { RefusalKind::Statement };
    std::string message {};
};

// Either the carrier failed or the member refused.
struct TargetFailure {
    std::optional<Refusal> refusal {}; // set: the member said so, and nothing ran
    LinkFailure link {}; // meaningful without a refusal

    bool isCertainlyNotRun() const { return refusal || !link.mayHaveArrived; }
};

template <typename T>
using TargetResult = tl::expected<T, TargetFailure>;
template <typename T>
using AsyncTargetResult = boost::asio::awaitable<TargetResult<T>>;

struct ExecuteRequest {
    uint64_t term { 0 }; // the member must work in it (writes)
    bool isWrite { false };
    std::string statement {};
    std::string parameters {}; // JSON array
    std::string requestKey {}; // stored with the write; empty: none
    Mark atLeast {}; // reads: the member must hold this entry
    base::milliseconds waitLimit { 0 }; // reads: how long it may wait for that
};

struct ExecuteResult {
    std::string result {}; // JSON
    Mark mark {}; // last entry of the member's log when it answered
    bool wasReplayed { false }; // the key was known: this is the first run's answer
    bool didRun { true }; // settle only: false means that the key is closed now
    decisions::MemberGlimpse glimpse {}; // term 0 from a target that does not say what it works in
};

struct AwaitPositionResult {
    uint64_t term { 0 };
    uint64_t fencedTerm { 0 };
    uint64_t logTerm { 0 };
    uint64_t position { 0 };
};

// All of them close the connection when the carrier fails; a refusal leaves it usable.
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
