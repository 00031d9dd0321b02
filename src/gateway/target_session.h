// One connection to a target: says hello, sends statements and matches answers to them in order.
#pragma once
#include "links/channel.h"
#include "links/statement_codec.h"
#include <deque>

namespace alderward::gateway {

using base::TimePoint;
using decisions::Mark;
using decisions::milliseconds;
using decisions::Outcome;

// A member of a database group as a target for connections.
struct TargetAddress {
    std::string member {}; // its unique id
    std::string group {};
    std::string address {}; // ip:port
    friend bool operator==(const TargetAddress&, const TargetAddress&) = default;
};

class TargetSession : public std::enable_shared_from_this<TargetSession> {
public:
    // `position` of the outcome is the target's log position behind this answer.
    using OutcomeCallback = std::function<void(const Outcome& outcome)>;

    TargetSession(boost::asio::any_io_executor executor, const links::StatementCodec& codec);

    // Connects and says hello. The answer says whether it may be used; `onClosed` comes once, for any later end.
    void open(const TargetAddress& target, const std::string& clientName, milliseconds timeout, OutcomeCallback onOpen, std::function<void(const std::string& reason)> onClosed);
    // Sends a statement; its answer comes in order. When the connection ends first, the outcome is unknown.
    void sendStatement(std::string_view bytes, OutcomeCallback onAnswer);
    void close();

    bool isOpen() const { return m_isOpen; }
    // What the target said last of where the connection stands.
    decisions::SessionState getTargetState() const { return m_targetState; }
    size_t countPending() const { return m_pending.size(); }
    TimePoint getLastReceivedAt() const { return m_lastReceivedAt; }
    TimePoint getOldestPendingAt() const { return m_oldestPendingAt; } // when the oldest unanswered question was sent

    std::string account {}; // whose it is; empty: this host's own
    decisions::ConnectionState state {}; // what earlier sessions left on it
    uint64_t transaction { 0 }; // that holds it; 0: none
    bool isBusy { false }; // a job runs on it
    TimePoint lastUsedAt {}; // the last time a job ended on it
    unsigned servedJobs { 0 }; // jobs
    // Whether a job may be given to it.
    bool isIdle() const { return !isBusy && transaction == 0; }

private:
    struct Pending {
        OutcomeCallback onAnswer;
        TimePoint sentAt;
    };
    void handleMessage(std::string_view message);
    void handleHello(const links::TargetMessage& message);
    void finishAnswer(const links::ReadyMessage& ready);
    void fail(const std::string& reason);

    const links::StatementCodec& m_codec;
    std::shared_ptr<links::Channel> m_channel;
    boost::asio::steady_timer m_helloTimer; // a target may take the connection and never say anything
    std::deque<Pending> m_pending;
    OutcomeCallback m_onOpen;
    std::function<void(const std::string&)> m_onClosed;
    Outcome m_outcome; // of the answer that is being read
    TimePoint m_lastReceivedAt {};
    TimePoint m_oldestPendingAt {};
    decisions::SessionState m_targetState { decisions::SessionState::Idle };
    bool m_isOpen { false };
};

}
