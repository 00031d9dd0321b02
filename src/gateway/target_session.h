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
    using Answer = std::function<void(const Outcome& outcome)>;

    TargetSession(boost::asio::any_io_executor executor, const links::StatementCodec& codec);

    // Connects and says hello. The answer says whether it may be used; `onClosed` comes once, for any later end.
    void open(const TargetAddress& target, const std::string& from, milliseconds limit, Answer onOpen, std::function<void(const std::string& reason)> onClosed);
    // Sends a statement; its answer comes in order. When the connection ends first, the outcome is unknown.
    void ask(std::string_view bytes, Answer onAnswer);
    void close();

    bool isOpen() const { return m_isOpen; }
    // What the target said last of where the connection stands.
    decisions::SessionState getTargetState() const { return m_targetState; }
    size_t getPending() const { return m_pending.size(); }
    TimePoint getHeardAt() const { return m_heardAt; }
    TimePoint getAskedAt() const { return m_askedAt; } // when the oldest unanswered question was sent

    std::string account {}; // whose it is; empty: this host's own
    decisions::ConnectionState state {}; // what earlier sessions left on it
    uint64_t transaction { 0 }; // that holds it; 0: none
    bool isBusy { false }; // a job runs on it
    TimePoint usedAt {}; // the last time a job ended on it
    unsigned served { 0 }; // jobs
    // Whether a job may be given to it.
    bool isFree() const { return !isBusy && transaction == 0; }

private:
    struct Pending {
        Answer onAnswer;
        TimePoint askedAt;
    };
    void takeMessage(std::string_view message);
    void takeHello(const links::TargetMessage& message);
    void endAnswer(const links::ReadyMessage& ready);
    void fail(const std::string& reason);

    const links::StatementCodec& m_codec;
    std::shared_ptr<links::Channel> m_channel;
    boost::asio::steady_timer m_helloTimer; // a target may take the connection and never say anything
    std::deque<Pending> m_pending;
    Answer m_onOpen;
    std::function<void(const std::string&)> m_onClosed;
    Outcome m_current; // of the answer that is being read
    TimePoint m_heardAt {};
    TimePoint m_askedAt {};
    decisions::SessionState m_targetState { decisions::SessionState::Idle };
    bool m_isOpen { false };
};

}
