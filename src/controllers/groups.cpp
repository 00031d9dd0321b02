#include "controllers/groups.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace alderward::controllers {

namespace asio = boost::asio;

GroupsController::GroupsController(Node& node, ConfigurationController& configuration, HostsController& hosts)
    : m_node(node)
    , m_configuration(configuration)
    , m_hosts(hosts)
    , m_strand(asio::make_strand(node.contexts.getNext()))
{
}

void GroupsController::start()
{
    auto refreshLater = [this] { asio::post(m_strand, [this] { refresh(); }); };
    m_configuration.onChange([this, refreshLater] { m_hosts.applyHostList(refreshLater); });
    m_hosts.onChange(refreshLater);
    m_configuration.onNewValues([this](std::vector<peer::RecordBody> bodies) { m_hosts.pushRecords(std::move(bodies)); });
    m_hosts.onGroupNews([this](const peer::GroupNews& news) { handleGroupNews(news); });
}

size_t GroupsController::getOpenTransactions() const
{
    size_t n = 0;
    for (auto& [name, entry] : *m_table.read())
        n += entry.controller ? entry.controller->getOpenTransactions() : 0;
    return n;
}

void GroupsController::handleGroupNews(const peer::GroupNews& news)
{
    auto table = m_table.read();
    auto it = table->find(news.group());
    if (it != table->end() && it->second.controller)
        it->second.controller->handleGroupNews(news);
}

std::vector<std::string> GroupsController::sortForRelay(const std::vector<std::string>& homes, const decisions::Membership& membership) const
{
    std::vector<std::string> sorted;
    std::ranges::copy_if(homes, std::back_inserter(sorted), [this](const std::string& it) { return it != m_node.settings.name; });
    std::ranges::stable_partition(sorted, [&](const std::string& it) {
        auto* host = decisions::findHost(membership, it);
        return host && host->dataCentre == m_node.settings.dataCentre;
    });
    // Suspects stay in the list, because one of them may be the only remaining home.
    std::ranges::stable_partition(sorted, [&](const std::string& it) {
        auto* host = decisions::findHost(membership, it);
        return host && host->state == decisions::HostState::Alive;
    });
    return sorted;
}

GroupEntry GroupsController::makeEntry(const std::string& name, const ActiveGroupRecord& group, const Configuration& configuration, const decisions::Membership& membership, const std::vector<decisions::PlacedHost>& live)
{
    GroupEntry entry;
    entry.record = group.record;
    entry.version = group.version;
    entry.homes = decisions::chooseHomes(*group.record, live, static_cast<unsigned>(m_node.settings.maxHomes));
    entry.relayOrder = sortForRelay(entry.homes, membership);
    entry.isHome = std::ranges::find(entry.homes, m_node.settings.name) != entry.homes.end();
    auto& controller = m_controllers[name];
    if (!controller && entry.isHome) {
        controller = std::make_shared<GroupController>(m_node, name);
        controller->onPrimaryAnnounced([this](const peer::GroupNews& news) {
            auto table = m_table.read();
            auto it = table->find(news.group());
            if (it != table->end())
                m_hosts.sendGroupNews(it->second.homes, news);
        });
    }
    entry.controller = controller;
    if (!controller)
        return entry;
    GroupConfiguration groupConfiguration { group.record, group.version, entry.homes, entry.isHome, {} };
    for (auto& it : group.record->members) {
        auto listed = configuration.platformHosts.find(it.name);
        groupConfiguration.isLeaving.push_back(it.isLeaving || (listed != configuration.platformHosts.end() && listed->second.isLeaving));
    }
    controller->setConfiguration(std::move(groupConfiguration));
    return entry;
}

void GroupsController::refresh()
{
    auto configuration = m_configuration.getSnapshot().read();
    auto membership = m_hosts.getSnapshot().read();
    auto live = decisions::getLiveHosts(*membership);
    auto table = std::make_shared<GroupTable>();
    for (auto& [name, group] : configuration->groups)
        (*table)[name] = makeEntry(name, group, *configuration, *membership, live);
    m_table.publish(std::move(table));
}

}
