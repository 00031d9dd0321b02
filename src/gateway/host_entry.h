// The entry by which a host of the system registers itself in the platform's store.
#pragma once
#include "links/directory.h"
#include <optional>

namespace alderward::gateway {

std::string formatHostEntry(const links::RegisteredHost& host);
// Parses the output of formatHostEntry(). Nullopt if a field cannot be used: other programs write to the store as well, and a host at no address would be
// chosen as a relay or a coordinator.
std::optional<links::RegisteredHost> parseHostEntry(const std::string& name, const std::string& text);

}
