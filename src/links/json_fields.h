// Lenient access to fields of JSON objects from trusted senders: a missing field, or one of another type, reads as empty.
// For validated input with an error per field, see decisions/records.cpp and filters/decode.cpp.
#pragma once
#include <boost/json.hpp>
#include <optional>
#include <string>

namespace alderward::links {

inline std::string getString(const boost::json::object& object, std::string_view name)
{
    auto* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

inline uint64_t getNumber(const boost::json::object& object, std::string_view name)
{
    auto* value = object.if_contains(name);
    if (value && value->is_int64() && value->get_int64() >= 0)
        return static_cast<uint64_t>(value->get_int64());
    return value && value->is_uint64() ? value->get_uint64() : 0;
}

inline bool getBool(const boost::json::object& object, std::string_view name, bool fallback = false)
{
    auto* value = object.if_contains(name);
    return value && value->is_bool() ? value->get_bool() : fallback;
}

// `maxDepth`: levels of lists and objects.
inline std::optional<boost::json::object> parseObject(const std::string& text, size_t maxDepth = 32)
{
    boost::system::error_code ec;
    boost::json::parse_options options;
    options.max_depth = maxDepth;
    auto value = boost::json::parse(text, ec, {}, options);
    if (ec || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

}
