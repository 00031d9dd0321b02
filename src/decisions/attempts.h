// The error of a write that was sent more than once.
#pragma once
#include "decisions/errors.h"

namespace alderward::decisions {

// Returns the error of a write whose last attempt failed with `error` and of which an earlier attempt may have run: OutcomeUnknown
// in place of an error that says "not run". KeyClosed stays, because the settlement of a request key holds for every attempt.
Error combineWithEarlierAttempt(const Error& error);

}
