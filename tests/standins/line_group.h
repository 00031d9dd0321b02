// Stand-in for a database group whose members speak the platform's line protocol, with sessions, transactions, a replicated
// log and promotion. Tests can inject faults and inspect the executed statements.
#pragma once
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins {

using std::chrono::milliseconds;

// A caller's statement that a member executed.
struct ExecutedStatement {
    std::string member;
    std::string id;
    std::string text; // READ or WRITE and their arguments, also for a prepared statement
    std::string shape; // of the prepared statement; empty: none
    std::map<std::string, std::string> variables; // session variables of the connection
    std::string account; // client account from the connection's handshake
    std::string transaction; // id of the first statement of its transaction; empty: none
};

struct MemberFaults {
    bool isUnresponsive { false }; // keeps connections open but answers nothing
    bool failsRollback { false }; // replies with an error and keeps the transaction open
    int closedAfterRun { 0 }; // number of next statements that are executed, then their connection is closed without a reply
    int refusedSetups { 0 }; // number of next SET and PREPARE messages that are refused
    int busyReplies { 0 }; // number of next statements that are refused as busy
    int unansweredAfterRun { 0 }; // number of next statements that are executed and never answered
    milliseconds lag { 5 }; // until this member applies a commit
    milliseconds statementTime { 1 }; // execution time of a statement in a slot
    bool isReplicationStopped { false }; // receives no log entries
    bool refusesSuspension { false }; // replies to SUSPEND with an error, as a member that does not know the command
};

// An acknowledged commit that a promotion discarded although a replica had received it.
struct LostCommit {
    std::string statement; // id
    std::string promoted; // member
};

class LineGroup {
public:
    LineGroup(boost::asio::io_context& context, std::string name, std::vector<std::string> ids, std::vector<unsigned short> ports, unsigned slots, unsigned connections);
    ~LineGroup();

    const std::string& getName() const;
    const std::vector<std::string>& getIds() const;
    std::string getAddress(const std::string& id) const;
    std::string getPrimary() const;
    uint64_t getTerm() const;
    MemberFaults& getFaults(const std::string& id);
    // A commit is acknowledged once this many replicas have received it; 0: at once.
    void setSynchronousReplicas(unsigned count);
    // A primary acknowledges commits that a replica has received also after it has lost its lead.
    void setAcknowledgesLate(bool acknowledgesLate);
    // Term of the suspension that is in force at the member; 0: it receives log entries.
    uint64_t getSuspendedFor(const std::string& id) const;
    // Makes the member primary of the next term with the entries it received; returns false if it is not running.
    bool promote(const std::string& id);
    // Closes the member's connections and stops listening. After `start` it is a replica, or still primary if no other member
    // was promoted meanwhile.
    void kill(const std::string& id);
    void start(const std::string& id);
    // Adds a replica, which starts without data and receives the log.
    void addMember(const std::string& id, unsigned short port);
    // Ends a replica for good.
    void removeMember(const std::string& id);
    // Restarts the member without data; a primary still claims to be primary.
    void restartEmpty(const std::string& id);
    unsigned getStartCount(const std::string& id) const; // number of starts of the member
    size_t getConnectionCount(const std::string& id) const; // currently open
    size_t getPeakConnections(const std::string& id) const; // peak of open connections
    size_t countWritingTransactions(const std::string& id) const; // open transactions with uncommitted writes
    const std::vector<ExecutedStatement>& getExecutedStatements() const;
    const std::map<std::string, std::string>& getItems() const; // committed data of the primary
    // Only with synchronous replicas. Without those that every replica had lost before, by a restart without data.
    const std::vector<LostCommit>& getLostCommits() const;
    uint64_t getCommitCount() const;
    uint64_t getLaggingRefusals() const; // statements refused because the member lacked their required position

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
