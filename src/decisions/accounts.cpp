#include "decisions/accounts.h"
#include <algorithm>
#include <fmt/format.h>
#include <openssl/sha.h>

namespace alderward::decisions {

static constexpr double kMinAccountWeight = 0.1; // operations/s; an account with a quota of 0 still has its burst

KeyDigest digestKey(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> whole {};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), whole.data());
    KeyDigest digest {};
    std::copy_n(whole.begin(), digest.size(), digest.begin());
    return digest;
}

std::string formatDigest(const KeyDigest& digest)
{
    std::string text;
    for (auto byte : digest)
        text += fmt::format("{:02x}", byte);
    return text;
}

static std::optional<uint8_t> parseHexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return static_cast<uint8_t>(c - '0');
    if (c >= 'a' && c <= 'f')
        return static_cast<uint8_t>(c - 'a' + 10);
    return std::nullopt;
}

std::optional<KeyDigest> parseDigest(std::string_view text)
{
    KeyDigest digest {};
    if (text.size() != 2 * digest.size())
        return std::nullopt;
    for (size_t i = 0; i < digest.size(); ++i) {
        auto high = parseHexDigit(text[2 * i]);
        auto low = parseHexDigit(text[2 * i + 1]);
        if (!high || !low)
            return std::nullopt;
        digest[i] = static_cast<uint8_t>(*high << 4 | *low);
    }
    return digest;
}

const ClientAccount* findAccount(const Accounts& accounts, const KeyDigest& key)
{
    auto it = accounts.keys.find(key);
    if (it == accounts.keys.end())
        return nullptr;
    auto account = accounts.byName.find(it->second);
    return account == accounts.byName.end() ? nullptr : &account->second;
}

double getAccountWeight(const Accounts& accounts, const std::string& account)
{
    if (auto quota = findQuota(accounts, account))
        return std::max(kMinAccountWeight, quota->perSecond);
    double sum = 0;
    double count = 0;
    for (auto& [name, it] : accounts.byName) {
        sum += it.quota ? it.quota->perSecond : 0;
        count += it.quota ? 1 : 0;
    }
    return count == 0 ? 1 : std::max(kMinAccountWeight, sum / count);
}

const AccountQuota* findQuota(const Accounts& accounts, const std::string& account)
{
    auto it = accounts.byName.find(account);
    return it == accounts.byName.end() || !it->second.quota ? nullptr : &*it->second.quota;
}

}
