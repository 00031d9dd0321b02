// HTTP responses and blocked peers of the stand-ins for the platform and for members.
#pragma once
#include "links/http.h"
#include <boost/json.hpp>
#include <set>
#include <string>

namespace standins {

inline alderward::links::HttpResponse makeJsonResponse(const boost::json::object& body, unsigned status = 200)
{
    return { status, boost::json::serialize(body) };
}

// Makes the server leave the request unanswered, as on a broken network path.
inline alderward::links::HttpResponse makeDroppedResponse()
{
    alderward::links::HttpResponse answer;
    answer.mustNotAnswer = true;
    return answer;
}

// Replaces `names` by the field "cut", a list of hosts and members; keeps `names` if the field is absent.
inline void applyBlockedPeers(const boost::json::object& body, std::set<std::string>& names)
{
    auto* cut = body.if_contains("cut");
    if (!cut || !cut->is_array())
        return;
    names.clear();
    for (auto& it : cut->get_array())
        names.insert(std::string(it.get_string()));
}

}
