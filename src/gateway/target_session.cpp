#include "gateway/target_session.h"

namespace alderward::gateway {

using base::Clock;
using decisions::ErrorKind;

TargetSession::TargetSession(boost::asio::any_io_executor executor, const links::StatementCodec& codec)
    : m_codec(codec)
    , m_channel(std::make_shared<links::Channel>(executor, links::ChannelOptions {}))
    , m_helloTimer(executor)
{
}

void TargetSession::open(const TargetAddress& target, const std::string& from, milliseconds limit, Answer onOpen, std::function<void(const std::string&)> onClosed)
{
    m_onOpen = std::move(onOpen);
    m_onClosed = std::move(onClosed);
    m_heardAt = Clock::now();
    auto self = shared_from_this();
    m_channel->connect(
        target.address, limit, [self](std::string_view message) { self->takeMessage(message); }, [self](const std::string& reason) { self->fail(reason); });
    m_channel->send(m_codec.formatHello(target.group, from, target.member));
    m_helloTimer.expires_after(limit);
    m_helloTimer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        auto session = weak.lock();
        if (!ec && session && session->m_onOpen)
            session->fail("no hello in time");
    });
}

void TargetSession::ask(std::string_view bytes, Answer onAnswer)
{
    auto now = Clock::now();
    if (m_pending.empty())
        m_askedAt = now;
    m_pending.push_back({ std::move(onAnswer), now });
    m_channel->send(bytes);
}

void TargetSession::takeMessage(std::string_view message)
{
    m_heardAt = Clock::now();
    auto parsed = m_codec.parseTargetMessage(message);
    if (!m_isOpen) {
        takeHello(parsed);
        return;
    }
    if (m_pending.empty()) {
        // Nothing was asked: an answer here could be taken for the next statement's.
        fail("unexpected message");
        return;
    }
    if (auto* row = std::get_if<links::RowMessage>(&parsed))
        m_current.rows.emplace_back(row->data);
    else if (auto* complete = std::get_if<links::CompleteMessage>(&parsed))
        m_current.signature = complete->signature;
    else if (auto* failure = std::get_if<links::FailureMessage>(&parsed))
        m_current.error = std::move(failure->error);
    else if (auto* ready = std::get_if<links::ReadyMessage>(&parsed))
        endAnswer(*ready);
    else
        fail("malformed answer");
}

void TargetSession::takeHello(const links::TargetMessage& message)
{
    m_helloTimer.cancel();
    Outcome outcome;
    if (auto* ready = std::get_if<links::ReadyMessage>(&message)) {
        m_isOpen = true;
        outcome.position = ready->position;
        auto onOpen = std::move(m_onOpen);
        onOpen(outcome);
        return;
    }
    auto* failure = std::get_if<links::FailureMessage>(&message);
    outcome.error = failure ? failure->error : decisions::Error { ErrorKind::TargetUnreachable, "malformed hello" };
    m_channel->close();
    auto onOpen = std::move(m_onOpen);
    m_onClosed = nullptr;
    onOpen(outcome);
}

void TargetSession::endAnswer(const links::ReadyMessage& ready)
{
    auto pending = std::move(m_pending.front());
    m_pending.pop_front();
    if (!m_pending.empty())
        m_askedAt = m_pending.front().askedAt;
    auto outcome = std::move(m_current);
    m_current = {};
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
