#include "NodeStop.h"

namespace snowrudder
{

namespace
{

/** The load balancer checks readiness every second and removes a node after two failed checks; until then it sends
    callers to the node.
*/
constexpr auto balancerRemovalTime = 2300ms;

/** Reserved from the grace time: for the last answers, and so that the process exits by itself before it is killed. */
constexpr auto graceMargin = 700ms;

/** How long answers that have begun may go on after the others were ended. */
constexpr auto lastAnswersTime = 200ms;

/** How long the last bytes may take to be written. */
constexpr auto closingTime = 100ms;

static_assert (lastAnswersTime + closingTime < graceMargin);

} // namespace

auto stopTimes (TimePoint asked, Duration grace) -> StopTimes
{
    StopTimes stop;
    stop.drainStart = asked + balancerRemovalTime;
    stop.lastAnswer = asked + grace - graceMargin;
    stop.lastByte = stop.lastAnswer + lastAnswersTime;
    stop.end = stop.lastByte + closingTime;
    return stop;
}

auto verdictAtStop (const StoppedRequest& request, const StopTimes& stop, TimePoint now) -> StopVerdict
{
    if (request.deadline <= stop.lastAnswer)
        return StopVerdict::served;

    const auto isWorthwhile = now < stop.lastAnswer && now + request.expectedTime <= stop.lastAnswer;
    return request.isRepeatable && isWorthwhile ? StopVerdict::cutShort : StopVerdict::refused;
}

auto mustEnd (const StopTimes& stop, bool hasAnswer, TimePoint now) -> bool
{
    return now >= (hasAnswer ? stop.lastByte : stop.lastAnswer);
}

auto toString (StopVerdict verdict) -> std::string_view
{
    switch (verdict)
    {
        case StopVerdict::served:
            return "served";
        case StopVerdict::cutShort:
            return "cut_short";
        case StopVerdict::refused:
            break;
    }

    return "refused";
}

} // namespace snowrudder
