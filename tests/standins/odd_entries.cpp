#include "standins/odd_entries.h"
#include <array>
#include <boost/json.hpp>

namespace standins {

namespace json = boost::json;

namespace {

// Literals that take the place of a field's value. Some have no representation in json::value, so they are put into the text.
const std::array kNumbers { "0", "-1", "1", "0.5", "1e300", "1e999", "-1e999", "9007199254740993", "18446744073709551615", "18446744073709551616", "9223372036854775808", "65535", "65536", "99999999999999999999999999", "1e400000000000" };
const std::array kOtherTypes { "null", "true", "[]", "{}", "\"\"", "\"x\"", "\"7\"", "[7]", R"({"x":7})" };
const std::array kAddresses { "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1", "127.0.0.1: 80", "127.0.0.1", ":80", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "host:80", "[::]:80", "ff02::1:80" };
const std::array kSeparators { " ", "\r\n", "\n", "\t", "\"", "\\", "\x7f", "%", "\r\nQUERY 1 WRITE x 1" };
constexpr size_t kMaxLarge = 200000; // bytes

size_t pick(std::mt19937& random, size_t n) { return n == 0 ? 0 : random() % n; }

std::string nest(std::mt19937& random)
{
    static constexpr std::array<size_t, 5> kDepths { 31, 33, 255, 300, 10000 };
    auto depth = kDepths[pick(random, kDepths.size())];
    bool isList = pick(random, 2) == 0;
    std::string text;
    for (size_t i = 0; i < depth; ++i)
        text += isList ? "[" : R"({"x":)";
    text += isList ? "" : "0";
    text += std::string(depth, isList ? ']' : '}');
    return text;
}

// The text of a field's value in place of `value`.
std::string replaceValue(std::mt19937& random, const json::value& value)
{
    switch (pick(random, 7)) {
    case 0:
        return kNumbers[pick(random, kNumbers.size())];
    case 1:
        return kOtherTypes[pick(random, kOtherTypes.size())];
    case 2:
        return nest(random);
    case 3:
        return json::serialize(json::string(std::string(1 + pick(random, kMaxLarge), 'x')));
    case 4:
        return json::serialize(json::string(kAddresses[pick(random, kAddresses.size())]));
    case 5: {
        auto text = value.is_string() ? std::string(value.as_string()) : "x";
        return json::serialize(json::string(text.insert(pick(random, text.size() + 1), kSeparators[pick(random, kSeparators.size())])));
    }
    default:
        return std::string(400, '9');
    }
}

// Also descends into lists and objects.
std::string changeOne(std::mt19937& random, const json::value& value)
{
    bool isWhole = pick(random, 3) == 0;
    if (auto* list = value.if_array(); list && !list->empty() && !isWhole) {
        auto chosen = pick(random, list->size());
        std::string text;
        for (size_t i = 0; i < list->size(); ++i)
            text += (i == 0 ? "" : ",") + (i == chosen ? changeOne(random, (*list)[i]) : json::serialize((*list)[i]));
        return "[" + text + "]";
    }
    auto* object = value.if_object();
    if (!object || object->empty() || isWhole)
        return replaceValue(random, value);
    auto chosen = pick(random, object->size());
    auto isDropped = pick(random, 5) == 0;
    std::string text = pick(random, 4) == 0 ? R"("added":)" + replaceValue(random, 7) + "," : "";
    for (size_t i = 0; auto& field : *object) {
        bool isChosen = i++ == chosen;
        if (!isChosen || !isDropped)
            text += json::serialize(json::string(field.key())) + ":" + (isChosen ? changeOne(random, field.value()) : json::serialize(field.value())) + ",";
    }
    if (!text.empty())
        text.pop_back();
    return "{" + text + "}";
}

std::string changeBytes(std::mt19937& random, std::string text)
{
    auto at = pick(random, text.size());
    if (text.empty() || pick(random, 3) == 0)
        return text.substr(0, at);
    text[at] = static_cast<char>(pick(random, 256));
    return text;
}

}

std::string makeOddValue(std::mt19937& random, const std::string& sound)
{
    boost::system::error_code ec;
    auto value = json::parse(sound, ec);
    if (ec || pick(random, 6) == 0)
        return changeBytes(random, sound);
    auto text = value.is_object() && !value.as_object().empty() && pick(random, 8) != 0 ? changeOne(random, value) : replaceValue(random, value);
    return pick(random, 8) == 0 ? changeBytes(random, text) : text;
}

}
