#include "decisions/attempts.h"

namespace alderward::decisions {

Error combineWithEarlierAttempt(const Error& error)
{
    if (error.kind == ErrorKind::KeyClosed || getErrorRow(error.kind).ran != Ran::No)
        return error;
    return { ErrorKind::OutcomeUnknown, "an earlier attempt may have run; the last one: " + error.message, error.retryAfter };
}

}
