// A database group with one synchronous replica: a commit is acknowledged once one replica has received it. Speaks the line protocol of members, as far
// as hosts use it here: sessions, transactions, reads, writes, positions, STATUS and promotion. Used on one thread.
#pragma once
#include "links/channel.h"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

using std::chrono::milliseconds;

struct SyncMemberOptions {
    std::string id;
    unsigned short port { 0 };
    milliseconds lag { 0 }; // until this member, as a replica, receives a commit
};

// A commit that a promotion rolled back.
struct LostCommit {
    std::string statement; // id
    std::string promoted; // member
    std::vector<std::string> receivedBy; // replicas
    bool wasAcknowledged { false }; // the member had sent its answer
};

class SyncGroup {
public:
    using Log = std::function<void(const std::string& line)>;

    SyncGroup(boost::asio::io_context& context, std::string name, const std::vector<SyncMemberOptions>& members, Log log);
    ~SyncGroup();

    const std::string& getName() const { return m_name; }
    const std::string& getPrimary() const { return m_primary; }
    uint64_t getTerm() const { return m_term; }
    std::string getAddress(const std::string& id) const;
    bool has(const std::string& id) const { return m_members.contains(id); }
    // The member leads the next term with what it has received, and nothing more.
    void promote(const std::string& id);
    const std::vector<LostCommit>& getLostCommits() const { return m_lost; }
    size_t countAcknowledged() const { return m_acknowledged.size(); }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Member {
        SyncMemberOptions options;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        size_t received { 0 }; // entries of the log
        std::set<ConnectionPtr> connections;
    };
    struct Entry {
        std::string statement; // id of the write or COMMIT
        std::map<std::string, std::string> items;
        std::vector<std::string> receivedBy; // replicas
        std::function<void()> acknowledge; // empty once called
    };

    void accept(Member& member);
    void handleNext(const ConnectionPtr& connection);
    void handleLine(const ConnectionPtr& connection, const std::string& line);
    void handleConnect(const ConnectionPtr& connection, const std::vector<std::string>& words);
    void handleQuery(const ConnectionPtr& connection, const std::string& id, std::string text);
    void run(const ConnectionPtr& connection, const std::string& id, const std::string& text);
    void commit(Member& member, const std::string& id, std::map<std::string, std::string> items, std::function<void()> acknowledge);
    void receive(Member& replica, size_t count, uint64_t term);
    void answer(const ConnectionPtr& connection, const std::string& body);
    std::string getPosition(const Member& member) const;
    std::string read(const Member& member, const std::string& item) const;
    void after(milliseconds time, std::function<void()> task);
    void close(const ConnectionPtr& connection);

    boost::asio::io_context& m_context;
    std::string m_name;
    std::map<std::string, Member> m_members;
    std::string m_primary;
    uint64_t m_term { 1 };
    std::vector<Entry> m_log;
    std::set<std::string> m_acknowledged; // ids of statements
    std::vector<LostCommit> m_lost;
    Log m_write;
};

}
