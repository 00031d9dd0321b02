// Wire format of sessions: parses and formats the messages exchanged with callers and targets. A platform adapter
// implements it, so that the gateway is independent of the protocol.
#pragma once
#include "decisions/accounts.h"
#include "decisions/statement.h"
#include <string>
#include <string_view>
#include <variant>

namespace alderward::links {

// ---- from callers ----

struct OpenSession {
    std::string database {};
    decisions::KeyDigest key {}; // digest of the key that the caller presented
};
struct EndSession { };
struct MalformedMessage {
    std::string reason {};
};
using CallerMessage = std::variant<OpenSession, decisions::Statement, EndSession, MalformedMessage>;

// ---- from targets ----

struct RowMessage {
    std::string_view data {}; // points into the message
};
struct CompleteMessage {
    std::string_view signature {}; // points into the message
};
struct FailureMessage {
    decisions::Error error {};
};
// The last message of every response.
struct ReadyMessage {
    decisions::SessionState state { decisions::SessionState::Idle };
    decisions::Mark position {}; // term 0: not reported
};
using TargetMessage = std::variant<RowMessage, CompleteMessage, FailureMessage, ReadyMessage, MalformedMessage>;

// A target's response to a status query.
struct TargetStatus {
    bool isPrimary { false };
    uint64_t term { 0 };
    decisions::Mark received {}; // latest entry of its log, applied or not
    decisions::milliseconds lag { 0 };
    uint64_t suspendedFor { 0 }; // term for which it receives no log entries; 0: it receives them
    friend bool operator==(const TargetStatus&, const TargetStatus&) = default;
};

// A change to whether a replica receives log entries.
enum class ReplicationChange {
    None,
    Suspend, // until it is resumed, a member is promoted, or it restarts
    Resume,
};

// A status query, with a change that the target makes before it answers.
struct StatusQuery {
    ReplicationChange change { ReplicationChange::None };
    uint64_t term { 0 }; // Suspend: above the newest term of the group
    friend bool operator==(const StatusQuery&, const StatusQuery&) = default;
};

class StatementCodec {
public:
    virtual ~StatementCodec() = default;
    // callers
    virtual CallerMessage parseCallerMessage(std::string_view message) const = 0;
    // The complete response to a statement: rows, result and session state.
    virtual std::string formatAnswer(const decisions::Outcome& outcome, decisions::SessionState state) const = 0;
    virtual std::string formatReady(decisions::SessionState state) const = 0;
    virtual std::string formatError(const decisions::Error& error) const = 0;
    // targets
    virtual std::string formatHello(const std::string& group, const std::string& from, const std::string& member) const = 0;
    // A caller's statement. With a term in `atLeast`, the target refuses a read if its log lacks that entry; `preparedName`
    // replaces the caller's name of a prepared statement.
    virtual std::string formatStatement(const decisions::Statement& statement, const decisions::Mark& atLeast, const std::string& preparedName) const = 0;
    // Statements that the proxy itself sends.
    virtual std::string formatBegin(bool isReadOnly, const decisions::Mark& atLeast) const = 0;
    virtual std::string formatRollback() const = 0;
    virtual std::string formatReset() const = 0;
    virtual std::string formatSetVariable(const std::string& name, const std::string& value) const = 0;
    virtual std::string formatPrepare(const std::string& name, const decisions::PreparedShape& shape) const = 0;
    virtual std::string formatStatusQuery(const StatusQuery& query) const = 0;
    virtual TargetMessage parseTargetMessage(std::string_view message) const = 0;
    virtual std::optional<TargetStatus> parseStatus(std::string_view row) const = 0;
};

}
