#include "decisions/turns.h"
#include <algorithm>
#include <chrono>
#include <tuple>

namespace alderward::decisions {

// Of a statement's usual time must be left to its objective. In a long overload all statements are served just before they count as
// too late for it; a margin of less than the slow tenth of them takes (2.3 times the mean, if times are exponential) makes most miss it.
static constexpr double kFeasible = 3;
static constexpr double kMedianOfMean = 0.7; // of exponential times
static constexpr double kWorkStep = 0.05; // a time that doubles is followed within fifteen statements
static constexpr double kLeastWorkMs = 0.5; // members answer in no less, and the way down must end
static constexpr double kWorthSending = 1.5; // of a statement's usual time must be left to its deadline: else it uses a place for nothing

static double getLeftMs(TimePoint until, TimePoint now)
{
    return std::chrono::duration<double, std::milli>(until - now).count();
}

TimePoint getObjectiveEnd(TimePoint now, milliseconds objective, TimePoint::duration spent)
{
    return now + objective - spent;
}

bool canMeetObjective(const Turn& turn, TimePoint now, double workMs)
{
    return getLeftMs(turn.objective, now) >= kFeasible * workMs;
}

double takeWorkTime(double workMs, double tookMs)
{
    bool isAbove = tookMs > workMs * kMedianOfMean;
    return std::max(kLeastWorkMs, workMs * (isAbove ? 1 + kWorkStep : 1 - kWorkStep));
}

bool isWorthSending(const Turn& turn, TimePoint now, double workMs)
{
    return getLeftMs(turn.deadline, now) >= kWorthSending * workMs;
}

bool goesBefore(const Turn& a, const Turn& b, TimePoint now, double workMs)
{
    auto rank = [now, workMs](const Turn& it) { return std::tuple(!it.isContinuation, !canMeetObjective(it, now, workMs), it.priority, it.objective); };
    return rank(a) < rank(b);
}

bool comesInTime(const Turn& turn, size_t ahead, unsigned concurrency, TimePoint now, double workMs)
{
    auto waitMs = static_cast<double>(ahead) * workMs / std::max(1U, concurrency);
    return turn.isContinuation || waitMs <= getLeftMs(turn.deadline, now) - kWorthSending * workMs;
}

}
