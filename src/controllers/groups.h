// Maintains a table of all groups for request threads, and a GroupController for each group that this host is or was a home
// of. Both are updated when records, hosts or the platform's list change.
#pragma once
#include "base/snapshot.h"
#include "controllers/configuration.h"
#include "controllers/group.h"
#include "controllers/hosts.h"
#include "controllers/node.h"
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace alderward::controllers {

struct GroupEntry {
    std::shared_ptr<const decisions::GroupRecord> record {};
    uint64_t version { 0 };
    std::vector<std::string> homes {}; // best first
    std::vector<std::string> relayOrder {}; // other homes: live ones first, then suspects; each of these parts starts with homes of this data centre
    bool isHome { false };
    std::shared_ptr<GroupController> controller {}; // empty: this host has never been a home
};

using GroupTable = std::map<std::string, GroupEntry>;

class GroupsController {
public:
    GroupsController(Node& node, ConfigurationController& configuration, HostsController& hosts);

    void start();
    const base::Snapshot<GroupTable>& getTable() const { return m_table; }
    size_t getOpenTransactions() const;

private:
    void refresh();
    GroupEntry makeEntry(const std::string& name, const ActiveGroupRecord& group, const Configuration& configuration, const decisions::Membership& membership, const std::vector<decisions::PlacedHost>& live);
    std::vector<std::string> sortForRelay(const std::vector<std::string>& homes, const decisions::Membership& membership) const;
    void handleGroupNews(const peer::GroupNews& news);

    Node& m_node;
    ConfigurationController& m_configuration;
    HostsController& m_hosts;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::map<std::string, std::shared_ptr<GroupController>> m_controllers;
    base::Snapshot<GroupTable> m_table;
};

}
