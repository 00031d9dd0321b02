// What both stand-ins answer with, and the cuts that tests ask them for.
#pragma once
#include "links/http.h"
#include <boost/json.hpp>
#include <set>
#include <string>

namespace standins {

inline alderward::links::HttpResponse answerJson(const boost::json::object& body, unsigned status = 200)
{
    return { status, boost::json::serialize(body) };
}

// No answer ever: what a cut looks like to the one who asked.
inline alderward::links::HttpResponse dropAnswer()
{
    alderward::links::HttpResponse answer;
    answer.mustNotAnswer = true;
    return answer;
}

// Reads {"cut": ["h1", ...]}; leaves `names` as it is when the field is absent.
inline void readCut(const boost::json::object& body, std::set<std::string>& names)
{
    auto* cut = body.if_contains("cut");
    if (!cut || !cut->is_array())
        return;
    names.clear();
    for (auto& it : cut->get_array())
        names.insert(std::string(it.get_string()));
}

}
