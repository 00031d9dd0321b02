// One connection to a target: performs the handshake, pipelines statements and matches answers to them in order.
#pragma once
#include "links/channel.h"
#include "links/statement_codec.h"
#include <deque>

namespace alderward::gateway {

using base::TimePoint;
using decisions::Mark;
using decisions::milliseconds;
using decisions::Outcome;

// Identity and address of a member of a database group, as the target of connections.
struct TargetAddress {
    std::string member {}; // unique id of the member
    std::string group {};
    std::string address {}; // ip:port
    friend bool operator==(const TargetAddress&, const TargetAddress&) = default;
};

class TargetSession : public std::enable_shared_from_this<TargetSession> {
public:
    // `position` of the outcome is the target's log position when it answered.
    using OutcomeCallback = std::function<void(const Outcome& outcome)>;

    TargetSession(boost::asio::any_io_executor executor, const links::StatementCodec& codec);

    // Connects and performs the handshake; without an answer within `timeout`, `onOpen` gets an error. After a successful handshake, `onClosed` is
    // called once when the connection fails, but not after close().
    void open(const TargetAddress& target, const std::string& clientName, milliseconds timeout, OutcomeCallback onOpen, std::function<void(const std::string& reason)> onClosed);
    // Sends an encoded statement. Answers arrive in the order of sending. If the connection ends first, the outcome is OutcomeUnknown.
    void sendStatement(std::string_view bytes, OutcomeCallback onAnswer);
    void close();

    bool isOpen() const { return m_isOpen; }
    // Transaction state of the connection, as of the target's last answer.
    decisions::SessionState getTargetState() const { return m_targetState; }
    size_t countPending() const { return m_pending.size(); }
    TimePoint getLastReceivedAt() const { return m_lastReceivedAt; }
    TimePoint getOldestPendingAt() const { return m_oldestPendingAt; } // when the oldest unanswered statement was sent

    std::string account {}; // client account that it belongs to; empty: none
    decisions::ConnectionState state {}; // variables and prepared statements left by earlier sessions
    uint64_t transaction { 0 }; // number of the transaction that holds it; 0: none
    bool isBusy { false }; // a statement or a message of the pool itself runs on it
    TimePoint lastUsedAt {}; // when the last job on it ended, or when it was opened
    unsigned servedJobs { 0 };
    bool isIdle() const { return !isBusy && transaction == 0; }

private:
    struct Pending {
        OutcomeCallback onAnswer;
        TimePoint sentAt;
    };
    void handleMessage(std::string_view message);
    void handleHandshakeAnswer(const links::TargetMessage& message);
    void finishAnswer(const links::ReadyMessage& ready);
    void fail(const std::string& reason);

    const links::StatementCodec& m_codec;
    std::shared_ptr<links::Channel> m_channel;
    boost::asio::steady_timer m_handshakeTimer; // a target may accept the connection and never answer
    std::deque<Pending> m_pending;
    OutcomeCallback m_onOpen;
    std::function<void(const std::string&)> m_onClosed;
    Outcome m_outcome; // built up from the messages of the current answer
    TimePoint m_lastReceivedAt {};
    TimePoint m_oldestPendingAt {};
    decisions::SessionState m_targetState { decisions::SessionState::Idle };
    bool m_isOpen { false };
};

}
