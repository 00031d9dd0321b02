// Stand-in for a database group whose members speak the platform's line protocol: sessions with values and prepared statements,
// transactions, a replicated log, promotion. Runs on one io_context; misbehaves on demand; remembers what it ran.
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

// A caller's statement that a member ran.
struct RanStatement {
    std::string member;
    std::string id;
    std::string text; // with prepared names replaced by their shapes
    std::map<std::string, std::string> values; // of the connection
    std::string account; // that the connection named
    std::string transaction; // id of the first statement of the transaction it ran in; empty: none
};

struct MemberFaults {
    bool isDark { false }; // neither accepts nor answers
    bool failsRollback { false }; // answers an error and keeps the transaction open
    int losesAnswers { 0 }; // so many of the next reads, writes and commits run, and their connection is cut
    int turnsAway { 0 }; // so many of the next reads, writes and commits are answered as busy and not run
    int silentAnswers { 0 }; // so many of the next ones run and are never answered
    milliseconds lag { 5 }; // until a commit is applied at this member
    milliseconds work { 1 }; // a statement's time in a slot
    bool isDeaf { false }; // receives nothing
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
    // As by the platform: the member leads the next term with what it received; false if it does not run.
    bool promote(const std::string& id);
    // Ends the member's connections and its listening; `begin` brings it back as a replica, or as primary if none was promoted since.
    void kill(const std::string& id);
    void begin(const std::string& id);
    // Starts a member again at once under its id; it holds nothing of before and, if it was the primary, still calls itself that.
    void beginEmpty(const std::string& id);
    unsigned getStarts(const std::string& id) const; // of its process, the first not counted
    size_t getConnections(const std::string& id) const; // open now
    size_t getConnectionsMost(const std::string& id) const; // most at a time
    const std::vector<RanStatement>& getRan() const;
    const std::map<std::string, std::string>& getItems() const; // as committed at the primary
    uint64_t getCommits() const;
    uint64_t getTurnedAwayAsBehind() const; // statements whose position a member's log lacked

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

}
