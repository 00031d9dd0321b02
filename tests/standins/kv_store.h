// Stand-in for the platform's metadata store and its promotion call, over HTTP with JSON as published. Misbehaves on demand.
#pragma once
#include "links/http.h"
#include "standins/line_group.h"
#include <map>
#include <set>

namespace standins {

namespace links = alderward::links;

struct StoreFaults {
    unsigned status { 0 }; // every call gets this one instead of an answer; 0: none
    bool isSilent { false }; // no call is answered
    milliseconds delay { 0 }; // each call is answered this much later
    int lostAnswers { 0 }; // so many of the next changes are made and not answered
    bool silentWatches { false }; // watches that wait are never answered
    std::set<std::string> refusedKeys {}; // reads of these keys get 503
    bool losesPromotions { false }; // orders are carried out late and not answered
    milliseconds promotionsTake { 0 }; // an order is answered at once and carried out this much later
    bool refusesPromotions { false }; // orders are answered as not taken
    std::set<std::string> unheardHolders {}; // orders of these hosts are neither carried out nor answered
};

struct PromotionSeen {
    std::string group;
    std::string member;
    std::string holder;
    uint64_t token;
    unsigned status;
};

class KvStore {
public:
    KvStore(boost::asio::io_context& context, unsigned short port, std::vector<LineGroup*> groups);

    std::string getAddress() const { return m_address; }
    StoreFaults faults {};
    std::map<std::string, std::string> advertised {}; // addresses in values and what stands in their place: proxies before them
    void put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void remove(const std::string& key);
    bool has(const std::string& key) const { return m_items.contains(key); }
    // Registers the members of all groups as they are now.
    void listMembers();
    void setLeaving(const std::string& member, bool isLeaving);
    // Forgets the history: every watch that waits or comes with an older revision is told so.
    void compact();
    const std::vector<PromotionSeen>& getPromotions() const { return m_promotions; }
    uint64_t getCalls() const { return m_calls; }
    uint64_t getWatches() const { return m_watches; }

private:
    struct Item {
        std::string value;
        uint64_t revision { 0 };
        uint64_t created { 0 };
        uint64_t lease { 0 };
    };
    struct Change {
        uint64_t revision;
        std::string key;
        bool isDeleted;
        Item item;
    };
    boost::asio::awaitable<links::HttpResponse> serve(links::HttpRequest request);
    boost::asio::awaitable<links::HttpResponse> watch(std::string prefix, uint64_t after, int waitMs);
    links::HttpResponse change(const std::string& body);
    links::HttpResponse promote(const links::HttpRequest& request);
    bool carryOut(LineGroup& group, const std::string& member);
    links::HttpResponse list(const std::string& prefix) const;
    void expire();

    boost::asio::io_context& m_context;
    std::string m_address;
    std::vector<LineGroup*> m_groups;
    std::unique_ptr<links::HttpServer> m_server;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    std::map<uint64_t, std::pair<std::chrono::steady_clock::time_point, milliseconds>> m_leases; // when it ends, how long it runs
    std::map<std::string, uint64_t> m_tokens; // highest seen, by group
    std::set<std::string> m_leaving;
    std::vector<PromotionSeen> m_promotions;
    uint64_t m_revision { 0 };
    uint64_t m_forgotten { 0 };
    uint64_t m_lastLease { 100 };
    uint64_t m_calls { 0 };
    uint64_t m_watches { 0 };
};

}
