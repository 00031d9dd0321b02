// alderward: database proxy with session consistency. This one header says all that a program needs which wants to drive
// alderward's decisions itself: a test, a trace replay, or an adapter to another system.
//
// WHAT IT IS
//   The decisions are plain structs and free functions, (state, event, now) -> (state, actions). They have no sockets,
//   threads, clocks or global random source: you pass the time in and carry the actions out.
//   The daemon (src/daemon), its controllers and links are one such program.
//
// HOW TO START
//   Build with ./scripts/build, link alderwardcore, include this header. examples/decide.cpp runs as it stands:
//   it lets a primary fail and prints what the decisions ask for, step by step.
//
// WHERE THE DOCS ARE
//   docs/ARCHITECTURE.md   folders and the way of a request
//   docs/design/           why each decision is as it is, and what would change our mind
//   docs/GLOSSARY.md       the words
//
// COMMON MISTAKES
//   - Passing wall-clock time as `now`. It must be monotonic, and the same clock for all calls.
//   - Keeping a GroupHealth and changing it in place. Take the returned value; the old one stays as it was.
//   - Dropping an action. Each one either comes back as an event or times out in the state machine; a lost SendFence is
//     safe but costs FailoverTimings::fenceTimeout.
//
// INDEX
//   [SECTION] Errors       closed list of kinds, table from kind to answer
//   [SECTION] Sessions     marks, logs, tokens
//   [SECTION] Records      operators' configuration
//   [SECTION] Health       what a home knows of a group's members; ages
//   [SECTION] Routing      where a statement goes; whether a write is confirmed
//   [SECTION] Failover     detection, fencing, promotion, handover
//   [SECTION] Group        record, health and failover in one value; recorded traces and their replay
//   [SECTION] Placement    homes and shares
//   [SECTION] Limits       admission, adaptive limit, retry budget
//   [SECTION] Membership   which hosts are alive
#pragma once

//-----------------------------------------------------------------------------
// [SECTION] Errors: ErrorKind, ErrorRow, Error, Result<T>, getErrorTable()
//-----------------------------------------------------------------------------
#include "decisions/errors.h"

//-----------------------------------------------------------------------------
// [SECTION] Sessions: Mark, LogState, getContainment(), encodeToken(), decodeToken()
// If you want to know whether a member may answer a session, see getContainment(); for the route, see routeRead().
//-----------------------------------------------------------------------------
#include "decisions/session.h"

//-----------------------------------------------------------------------------
// [SECTION] Records: GroupRecord, parseGroupRecord(), Envelope, updateIfNewer(), getDigest()
//-----------------------------------------------------------------------------
#include "decisions/records.h"

//-----------------------------------------------------------------------------
// [SECTION] Health: MemberStatus, GroupHealth, applyStatus(), applyProbeFailure(), applyPiggybackedStatus(), getNextProbeTime(), getStalenessBound()
//-----------------------------------------------------------------------------
#include "decisions/health.h"

//-----------------------------------------------------------------------------
// [SECTION] Routing: routeRead(), routeWrite(), canHoldWrite(), confirmWrite()
//-----------------------------------------------------------------------------
#include "decisions/routing.h"

//-----------------------------------------------------------------------------
// [SECTION] Failover: FailoverState, stepFailover(), getPrimaryDownReason(), getPendingFollows()
//-----------------------------------------------------------------------------
#include "decisions/failover.h"

//-----------------------------------------------------------------------------
// [SECTION] Group: GroupState, GroupEvent, stepGroup(), parseTrace(), replayTrace()
// If you want to drive one whole group, feed stepGroup(); stepFailover() alone knows nothing of probes.
//-----------------------------------------------------------------------------
#include "decisions/group_state.h"
#include "decisions/trace.h"

//-----------------------------------------------------------------------------
// [SECTION] Placement: chooseHomes(), getHomeShare(), rankHosts()
//-----------------------------------------------------------------------------
#include "decisions/placement.h"

//-----------------------------------------------------------------------------
// [SECTION] Limits: AdaptiveLimit, QueueState, RetryBudget
//-----------------------------------------------------------------------------
#include "decisions/limits.h"

//-----------------------------------------------------------------------------
// [SECTION] Membership: Membership, applyHostUpdates(), suspectHost(), expireHosts(), choosePartners()
//-----------------------------------------------------------------------------
#include "decisions/membership.h"
