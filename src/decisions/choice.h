// Which member a statement goes to, and which host's connections it uses to get there.
//
// [SECTION] Lead       who leads a group, from evidence of several kinds
// [SECTION] Choice     the cheapest member that may serve a statement
// [SECTION] Carriers   the hosts that connect to a member
#pragma once
#include "decisions/freshness.h"
#include <string>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Lead
//-----------------------------------------------------------------------------

// Which member leads a group, as far as this host knows.
struct KnownPrimary {
    std::string member {}; // empty: nobody is known to
    uint64_t term { 0 }; // the newest that was heard of
    bool isConfirmed { false }; // shown by the member itself, not only listed or told
    friend bool operator==(const KnownPrimary&, const KnownPrimary&) = default;
};

// The member itself showed that it leads in `term`.
KnownPrimary applyPrimaryProof(const KnownPrimary& known, const std::string& member, uint64_t term);
// The member itself said that it does not lead.
KnownPrimary applyPrimaryDenial(const KnownPrimary& known, const std::string& member);
// Another host told us.
KnownPrimary applyPrimaryReport(const KnownPrimary& known, const std::string& member, uint64_t term);
// The list of members names it; that may be out of date, so it fills a gap only.
KnownPrimary applyPrimaryListing(const KnownPrimary& known, const std::string& member);

// Whether evidence that was gathered while `before` was believed is void: another member, or a newer term, has become known since. An order
// that rests on it could make a member the primary that lacks what was acknowledged meanwhile.
bool isSuperseded(const KnownPrimary& before, const KnownPrimary& now);

//-----------------------------------------------------------------------------
// [SECTION] Choice
//-----------------------------------------------------------------------------

struct Candidate {
    bool isUsable { true }; // listed, not leaving, reachable as far as is known
    bool isPrimary { false };
    bool wasTried { false }; // by this statement
    Mark position {}; // that it is estimated to hold now
    milliseconds positionAge { 0 }; // since it was last heard of, or that it is behind
    bool wasBehind { false }; // it said so once; counts where its position is not known
    bool isFarBehind { false }; // by more than replicas usually are
    double roundTripMs { 0 }; // there and back, with the host that carries it
    unsigned queued { 0 }; // statements waiting or running there
    unsigned slots { 1 };
    double statementMs { 10 }; // of one statement
};

inline constexpr milliseconds kBehindCooldown { 100 }; // a replica that was heard of as behind is left alone this long
// One that is far behind: its carrier asks it each 100 ms and tells all others with each ping, so no read has to. Longer than pings may fail to come.
inline constexpr milliseconds kFarBehindCooldown { 1500 };
inline constexpr milliseconds kFarBehindThreshold { 1500 }; // lacks commits of this age; replicas in calm lack some tens to hundreds of ms, and a floor is a second old at most

// The expected time of an answer, in ms.
double estimateLatencyMs(const Candidate& candidate);

// The best member for a read that must see `need`. The leader counts as busier than it is: writes have no other place to go.
std::optional<size_t> chooseReadMember(const std::vector<Candidate>& candidates, const Mark& required);

//-----------------------------------------------------------------------------
// [SECTION] Carriers
//-----------------------------------------------------------------------------

struct ForwarderHost {
    std::string name {};
    std::string dataCentre {};
};

// The hosts in the order in which they are asked to carry statements to a member: those of the member's data centre first, by
// rendezvous rank, so that all hosts agree without asking each other as long as they see the same hosts.
std::vector<std::string> rankForwarders(const std::string& member, const std::string& dataCentre, const std::vector<ForwarderHost>& hosts);

}
