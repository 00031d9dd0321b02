// The failover state machine: single steps, and seeded random sequences against a model of the members.
#include "decisions/failover.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace alderward::decisions;
using std::chrono::milliseconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint {} + std::chrono::hours(1) + milliseconds(ms);
}

GroupRecord makeRecord(size_t members = 3)
{
    GroupRecord record;
    record.name = "orders";
    for (size_t i = 0; i < members; ++i)
        record.members.push_back({ std::string(1, static_cast<char>('a' + i)), "127.0.0.1:" + std::to_string(i + 1), "x" });
    record.promotion.minInterval = milliseconds(0);
    record.promotion.maxPerHour = 1000;
    return record;
}

MemberStatus makeStatus(Role role, int contactMs)
{
    MemberStatus status;
    status.term = 1;
    status.role = role;
    status.log = { 1, 10, { { 1, 1 } } };
    status.primaryContactAge = milliseconds(contactMs);
    status.primary = "a";
    return status;
}

// Makes the health at `ms` of a group whose primary has failed since 0 ms, by refused connections or silence. The replicas
// last had contact with it `contactMs` before.
GroupHealth makeFailingHealth(int ms, bool refuses, int contactMs)
{
    auto health = makeHealth(makeRecord(), at(-1000));
    health = applyStatus(health, 0, makeStatus(Role::Primary, 0), at(-50), at(-50));
    for (int t = 0; t <= ms; t += 40)
        health = applyProbeFailure(health, 0, refuses, at(t));
    for (size_t i = 1; i < 3; ++i)
        health = applyStatus(health, i, makeStatus(Role::Replica, contactMs), at(ms), at(ms));
    return health;
}

struct Fixture {
    GroupRecord record = makeRecord();
    GroupHealth health = makeFailingHealth(600, false, 600);
    std::vector<bool> isLeaving = std::vector<bool>(3, false);
    size_t rank = 0;

    FailoverContext getContext() const { return { record, health, isLeaving, rank, {} }; }
    FailoverStep step(const FailoverState& state, const FailoverEvent& event, int ms) const { return stepFailover(getContext(), state, event, at(ms)); }
};

template <typename T>
size_t countActions(const FailoverStep& step)
{
    size_t n = 0;
    for (auto& it : step.actions)
        n += std::holds_alternative<T>(it) ? 1 : 0;
    return n;
}

FenceAnswered grant(uint64_t term, size_t member, uint64_t position)
{
    return { term, member, FenceAnswer { true, term, { 1, position, { { 1, 1 } } } } };
}

}

BOOST_AUTO_TEST_SUITE(failover_decisions)

BOOST_AUTO_TEST_CASE(primary_is_down_only_if_replicas_have_no_contact_either)
{
    Fixture it;
    it.health = makeFailingHealth(80, true, 200);
    BOOST_TEST(getPrimaryDownReason(it.getContext(), at(80)).empty());
    it.health = makeFailingHealth(280, true, 280);
    BOOST_TEST(!getPrimaryDownReason(it.getContext(), at(280)).empty());
    it.health = makeFailingHealth(280, false, 280);
    BOOST_TEST(getPrimaryDownReason(it.getContext(), at(280)).empty());
    it.health = makeFailingHealth(600, false, 600);
    BOOST_TEST(!getPrimaryDownReason(it.getContext(), at(600)).empty());
    it.health = makeFailingHealth(600, false, 40);
    BOOST_TEST(getPrimaryDownReason(it.getContext(), at(600)).empty());
    // Old statuses of replicas do not count.
    it.health = makeFailingHealth(600, false, 600);
    BOOST_TEST(getPrimaryDownReason(it.getContext(), at(2000)).empty());
}

BOOST_AUTO_TEST_CASE(failed_primary_leads_through_claim_and_fencing_to_a_promotion)
{
    Fixture it;
    auto step = it.step({}, Tick {}, 600);
    BOOST_TEST(countActions<WriteClaim>(step) == 1u);
    step = it.step(step.state, ClaimAnswered { 2, ClaimOutcome::Unavailable, 0 }, 620);
    BOOST_TEST(countActions<SendFence>(step) == 3u);
    step = it.step(step.state, grant(2, 1, 10), 630);
    BOOST_TEST(step.actions.empty());
    step = it.step(step.state, grant(2, 2, 12), 631);
    BOOST_TEST(step.actions.empty());
    step = it.step(step.state, Tick {}, 665);
    BOOST_REQUIRE(countActions<SendPromote>(step) == 1u);
    BOOST_TEST((std::get<SendPromote>(step.actions.front()) == SendPromote { 2, 2 }));
    step = it.step(step.state, PromoteAnswered { 2, true }, 670);
    BOOST_TEST(countActions<SendFollow>(step) == 2u);
    BOOST_TEST(countActions<AnnouncePrimary>(step) == 1u);
    BOOST_TEST((step.state.phase == FailoverPhase::Idle));
    BOOST_TEST(step.state.recentPromotions.size() == 1u);
}

BOOST_AUTO_TEST_CASE(answers_to_another_attempt_are_ignored)
{
    Fixture it;
    auto state = it.step({}, Tick {}, 600).state;
    state = it.step(state, ClaimAnswered { 2, ClaimOutcome::Taken, 2 }, 610).state;
    state = it.step(state, grant(1, 1, 10), 620).state;
    state = it.step(state, grant(7, 2, 10), 620).state;
    BOOST_TEST(state.grants.empty());
    BOOST_TEST(it.step(state, PromoteAnswered { 2, true }, 625).actions.empty());
}

BOOST_AUTO_TEST_CASE(failed_fencing_ends_the_attempt_and_the_next_uses_a_higher_term)
{
    Fixture it;
    auto state = it.step({}, Tick {}, 600).state;
    state = it.step(state, ClaimAnswered { 2, ClaimOutcome::Taken, 2 }, 610).state;
    state = it.step(state, FenceAnswered { 2, 0, {} }, 620).state;
    auto step = it.step(state, FenceAnswered { 2, 1, FenceAnswer { false, 5, {} } }, 621);
    BOOST_TEST((step.state.phase == FailoverPhase::Idle));
    it.health = makeFailingHealth(1000, false, 1000);
    step = it.step(step.state, Tick {}, 1000);
    BOOST_REQUIRE(countActions<WriteClaim>(step) == 1u);
    BOOST_TEST(step.state.term == 6u);
}

// Guards against a member that counts as granted and as refused: two members then looked like all three, and a majority that
// could still be fenced looked lost. A promotion without a majority is impossible even so, because only grants are counted for it.
BOOST_AUTO_TEST_CASE(member_that_answers_a_fence_twice_counts_once)
{
    Fixture it;
    auto state = it.step({}, Tick {}, 600).state;
    state = it.step(state, ClaimAnswered { 2, ClaimOutcome::Taken, 2 }, 610).state;
    state = it.step(state, FenceAnswered { 2, 1, {} }, 620).state;
    state = it.step(state, grant(2, 1, 10), 621).state;
    BOOST_TEST(state.grants.size() == 1u);
    BOOST_TEST(state.refusals.empty());
    state = it.step(state, FenceAnswered { 2, 1, {} }, 622).state;
    BOOST_TEST(state.grants.size() == 1u);
    BOOST_TEST(state.refusals.empty());
    // Member 0 has not answered yet: the grace period for further grants still applies.
    auto step = it.step(state, grant(2, 2, 12), 623);
    BOOST_TEST(countActions<SendPromote>(step) == 0u);
    step = it.step(state, FenceAnswered { 2, 2, {} }, 623);
    BOOST_TEST((step.state.phase == FailoverPhase::Fencing));
    step = it.step(step.state, grant(2, 0, 12), 624);
    BOOST_TEST(countActions<SendPromote>(step) == 1u);
}

BOOST_AUTO_TEST_CASE(later_ranks_start_after_their_delay)
{
    Fixture it;
    it.rank = 2;
    auto step = it.step({}, Tick {}, 600);
    BOOST_TEST(step.actions.empty());
    step = it.step(step.state, Tick {}, 900);
    BOOST_TEST(step.actions.empty());
    it.health = makeFailingHealth(1110, false, 1110);
    step = it.step(step.state, Tick {}, 1110);
    BOOST_TEST(countActions<WriteClaim>(step) == 1u);
}

BOOST_AUTO_TEST_CASE(no_attempt_starts_on_stale_health_after_a_process_pause)
{
    Fixture it;
    FailoverState state;
    state.lastTickAt = at(-5000);
    BOOST_TEST(it.step(state, Tick {}, 600).actions.empty());
}

BOOST_AUTO_TEST_CASE(promotion_limits_hold_back_and_are_reported_once)
{
    Fixture it;
    it.record.promotion.mode = PromotionMode::Off;
    auto step = it.step({}, Tick {}, 600);
    BOOST_TEST(countActions<AddTimelineEntry>(step) == 1u);
    BOOST_TEST(!step.state.holdBackReason.empty());
    BOOST_TEST(it.step(step.state, Tick {}, 610).actions.empty());
    it.record.promotion = { PromotionMode::Automatic, milliseconds(5000), 10 };
    FailoverState state;
    state.recentPromotions.push_back(at(-1000));
    BOOST_TEST(countActions<WriteClaim>(it.step(state, Tick {}, 600)) == 0u);
    it.record.promotion = { PromotionMode::Automatic, milliseconds(0), 1 };
    BOOST_TEST(countActions<WriteClaim>(it.step(state, Tick {}, 600)) == 0u);
    it.record.promotion = { PromotionMode::Automatic, milliseconds(0), 2 };
    BOOST_TEST(countActions<WriteClaim>(it.step(state, Tick {}, 600)) == 1u);
}

// ---- seeded random sequences ----

namespace {

// A member according to the target's contract: it grants a term once, and accepts promotion only by the host that it granted.
struct ModelMember {
    uint64_t term { 1 };
    uint64_t fenced { 0 };
    size_t proposer { 99 };
    bool isPrimary { false };
    bool isDown { false };
    std::vector<uint64_t> log { 1 }; // term of each entry
};

// Several hosts run the state machine against the same members. Messages are delayed, lost, repeated and reordered by seed.
class Model {
public:
    explicit Model(unsigned seed)
        : m_random(seed)
    {
        m_members[0].isPrimary = true;
        for (size_t i = 0; i < kHosts; ++i)
            m_health.push_back(makeHealth(m_record, at(0)));
    }

    void step()
    {
        m_ms += static_cast<int>(m_random() % 5);
        auto roll = m_random() % 1000;
        auto host = m_random() % kHosts;
        if (roll < 450)
            probe(host, m_random() % kMembers);
        else if (roll < 700)
            decide(host, Tick {});
        else if (roll < 970)
            deliver();
        else if (roll < 972)
            m_members[m_random() % kMembers].isDown = true;
        else if (roll < 975)
            m_members[m_random() % kMembers].isDown = false;
        else
            write();
    }

    // Each term had at most one primary, and no confirmed write is missing from a later primary.
    void check() const
    {
        BOOST_REQUIRE(m_isTermUnique);
        BOOST_REQUIRE(m_isNoWriteLost);
    }

    size_t getPromotions() const { return m_promotions; }

private:
    static constexpr size_t kHosts = 3;
    static constexpr size_t kMembers = 3;

    struct Message {
        size_t host;
        FailoverAction action;
    };

    void probe(size_t host, size_t member)
    {
        auto& it = m_members[member];
        if (it.isDown) {
            m_health[host] = applyProbeFailure(m_health[host], member, m_random() % 2 == 0, at(m_ms));
            return;
        }
        MemberStatus status;
        status.term = it.term;
        status.fencedTerm = it.fenced;
        status.role = it.isPrimary ? Role::Primary : Role::Replica;
        status.log = getLog(it);
        status.primaryContactAge = milliseconds(hasLivePrimary(it.term) ? 10 : 900);
        m_health[host] = applyStatus(m_health[host], member, status, at(m_ms), at(m_ms));
        for (auto& follow : getPendingFollows(m_record, m_health[host])) {
            if (m_random() % 8 == 0)
                m_messages.push_back({ host, follow });
        }
    }

    bool hasLivePrimary(uint64_t term) const
    {
        for (auto& it : m_members) {
            if (it.isPrimary && it.term == term && !it.isDown)
                return true;
        }
        return false;
    }

    static LogState getLog(const ModelMember& it)
    {
        LogState log { it.log.back(), it.log.size(), {} };
        for (size_t i = 0; i < it.log.size(); ++i) {
            if (i == 0 || it.log[i] != it.log[i - 1])
                log.history.push_back({ it.log[i], i + 1 });
        }
        return log;
    }

    void decide(size_t host, const FailoverEvent& event)
    {
        FailoverContext context { m_record, m_health[host], std::vector<bool>(kMembers, false), host, {} };
        auto result = stepFailover(context, m_states[host], event, at(m_ms));
        m_states[host] = std::move(result.state);
        for (auto& it : result.actions) {
            if (!std::holds_alternative<AddTimelineEntry>(it) && !std::holds_alternative<AnnouncePrimary>(it))
                m_messages.push_back({ host, it });
        }
    }

    // Delivers a random message in flight, which may also be lost or repeated.
    void deliver()
    {
        if (m_messages.empty())
            return;
        auto index = m_random() % m_messages.size();
        auto message = m_messages[index];
        if (m_random() % 10 != 0)
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
        if (m_random() % 10 == 0)
            return;
        perform(message);
    }

    void perform(const Message& message)
    {
        if (auto* claim = std::get_if<WriteClaim>(&message.action))
            decide(message.host, ClaimAnswered { claim->term, ClaimOutcome::Unavailable, 0 });
        else if (auto* fence = std::get_if<SendFence>(&message.action))
            decide(message.host, FenceAnswered { fence->term, fence->member, handleFence(message.host, *fence) });
        else if (auto* promote = std::get_if<SendPromote>(&message.action))
            decide(message.host, PromoteAnswered { promote->term, handlePromote(message.host, *promote) });
        else if (auto* follow = std::get_if<SendFollow>(&message.action))
            handleFollow(*follow);
    }

    std::optional<FenceAnswer> handleFence(size_t host, const SendFence& fence)
    {
        auto& it = m_members[fence.member];
        if (it.isDown)
            return std::nullopt;
        bool isAgain = fence.term == it.fenced && it.proposer == host;
        bool isGranted = isAgain || (fence.term > it.fenced && fence.term > it.term);
        if (isGranted) {
            it.fenced = fence.term;
            it.proposer = host;
        }
        return FenceAnswer { isGranted, std::max(it.fenced, it.term), getLog(it) };
    }

    bool handlePromote(size_t host, const SendPromote& promote)
    {
        auto& it = m_members[promote.member];
        if (it.isDown)
            return false;
        if (it.isPrimary && it.term == promote.term)
            return true;
        if (promote.term != it.fenced || it.proposer != host || promote.term <= it.term)
            return false;
        for (auto& [term, member] : m_primaries)
            m_isTermUnique = m_isTermUnique && (term != promote.term || member == promote.member);
        m_primaries.emplace_back(promote.term, promote.member);
        for (auto& confirmed : m_confirmed)
            m_isNoWriteLost = m_isNoWriteLost && it.log.size() >= confirmed.position && it.log[confirmed.position - 1] == confirmed.term;
        it.term = promote.term;
        it.isPrimary = true;
        it.log.push_back(promote.term);
        ++m_promotions;
        return true;
    }

    void handleFollow(const SendFollow& follow)
    {
        auto& it = m_members[follow.member];
        if (it.isDown || follow.term < it.term || follow.term < it.fenced || (follow.term == it.term && it.isPrimary))
            return;
        it.term = follow.term;
        it.fenced = follow.term;
        it.isPrimary = false;
    }

    // Each primary that is not fenced appends an entry, which is confirmed if a majority accepts it in the same term.
    void write()
    {
        for (auto& primary : m_members) {
            if (!primary.isPrimary || primary.isDown || primary.fenced > primary.term)
                continue;
            primary.log.push_back(primary.term);
            size_t holders = 1;
            for (auto& it : m_members) {
                if (&it == &primary || it.isDown || it.term != primary.term || it.fenced > primary.term || m_random() % 2)
                    continue;
                it.log = primary.log;
                ++holders;
            }
            if (holders * 2 > kMembers)
                m_confirmed.push_back({ primary.term, primary.log.size() });
        }
    }

    std::mt19937 m_random;
    GroupRecord m_record = makeRecord(kMembers);
    std::array<ModelMember, kMembers> m_members;
    std::vector<GroupHealth> m_health;
    std::array<FailoverState, kHosts> m_states;
    std::vector<Message> m_messages;
    std::vector<std::pair<uint64_t, size_t>> m_primaries;
    std::vector<Mark> m_confirmed;
    int m_ms { 0 };
    size_t m_promotions { 0 };
    bool m_isTermUnique { true };
    bool m_isNoWriteLost { true };
};

}

BOOST_AUTO_TEST_CASE(random_sequences_have_one_primary_per_term_and_lose_no_confirmed_write)
{
    size_t recentPromotions = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        Model model(seed);
        for (int i = 0; i < 20000; ++i)
            model.step();
        model.check();
        recentPromotions += model.getPromotions();
    }
    BOOST_TEST(recentPromotions > 100u);
}

BOOST_AUTO_TEST_SUITE_END()
