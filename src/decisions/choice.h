// Which member serves a statement, and which host's connections reach that member.
//
// [SECTION] Primary      what a host believes about a group's primary
// [SECTION] Choice       the member with the lowest expected latency that may serve a read
// [SECTION] Forwarders   the hosts that connect to a member
#pragma once
#include "decisions/freshness.h"
#include <string>
#include <vector>

namespace alderward::decisions {

//-----------------------------------------------------------------------------
// [SECTION] Primary
//-----------------------------------------------------------------------------

// The member that this host believes to be a group's primary.
struct KnownPrimary {
    std::string member {}; // empty: no primary is known
    uint64_t term { 0 }; // newest term known to this host
    bool isConfirmed { false }; // by an answer of the member itself, not only by a list or another host
    friend bool operator==(const KnownPrimary&, const KnownPrimary&) = default;
};

// The member itself proved that it is the primary in `term`. Older terms are ignored.
KnownPrimary applyPrimaryProof(const KnownPrimary& known, const std::string& member, uint64_t term);
// The member itself denied that it is the primary.
KnownPrimary applyPrimaryDenial(const KnownPrimary& known, const std::string& member);
// Another host reported the member as primary in `term`.
KnownPrimary applyPrimaryReport(const KnownPrimary& known, const std::string& member, uint64_t term);
// The list of members names it as primary. The list can be out of date: it counts only while no primary is known.
KnownPrimary applyPrimaryListing(const KnownPrimary& known, const std::string& member);

// Whether another primary or a newer term has become known since `before`. Evidence gathered under `before` is then void:
// a promotion based on it could lose writes acknowledged in the meantime.
bool isSuperseded(const KnownPrimary& before, const KnownPrimary& now);

//-----------------------------------------------------------------------------
// [SECTION] Choice
//-----------------------------------------------------------------------------

struct Candidate {
    bool isUsable { true }; // listed, not leaving and not known to be unreachable
    bool isPrimary { false };
    bool wasTried { false }; // by this statement
    Mark position {}; // estimated current log position
    milliseconds positionAge { 0 }; // since the last report of its position, or of its being behind
    bool wasBehind { false }; // it once refused a read as behind; used while its position is unknown
    bool isFarBehind { false }; // lacks commits older than kFarBehindThreshold
    double roundTripMs { 0 }; // including the forwarding host
    unsigned queued { 0 }; // statements waiting or running at the member
    unsigned slots { 1 }; // statements it runs at once
    double statementMs { 10 }; // typical time of one statement
};

inline constexpr milliseconds kBehindCooldown { 100 }; // reads avoid a replica for this long after a report that it is behind
// The same for a replica that is far behind. Its forwarder reports when it has caught up; the time covers lost reports.
inline constexpr milliseconds kFarBehindCooldown { 1500 };
inline constexpr milliseconds kFarBehindThreshold { 1500 }; // a replica that lacks commits older than this is far behind; usually replicas lack some tens to hundreds of ms, and a floor is at most a second old

// The expected time to an answer, in ms: round trip, queueing and execution.
double estimateLatencyMs(const Candidate& candidate);

// The index of the best member for a read that must see `required`; empty: none can serve it.
// The primary gets a penalty, as it alone takes writes.
std::optional<size_t> chooseReadMember(const std::vector<Candidate>& candidates, const Mark& required);

//-----------------------------------------------------------------------------
// [SECTION] Forwarders
//-----------------------------------------------------------------------------

struct ForwarderHost {
    std::string name {};
    std::string dataCentre {};
};

// All hosts in order of preference for forwarding statements to a member: first those of the member's data centre, each part by
// rendezvous hashing, so that hosts with the same list of hosts agree without communication.
std::vector<std::string> rankForwarders(const std::string& member, const std::string& dataCentre, const std::vector<ForwarderHost>& hosts);

}
