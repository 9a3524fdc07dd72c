#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <list>

namespace snowrudder
{

/** An attempt on a direct connection to a replica that has not ended. */
struct DirectAttempt
{
    UpstreamCall& call;
    /** Whether another replica may run the request, or go on with its stream. */
    bool mayContinueElsewhere = false;
    /** When the request was sent, or bytes of the answer were last received. */
    TimePoint lastBytes {};
    /** Whether it tries paths that are taken for lost. */
    bool isTrial = false;
    /** Whether it was cancelled because this node lost its paths. */
    bool isLost = false;
};

/** The attempts on direct connections of one node. */
using DirectAttempts = std::list<DirectAttempt*>;

/** Lists an attempt during the lifetime of this object. */
class ListedAttempt
{
public:
    ListedAttempt (DirectAttempts& directAttempts, DirectAttempt& attempt)
        : attempts (directAttempts), position (attempts.insert (attempts.end(), &attempt))
    {
    }

    ~ListedAttempt() { attempts.erase (position); }

    ListedAttempt (const ListedAttempt&) = delete;
    auto operator= (const ListedAttempt&) -> ListedAttempt& = delete;

private:
    DirectAttempts& attempts;
    DirectAttempts::iterator position;
};

} // namespace snowrudder
