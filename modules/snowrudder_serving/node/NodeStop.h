#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <functional>
#include <list>
#include <string_view>
#include <utility>

namespace snowrudder
{

/** When a node that shuts down stops what. */
struct StopTimes
{
    /** From then on it takes no requests. */
    TimePoint drainStart {};
    /** Requests without an answer are ended then. */
    TimePoint lastAnswer {};
    /** Answers that have begun are broken off then. */
    TimePoint lastByte {};
    /** It ends then, whatever is open. */
    TimePoint end {};
};

/** @returns the times of a node that is asked to shut down.

    @param grace  from then until the process is killed
*/
auto stopTimes (TimePoint asked, Duration grace) -> StopTimes;

/** What a shutdown means for a request that has not been sent. */
enum class StopVerdict
{
    /** Its deadline comes before the node's end. */
    served,
    /** It gets the time that the node has left. */
    cutShort,
    /** It is not sent. */
    refused
};

/** A request at a node that shuts down. */
struct StoppedRequest
{
    bool isRepeatable = false;
    /** By the caller and the route. */
    TimePoint deadline {};
    /** The least time that is worth an attempt. */
    Duration expectedTime {};
};

/** @returns what becomes of a request. One that may run only once is sent only if its answer, or its deadline, comes before
    the node's end whatever its replica does.
*/
auto verdictAtStop (const StoppedRequest& request, const StopTimes& stop, TimePoint now) -> StopVerdict;

/** @returns whether a request has to end now.

    @param hasAnswer  whether an answer to it has begun
*/
auto mustEnd (const StopTimes& stop, bool hasAnswer, TimePoint now) -> bool;

/** @returns the name of a verdict as it is written to the log. */
auto toString (StopVerdict verdict) -> std::string_view;

/** What the requests of one node do when it begins to shut down, and when a time of StopTimes has come. */
using OpenRequests = std::list<std::function<void()>>;

/** Lists a request during the lifetime of this object. */
class ListedRequest
{
public:
    ListedRequest (OpenRequests& openRequests, std::function<void()> followStop)
        : requests (openRequests), position (requests.insert (requests.end(), std::move (followStop)))
    {
    }

    ~ListedRequest() { requests.erase (position); }

    ListedRequest (const ListedRequest&) = delete;
    auto operator= (const ListedRequest&) -> ListedRequest& = delete;

private:
    OpenRequests& requests;
    OpenRequests::iterator position;
};

} // namespace snowrudder
