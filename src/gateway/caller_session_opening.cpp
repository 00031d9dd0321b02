// How a caller's session is opened, and the key that its caller presented.
#include "base/event_log.h"
#include "gateway/caller_session.h"

namespace alderward::gateway {

using base::Clock;
using base::LogClass;
using decisions::ErrorKind;
using decisions::SessionState;

// A host that has just started usually has its configuration soon. After the deadline the store is probably unreachable, and callers are refused.
bool CallerSession::mustWaitForConfiguration() const
{
    return m_context.view.configuration.version == 0 && m_context.stop.phase == StopPhase::Serving && Clock::now() < m_context.configurationDeadline;
}

void CallerSession::open(const links::OpenSession& message)
{
    if (mustWaitForConfiguration()) {
        m_pendingOpen = message;
        m_channel->setReadingPaused(true);
        return;
    }
    m_database = message.database;
    auto& configuration = m_context.view.configuration;
    auto it = configuration.routes.find(m_database);
    m_keyDigest = message.key;
    if (it != configuration.routes.end())
        m_route = it->second;
    auto account = findOwnAccount();
    std::optional<decisions::Error> refusal;
    if (m_context.stop.phase != StopPhase::Serving)
        refusal = { ErrorKind::Draining, "this host is stopping" };
    else if (configuration.version == 0) // load balancers use hosts that are not ready if there are no others
        refusal = { ErrorKind::NotConfigured, "this host has no configuration yet" };
    else if (!account) // checked before the database, so that unauthorised callers cannot find out which databases exist
        refusal = { ErrorKind::UnknownKey, "unknown API key" };
    else if (it == configuration.routes.end())
        refusal = { ErrorKind::UnknownGroup, "no such database" };
    if (refusal) {
        m_channel->send(m_context.codec.formatError(*refusal));
        close("refused");
        return;
    }
    m_account = *account;
    m_keyCheckedVersion = configuration.version;
    m_isOpen = true;
    m_channel->send(m_context.codec.formatReady(SessionState::Idle));
    m_channel->setReadingPaused(false);
}

std::optional<std::string> CallerSession::findOwnAccount() const
{
    auto& accounts = m_context.view.configuration.accounts;
    if (!accounts)
        return std::string();
    if (auto* account = decisions::findAccount(*accounts, m_keyDigest))
        return account->name;
    return m_route.isPublic ? std::optional<std::string>("") : std::nullopt;
}

// A key can be removed, or moved to another account, while its session is open. Between transactions the session then continues under the new account.
bool CallerSession::checkKeyLost()
{
    auto version = m_context.view.configuration.version;
    if (!m_isOpen || version == m_keyCheckedVersion)
        return false;
    auto account = findOwnAccount();
    bool isInTransaction = m_state != SessionState::Idle;
    if (!account || (isInTransaction && *account != m_account))
        return true;
    m_account = *account;
    m_keyCheckedVersion = version;
    return false;
}

void CallerSession::logLostKey() const
{
    base::logEvent(LogClass::Failure, "key-lost", { { "session", std::string_view(m_name) }, { "database", std::string_view(m_database) }, { "account", std::string_view(m_account) }, { "configuration", static_cast<int64_t>(m_context.view.configuration.version) } });
}

// Rolls back an open transaction and answers the current statement with an error.
void CallerSession::answerLostKey()
{
    logLostKey();
    rollBack();
    m_state = SessionState::Idle;
    send(decisions::makeFailure(ErrorKind::UnknownKey, "the API key is no longer valid"));
    close("the API key is no longer valid");
}

// No statement is running: an error message tells why the session ends.
void CallerSession::closeForLostKey()
{
    logLostKey();
    m_channel->send(m_context.codec.formatError({ ErrorKind::UnknownKey, "the API key is no longer valid" }));
    close("the API key is no longer valid");
}

}
