// Runs this process as a gateway on the users' platform.
#pragma once
#include <string>

namespace alderward::daemon {

// `text` is the settings file's content, read from `path`. Returns the exit status.
int runGateway(const std::string& path, const std::string& text, bool mustOnlyCheck);

}
