// Runs this process as a gateway of the users' platform until it is stopped.
#pragma once
#include <string>

namespace alderward::daemon {

// `text` is the content of the settings file at `path`. Returns the process's exit status.
int runGateway(const std::string& path, const std::string& text, bool mustOnlyCheck);

}
