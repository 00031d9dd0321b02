// alderward: database proxy with session consistency. This header includes everything that a program needs to run
// alderward's decision logic itself: a test, a trace replay, or an adapter to another system.
//
// WHAT IT IS
//   The decision logic is plain structs and pure functions, (state, event, now) -> (state, actions), without sockets,
//   threads, clocks or global random state: the program passes in the time and executes the actions.
//   The daemon (src/daemon) with its controllers and links is one such program.
//
// HOW TO START
//   Build with ./scripts/build, link alderwardcore, include this header. examples/decide.cpp is a
//   complete program: it simulates the failure of a primary and prints the resulting actions step by step.
//
// WHERE THE DOCS ARE
//   docs/ARCHITECTURE.md   folders and the path of a request
//   docs/design/           design decisions and their reasons
//   docs/GLOSSARY.md       terms
//
// COMMON MISTAKES
//   - Passing wall-clock time as `now`. It must be monotonic, and from the same clock in all calls.
//   - Continuing with the GroupHealth that was passed in. Functions return the new value and leave the argument unchanged.
//   - Dropping an action. The state machine waits for the resulting event until a timeout; a lost SendFence is safe but
//     delays the failover by FailoverTimings::fenceTimeout.
//
// INDEX
//   [SECTION] Errors       all error kinds and the response for each
//   [SECTION] Sessions     marks, logs, tokens
//   [SECTION] Records      configuration by operators
//   [SECTION] Health       status of a group's members as known to a home; staleness bounds
//   [SECTION] Routing      selection of the member for a statement; confirmation of writes
//   [SECTION] Failover     detection, fencing, promotion, planned handover
//   [SECTION] Group        combined state of a group; recording and replay of traces
//   [SECTION] Placement    choice of a group's homes and their shares of its connections
//   [SECTION] Limits       admission control, adaptive concurrency limit, retry budget
//   [SECTION] Membership   which hosts are alive
#pragma once

//-----------------------------------------------------------------------------
// [SECTION] Errors: ErrorKind, ErrorRow, Error, Result<T>, getErrorTable()
//-----------------------------------------------------------------------------
#include "decisions/errors.h"

//-----------------------------------------------------------------------------
// [SECTION] Sessions: Mark, LogState, getContainment(), encodeToken(), decodeToken()
// To check whether a member may answer a session, use getContainment(); to choose a member, routeRead().
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
// To run a whole group, use stepGroup(); stepFailover() alone does not handle probes.
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
