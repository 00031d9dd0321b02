// How sessions are spoken on a wire: read what callers send, write what targets are sent, and the answers of both. A carrier
// implements it; the gateway uses it and knows no wire.
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
    decisions::KeyDigest key {}; // of what the caller says to be its key
};
struct EndSession { };
struct MalformedMessage {
    std::string reason {};
};
using CallerMessage = std::variant<OpenSession, decisions::Statement, EndSession, MalformedMessage>;

// ---- from targets ----

struct RowMessage {
    std::string_view data {}; // into the message
};
struct CompleteMessage {
    std::string_view signature {}; // into the message
};
struct FailureMessage {
    decisions::Error error {};
};
// The last message of every answer.
struct ReadyMessage {
    decisions::SessionState state { decisions::SessionState::Idle };
    decisions::Mark position {}; // term 0: not said
};
using TargetMessage = std::variant<RowMessage, CompleteMessage, FailureMessage, ReadyMessage, MalformedMessage>;

// A target's word on itself, in answer to a status question.
struct TargetStatus {
    bool isPrimary { false };
    uint64_t term { 0 };
    decisions::Mark received {}; // newest entry of its log, applied or not
    decisions::milliseconds lag { 0 };
    friend bool operator==(const TargetStatus&, const TargetStatus&) = default;
};

class StatementCodec {
public:
    virtual ~StatementCodec() = default;
    // callers
    virtual CallerMessage parseCallerMessage(std::string_view message) const = 0;
    // The answer to a statement, whole: rows, result and the state that the session is in now.
    virtual std::string formatAnswer(const decisions::Outcome& outcome, decisions::SessionState state) const = 0;
    virtual std::string formatReady(decisions::SessionState state) const = 0;
    virtual std::string formatError(const decisions::Error& error) const = 0;
    // targets
    virtual std::string formatHello(const std::string& group, const std::string& from, const std::string& member) const = 0;
    // A caller's statement; `atLeast` with a term makes a read refuse a log that lacks it, `preparedName` replaces the caller's name.
    virtual std::string formatStatement(const decisions::Statement& statement, const decisions::Mark& atLeast, const std::string& preparedName) const = 0;
    // Statements of our own.
    virtual std::string formatBegin(bool isReadOnly, const decisions::Mark& atLeast) const = 0;
    virtual std::string formatRollback() const = 0;
    virtual std::string formatReset() const = 0;
    virtual std::string formatSetValue(const std::string& name, const std::string& value) const = 0;
    virtual std::string formatPrepare(const std::string& name, const decisions::PreparedShape& shape) const = 0;
    virtual std::string formatStatusQuery() const = 0;
    virtual TargetMessage parseTargetMessage(std::string_view message) const = 0;
    virtual std::optional<TargetStatus> parseStatus(std::string_view row) const = 0;
};

}
