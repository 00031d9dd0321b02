// Texts that other programs may write: random damage, and numbers that no double holds.
#pragma once
#include <boost/json.hpp>
#include <random>
#include <string>

namespace fixtures {

// As json::serialize(), which writes an infinite number in a form that no parser reads, whereas a text may have a number too large for a double.
inline std::string serialize(const boost::json::value& value)
{
    static constexpr std::string_view kInfinity = "Infinity";
    auto text = boost::json::serialize(value);
    for (auto at = text.find(kInfinity); at != std::string::npos; at = text.find(kInfinity, at))
        text.replace(at, kInfinity.size(), "1e999");
    return text;
}

// Changes, removes, repeats and inserts bytes at a few random places, or cuts the text off.
inline std::string mutate(std::string text, std::mt19937& random)
{
    auto pick = [&](size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random); };
    auto times = 1 + pick(4);
    for (size_t i = 0; i < times && !text.empty(); ++i) {
        auto at = pick(text.size());
        switch (pick(5)) {
        case 0:
            text[at] = static_cast<char>(pick(256));
            break;
        case 1:
            text.erase(at, 1 + pick(8));
            break;
        case 2:
            text.insert(at, text.substr(pick(text.size()), pick(20)));
            break;
        case 3:
            text.insert(at, std::string(1 + pick(30), "0123456789-.eE\"{}[],: \r\n"[pick(23)]));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

}
