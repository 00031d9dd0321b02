// Stand-in for a database group. Speaks the line protocol of members, as far as hosts use it here: sessions, transactions, reads, writes, positions,
// STATUS and promotion. With a synchronous replica, a commit is acknowledged once one replica has received it. Used on one thread.
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

struct MemberOptions {
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

class MemberGroup {
public:
    using Log = std::function<void(const std::string& line)>;

    MemberGroup(boost::asio::io_context& context, std::string name, const std::vector<MemberOptions>& members, unsigned synchronousReplicas, Log log);
    ~MemberGroup();

    const std::string& getName() const { return m_name; }
    const std::string& getPrimary() const { return m_primary; }
    uint64_t getTerm() const { return m_term; }
    std::string getAddress(const std::string& id) const;
    bool isRunning(const std::string& id) const { return m_members.contains(id) && m_members.at(id).acceptor != nullptr; }
    unsigned getStartCount(const std::string& id) const { return m_members.at(id).startCount; }
    // Ends the member's process: its connections are closed, and new ones are refused.
    void crash(const std::string& id);
    // Starts it again under the same id. It holds nothing of before; nobody has told it that it does not lead any more, unless another one was promoted.
    void startAgain(const std::string& id);
    // The member leads the next term with what it has received, and nothing more.
    void promote(const std::string& id);
    const std::vector<LostCommit>& getLostCommits() const { return m_lost; }

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Entry {
        std::string statement; // id of the write or COMMIT
        std::map<std::string, std::string> items;
        std::vector<std::string> receivedBy; // replicas
        std::function<void()> acknowledge; // empty once called
    };
    struct Member {
        MemberOptions options;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor; // null while it is down
        unsigned startCount { 1 };
        std::vector<std::shared_ptr<Entry>> log;
        std::set<ConnectionPtr> connections;
    };

    void listen(Member& member);
    void accept(Member& member);
    void handleNext(const ConnectionPtr& connection);
    void handleLine(const ConnectionPtr& connection, const std::string& line);
    void handleConnect(const ConnectionPtr& connection, const std::vector<std::string>& words);
    void handleQuery(const ConnectionPtr& connection, const std::string& id, std::string text);
    void run(const ConnectionPtr& connection, const std::string& id, const std::string& text);
    void commit(Member& member, const std::string& id, std::map<std::string, std::string> items, std::function<void()> acknowledge);
    void replicate(const Member& from, Member& replica, size_t count);
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
    unsigned m_synchronousReplicas;
    std::set<std::string> m_acknowledged; // ids of statements
    std::vector<LostCommit> m_lost;
    Log m_write;
};

}
