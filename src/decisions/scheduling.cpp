#include "decisions/scheduling.h"
#include <algorithm>
#include <chrono>
#include <tuple>

namespace alderward::decisions {

// Multiple of the typical statement time that must be left to the objective. In a long overload statements are dequeued just before they
// count as late; the margin must cover slow ones (the slowest tenth takes 2.3 times the mean if times are exponential), or most would miss the objective.
static constexpr double kObjectiveMargin = 3;
static constexpr double kMedianToMean = 0.7; // ratio for an exponential distribution
static constexpr double kWorkTimeStep = 0.05; // relative change for each statement; a time that doubles is followed within fifteen statements
static constexpr double kMinWorkMs = 0.5; // lower bound, as repeated steps down would approach 0
static constexpr double kDeadlineMargin = 1.5; // multiple of the typical statement time that must be left to the deadline; with less, a statement occupies a slot for nothing

static double getRemainingMs(TimePoint until, TimePoint now)
{
    return std::chrono::duration<double, std::milli>(until - now).count();
}

TimePoint getObjectiveEnd(TimePoint now, milliseconds objective, TimePoint::duration timeUsed)
{
    return now + objective - timeUsed;
}

bool canMeetObjective(const SchedulingParameters& statement, TimePoint now, double workMs)
{
    return getRemainingMs(statement.objective, now) >= kObjectiveMargin * workMs;
}

double updateWorkTime(double workMs, double tookMs)
{
    bool isAbove = tookMs > workMs * kMedianToMean;
    return std::max(kMinWorkMs, workMs * (isAbove ? 1 + kWorkTimeStep : 1 - kWorkTimeStep));
}

bool isWorthSending(const SchedulingParameters& statement, TimePoint now, double workMs)
{
    return getRemainingMs(statement.deadline, now) >= kDeadlineMargin * workMs;
}

bool isScheduledBefore(const SchedulingParameters& a, const SchedulingParameters& b, TimePoint now, double workMs)
{
    auto rank = [now, workMs](const SchedulingParameters& it) { return std::tuple(!it.isContinuation, !canMeetObjective(it, now, workMs), it.priority, it.objective); };
    return rank(a) < rank(b);
}

bool canStartInTime(const SchedulingParameters& statement, size_t ahead, unsigned concurrency, TimePoint now, double workMs)
{
    auto waitMs = static_cast<double>(ahead) * workMs / std::max(1U, concurrency);
    return statement.isContinuation || waitMs <= getRemainingMs(statement.deadline, now) - kDeadlineMargin * workMs;
}

}
