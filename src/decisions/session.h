// Sessions: what a session has seen of each database group, and whether a member's log holds it.
// A session's whole state is the token that the caller carries (docs/design/0001-session-token.md).
#pragma once
#include "decisions/errors.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace alderward::decisions {

// A place in a group's log. A larger term wins over any position.
struct Mark {
    uint64_t term { 0 }; // 0: nothing seen yet
    uint64_t position { 0 }; // number of the log entry, from 1
    friend auto operator<=>(const Mark&, const Mark&) = default;
};

// Where a term begins in a member's log. Every term begins with an entry of its own, written by promote.
struct TermStart {
    uint64_t term { 0 };
    uint64_t position { 0 }; // of the term's first entry
    friend auto operator<=>(const TermStart&, const TermStart&) = default;
};

// What a member says of its log.
struct LogState {
    uint64_t term { 0 }; // of the last entry
    uint64_t position { 0 }; // of the last entry
    std::vector<TermStart> history {}; // ascending; the newest kHistoryLimit terms
    friend bool operator==(const LogState&, const LogState&) = default;
};

enum class Containment {
    Contained, // the log holds the marked entry
    Behind, // it does not yet, and may still
    Lost, // it never will: a later term took the entry's place
};

// Compares a session's mark with a log. If the history is too short to tell, the answer is Lost: a session is told once
// too often rather than never.
Containment getContainment(const LogState& log, const Mark& mark);

// What one session has seen, by group.
using SessionMarks = std::map<std::string, Mark>;

// Raises the session's mark of a group; marks never go back.
void raiseMark(SessionMarks& marks, const std::string& group, const Mark& mark);

// Writes marks as a token, signed with `key` (HMAC-SHA256, first 16 bytes), base64url.
std::string encodeToken(const SessionMarks& marks, const std::string& key);
// Reads a token. An empty one is a new session; a cut or forged one is BadToken.
Result<SessionMarks> decodeToken(const std::string& token, const std::string& key);

}
