#pragma once

#include "../time/Time.h"
#include "ErrorKind.h"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** One failed request, as its caller is told of it. */
struct Problem
{
    ErrorKind kind = ErrorKind::internal;
    Ran ran = Ran::unknown;
    /** What went wrong here, without prompts, keys or addresses. */
    std::string detail;
    /** Replaces the table's advice when more is known. */
    std::optional<Duration> retryAfter;
};

/** @returns a problem with the table's `ran` and advice for its kind. */
auto makeProblem (ErrorKind kind, std::string detail = {}) -> Problem;

/** @returns a problem whose `ran` is known better than the table knows it. */
auto makeProblem (ErrorKind kind, Ran ran, std::string detail) -> Problem;

/** @returns a problem with a better advice than the table's of when to ask again; a time of zero leaves the table's. */
auto withRetry (Problem problem, Duration retryAfter) -> Problem;

/** @returns the answer's body, application/problem+json.

    @param requestId  the request's identifier; may be empty when none was given yet
    @param extra      members beside the usual ones
*/
auto problemBody (const Problem& problem, std::string_view requestId, const boost::json::object& extra = {})
    -> std::string;

} // namespace snowrudder
