// Session marks: what a session has seen of each database group, and whether a member's log contains it.
// The token that the caller sends holds the complete session state (docs/design/0001-session-token.md).
#pragma once
#include "decisions/errors.h"
#include "decisions/mark.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace alderward::decisions {

// The start of a term in a member's log. A promotion writes the first entry of its term.
struct TermStart {
    uint64_t term { 0 };
    uint64_t position { 0 }; // of the term's first entry
    friend auto operator<=>(const TermStart&, const TermStart&) = default;
};

// The state of a member's log, as the member reports it.
struct LogState {
    uint64_t term { 0 }; // of the last entry
    uint64_t position { 0 }; // of the last entry
    std::vector<TermStart> history {}; // ascending; the newest kHistoryLimit terms
    friend bool operator==(const LogState&, const LogState&) = default;
};

enum class Containment {
    Contained, // the log contains the marked entry
    Behind, // the log may still receive the entry
    Lost, // the log never will: a later term replaced the entry
};

// Compares a session's mark with a log. If the history is too short to tell, returns Lost: a false report of lost writes is
// safer than a missed one.
Containment getContainment(const LogState& log, const Mark& mark);

// The mark with which a session continues whose `lost` mark the log has lost: the log's first entry of a later term. It follows
// every replicated write of the terms up to that of `lost`, so the session still sees its acknowledged writes.
Mark getMarkAfterLoss(const LogState& log, const Mark& lost);

// A session's marks by group.
using SessionMarks = std::map<std::string, Mark>;

// Raises the session's mark of a group, unless it is already higher.
void raiseMark(SessionMarks& marks, const std::string& group, const Mark& mark);

// Encodes marks as a base64url token, signed with `key` (HMAC-SHA256, truncated to 16 bytes).
std::string encodeToken(const SessionMarks& marks, const std::string& key);
// Decodes a token. An empty one yields a new session; a truncated or forged one fails with BadToken.
Result<SessionMarks> decodeToken(const std::string& token, const std::string& key);

}
