#include "decisions/session.h"
#include "generated/peer.pb.h"
#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace alderward::decisions {

static constexpr size_t kSignatureSize = 16; // bytes
static constexpr size_t kTokenLimit = 64 * 1024; // bytes

// Returns the term of the entry at `position`, or 0 if it precedes the history.
static uint64_t getTermAt(const LogState& log, uint64_t position)
{
    auto it = std::ranges::upper_bound(log.history, position, {}, &TermStart::position);
    return it == log.history.begin() ? 0 : std::prev(it)->term;
}

// A log receives entries of a term only before its first entry of a later term. So a log whose last term is not later than the
// mark's may still receive the entry; any other log without the entry never will.
Containment getContainment(const LogState& log, const Mark& mark)
{
    if (mark.term == 0)
        return Containment::Contained;
    bool reaches = log.position >= mark.position;
    if (reaches && getTermAt(log, mark.position) == mark.term)
        return Containment::Contained;
    return log.term > mark.term ? Containment::Lost : Containment::Behind;
}

Mark getMarkAfterLoss(const LogState& log, const Mark& lost)
{
    auto it = std::ranges::upper_bound(log.history, lost.term, {}, &TermStart::term);
    return it == log.history.end() ? Mark { log.term, log.position } : Mark { it->term, it->position };
}

void raiseMark(SessionMarks& marks, const std::string& group, const Mark& mark)
{
    auto& known = marks[group];
    known = std::max(known, mark);
}

static std::string sign(const std::string& payload, const std::string& key)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), digest, &n);
    return { reinterpret_cast<char*>(digest), kSignatureSize };
}

static std::string encodeBase64Url(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(n);
    while (!text.empty() && text.back() == '=')
        text.pop_back();
    std::ranges::replace(text, '+', '-');
    std::ranges::replace(text, '/', '_');
    return text;
}

static Result<std::string> decodeBase64Url(std::string text)
{
    auto isBase64Url = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_'; };
    if (!std::ranges::all_of(text, isBase64Url) || text.size() % 4 == 1)
        return fail(ErrorKind::BadToken, "the session token has characters outside base64url");
    std::ranges::replace(text, '-', '+');
    std::ranges::replace(text, '_', '/');
    size_t padding = (4 - text.size() % 4) % 4;
    text.append(padding, '=');
    std::string bytes(text.size() / 4 * 3, '\0');
    int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (n < 0)
        return fail(ErrorKind::BadToken, "the session token is not valid base64url");
    bytes.resize(static_cast<size_t>(n) - padding);
    return bytes;
}

std::string encodeToken(const SessionMarks& marks, const std::string& key)
{
    peer::SessionToken token;
    for (auto& [group, mark] : marks) {
        auto* it = token.add_marks();
        it->set_group(group);
        it->set_term(mark.term);
        it->set_position(mark.position);
    }
    auto payload = token.SerializeAsString();
    return encodeBase64Url(sign(payload, key) + payload);
}

Result<SessionMarks> decodeToken(const std::string& text, const std::string& key)
{
    if (text.empty())
        return SessionMarks {};
    if (text.size() > kTokenLimit)
        return fail(ErrorKind::BadToken, "the session token is longer than 64 KiB");
    auto bytes = decodeBase64Url(text);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    if (bytes->size() < kSignatureSize)
        return fail(ErrorKind::BadToken, "the session token is truncated");
    auto payload = bytes->substr(kSignatureSize);
    auto expected = sign(payload, key);
    peer::SessionToken token;
    if (CRYPTO_memcmp(expected.data(), bytes->data(), kSignatureSize) != 0 || !token.ParseFromString(payload))
        return fail(ErrorKind::BadToken, "the session token is truncated or was not signed with this system's key");
    SessionMarks marks;
    for (auto& it : token.marks())
        marks[it.group()] = { it.term(), it.position() };
    return marks;
}

}
