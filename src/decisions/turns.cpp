#include "decisions/turns.h"
#include <algorithm>
#include <chrono>
#include <tuple>

namespace alderward::decisions {

// Of a statement's usual time must be left to its objective. In a long overload all statements are served just before they count as
// too late for it; a margin of less than the slow tenth of them takes (2.3 times the mean, if times are exponential) makes most miss it.
static constexpr double kObjectiveMargin = 3;
static constexpr double kMedianToMean = 0.7; // of exponential times
static constexpr double kWorkTimeStep = 0.05; // a time that doubles is followed within fifteen statements
static constexpr double kMinWorkMs = 0.5; // members answer in no less, and the way down must end
static constexpr double kDeadlineMargin = 1.5; // of a statement's usual time must be left to its deadline: else it uses a place for nothing

static double getRemainingMs(TimePoint until, TimePoint now)
{
    return std::chrono::duration<double, std::milli>(until - now).count();
}

TimePoint getObjectiveEnd(TimePoint now, milliseconds objective, TimePoint::duration spent)
{
    return now + objective - spent;
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
