#include "gateway/target_session.h"

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

TargetSession::TargetSession(boost::asio::any_io_executor executor, const links::StatementCodec& codec)
    : m_codec(codec)
    , m_channel(std::make_shared<links::Channel>(executor, links::ChannelOptions {}))
    , m_handshakeTimer(executor)
{
}

void TargetSession::open(const TargetAddress& target, const std::string& clientName, milliseconds timeout, OutcomeCallback onOpen, std::function<void(const std::string&)> onClosed)
{
    m_onOpen = std::move(onOpen);
    m_onClosed = std::move(onClosed);
    m_lastReceivedAt = Clock::now();
    auto self = shared_from_this();
    m_channel->connect(
        target.address, timeout, [self](std::string_view message) { self->handleMessage(message); }, [self](const std::string& reason) { self->fail(reason); });
    m_channel->send(m_codec.formatHello(target.group, clientName, target.member));
    m_handshakeTimer.expires_after(timeout);
    m_handshakeTimer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        auto session = weak.lock();
        if (!ec && session && session->m_onOpen)
            session->fail("handshake timed out");
    });
}

void TargetSession::sendStatement(std::string_view bytes, OutcomeCallback onAnswer)
{
    auto now = Clock::now();
    if (m_pending.empty())
        m_oldestPendingAt = now;
    m_pending.push_back({ std::move(onAnswer), now });
    m_channel->send(bytes);
}

void TargetSession::handleMessage(std::string_view message)
{
    m_lastReceivedAt = Clock::now();
    auto parsed = m_codec.parseTargetMessage(message);
    if (!m_isOpen) {
        handleHandshakeAnswer(parsed);
        return;
    }
    if (m_pending.empty()) {
        // Nothing is pending: this message could be mistaken for the answer to the next statement.
        fail("unexpected message from the target");
        return;
    }
    if (auto* row = std::get_if<links::RowMessage>(&parsed))
        m_outcome.rows.emplace_back(row->data);
    else if (auto* complete = std::get_if<links::CompleteMessage>(&parsed))
        m_outcome.signature = complete->signature;
    else if (auto* failure = std::get_if<links::FailureMessage>(&parsed))
        m_outcome.error = std::move(failure->error);
    else if (auto* ready = std::get_if<links::ReadyMessage>(&parsed))
        finishAnswer(*ready);
    else
        fail("malformed answer from the target");
}

void TargetSession::handleHandshakeAnswer(const links::TargetMessage& message)
{
    m_handshakeTimer.cancel();
    Outcome outcome;
    if (auto* ready = std::get_if<links::ReadyMessage>(&message)) {
        m_isOpen = true;
        outcome.position = ready->position;
        auto onOpen = std::move(m_onOpen);
        onOpen(outcome);
        return;
    }
    auto* failure = std::get_if<links::FailureMessage>(&message);
    outcome.error = failure ? failure->error : decisions::Error { ErrorKind::TargetUnreachable, "malformed handshake answer" };
    m_channel->close();
    auto onOpen = std::move(m_onOpen);
    m_onClosed = nullptr;
    onOpen(outcome);
}

void TargetSession::finishAnswer(const links::ReadyMessage& ready)
{
    auto pending = std::move(m_pending.front());
    m_pending.pop_front();
    if (!m_pending.empty())
        m_oldestPendingAt = m_pending.front().sentAt;
    auto outcome = std::move(m_outcome);
    m_outcome = {};
    outcome.position = ready.position;
    m_targetState = ready.state;
    outcome.wasSent = true;
    auto self = shared_from_this();
    pending.onAnswer(outcome);
}

void TargetSession::fail(const std::string& reason)
{
    m_channel->close();
    auto self = shared_from_this();
    if (m_onOpen) {
        auto onOpen = std::move(m_onOpen);
        m_onOpen = nullptr;
        m_onClosed = nullptr;
        onOpen(decisions::makeFailure(ErrorKind::TargetUnreachable, reason));
        return;
    }
    m_isOpen = false;
    auto pending = std::move(m_pending);
    m_pending.clear();
    auto onClosed = std::move(m_onClosed);
    m_onClosed = nullptr;
    for (auto& it : pending)
        it.onAnswer(decisions::makeFailure(ErrorKind::OutcomeUnknown, "connection to the target lost: " + reason, true));
    if (onClosed)
        onClosed(reason);
}

void TargetSession::close()
{
    if (!m_isOpen && !m_onOpen)
        return;
    m_onOpen = nullptr;
    m_onClosed = nullptr;
    fail("closed by this host");
}

}
