#include "AttemptErrors.h"

#include "snowrudder_net/snowrudder_net.h"

namespace snowrudder
{

auto failureOf (std::error_code error) -> FailureCause
{
    if (error == std::errc::timed_out)
        return FailureCause::timedOut;

    const auto isHttp =
        error.category() == std::error_code (make_error_code (http::error::end_of_stream)).category();
    const auto isEnd = error == std::error_code (make_error_code (http::error::end_of_stream)) ||
                       error == std::error_code (make_error_code (http::error::partial_message));

    return isHttp && ! isEnd ? FailureCause::invalid : FailureCause::cut;
}

auto healthOf (const AttemptOutcome& outcome) -> AttemptHealth
{
    switch (outcome.cause)
    {
        case FailureCause::connectFailed:
            return AttemptHealth::unreachable;
        case FailureCause::refused:
            return AttemptHealth::refused;
        case FailureCause::cut:
        case FailureCause::timedOut:
        case FailureCause::invalid:
        case FailureCause::failed:
            return AttemptHealth::failed;
        case FailureCause::moved:
        case FailureCause::abandoned:
        case FailureCause::deadline:
            break;
    }

    return AttemptHealth::neutral;
}

} // namespace snowrudder
