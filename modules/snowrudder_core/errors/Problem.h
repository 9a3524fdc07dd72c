#pragma once

#include "../time/Time.h"
#include "ErrorKind.h"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The failure of a request, as reported to its caller. */
struct Problem
{
    ErrorKind kind = ErrorKind::internal;
    Ran ran = Ran::unknown;
    /** What went wrong in this case. Must not contain prompts, keys or addresses. */
    std::string detail;
    /** When to retry; empty if retrying doesn't help. Replaces the table's value when more is known. */
    std::optional<Duration> retryAfter;
};

/** @returns a problem with the `ran` and `retryAfter` values that errorDescription() has for its kind. */
auto makeProblem (ErrorKind kind, std::string detail = {}) -> Problem;

/** @returns a problem whose `ran` value is known and replaces the table's. */
auto makeProblem (ErrorKind kind, Ran ran, std::string detail) -> Problem;

/** @returns the problem with another `retryAfter` value; zero leaves the value unchanged. */
auto withRetry (Problem problem, Duration retryAfter) -> Problem;

/** @returns the response body, application/problem+json.

    @param requestId  the request's identifier; empty if it has none yet
    @param extra      members that are added to the body; they replace standard members of the same name
*/
auto problemBody (const Problem& problem, std::string_view requestId, const boost::json::object& extra = {})
    -> std::string;

} // namespace snowrudder
