// Stand-in for the platform's metadata store and its promotion call (JSON over HTTP), with faults that tests can inject.
#pragma once
#include "links/http.h"
#include "standins/line_group.h"
#include <map>
#include <set>

namespace standins {

namespace links = alderward::links;

struct StoreFaults {
    unsigned status { 0 }; // HTTP status of the reply to every call; 0: calls are served
    bool isSilent { false }; // leaves all calls unanswered
    milliseconds delay { 0 }; // before each reply
    int droppedChangeReplies { 0 }; // number of next transactions that are applied but not answered
    bool hasSilentWatches { false }; // watches never receive a reply
    std::set<std::string> refusedKeys {}; // reads of these keys fail with 503
    bool losesPromotionReplies { false }; // promotions are executed but not answered
    milliseconds promotionDelay { 0 }; // from the reply to a promotion order until its execution
    bool refusesPromotions { false }; // promotion orders fail with 503
    milliseconds unansweredOrderDelay { 0 }; // above 0: promotion orders get no answer, and are executed this much later unless a higher token was used by then
    std::set<std::string> ignoredHosts {}; // promotion orders from these hosts are neither executed nor answered
};

struct PromotionRequest {
    std::string group;
    std::string member;
    std::string host;
    uint64_t token; // fencing token
    unsigned status; // of the reply
};

class KvStore {
public:
    KvStore(boost::asio::io_context& context, unsigned short port, std::vector<LineGroup*> groups);

    std::string getAddress() const { return m_address; }
    StoreFaults faults {};
    std::map<std::string, std::string> advertisedAddresses {}; // real address of a member to the one written in stored values (that of its proxy)
    void put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void remove(const std::string& key);
    bool has(const std::string& key) const { return m_items.contains(key); }
    // Writes the registrations of all members in their present state.
    void registerMembers();
    void setLeaving(const std::string& member, bool isLeaving);
    // Discards the change history; watches from older revisions get 410.
    void compact();
    const std::vector<PromotionRequest>& getPromotionRequests() const { return m_promotions; }
    uint64_t getCallCount() const { return m_calls; }
    uint64_t getWatchCount() const { return m_watches; }
    uint64_t getReadBytes() const { return m_readBytes; } // of the bodies of answers to lists and watches
    std::string getValue(const std::string& key) const { return m_items.at(key).value; }

private:
    struct Item {
        std::string value;
        uint64_t revision { 0 };
        uint64_t createRevision { 0 };
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
    links::HttpResponse executeTransaction(const std::string& body);
    links::HttpResponse promote(const links::HttpRequest& request);
    void promoteLater(const links::HttpRequest& request, milliseconds delay);
    bool executePromotion(LineGroup& group, const std::string& member);
    links::HttpResponse list(const std::string& prefix, const std::string& after);
    void expire();

    boost::asio::io_context& m_context;
    std::string m_address;
    std::vector<LineGroup*> m_groups;
    std::unique_ptr<links::HttpServer> m_server;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    std::map<uint64_t, std::pair<std::chrono::steady_clock::time_point, milliseconds>> m_leases; // expiry and time to live
    std::map<std::string, uint64_t> m_highestTokens; // fencing tokens, by group
    std::set<std::string> m_leavingMembers;
    std::set<std::string> m_registeredMembers; // whose entries are written
    std::vector<PromotionRequest> m_promotions;
    uint64_t m_revision { 0 };
    uint64_t m_compactedRevision { 0 };
    uint64_t m_lastLease { 100 };
    uint64_t m_calls { 0 };
    uint64_t m_watches { 0 };
    uint64_t m_readBytes { 0 };
};

}
