#include "ErrorKind.h"

#include "../assertions/Invariant.h"

#include <array>
#include <string>

namespace snowrudder
{

namespace
{

using std::chrono::seconds;

constexpr auto noRetry = std::optional<seconds> {};

// One row per kind, in the order of the enumeration.
constexpr auto errorDescriptions = std::array {
    ErrorDescription { ErrorKind::invalidRequest, "invalid_request", 400, Ran::no, noRetry,
                       "The request is not well formed." },
    ErrorDescription { ErrorKind::unsupported, "unsupported", 400, Ran::no, noRetry,
                       "The request asks for something that is not offered here." },
    ErrorDescription { ErrorKind::unauthorized, "unauthorized", 401, Ran::no, noRetry,
                       "The key is missing or not known." },
    ErrorDescription { ErrorKind::forbidden, "forbidden", 403, Ran::no, noRetry,
                       "The client account may not use this service." },
    ErrorDescription { ErrorKind::notFound, "not_found", 404, Ran::no, noRetry,
                       "There is nothing at this path." },
    ErrorDescription { ErrorKind::unknownModel, "unknown_model", 404, Ran::no, noRetry,
                       "No service offers this model." },
    ErrorDescription {
        ErrorKind::unknownRequest, "unknown_request", 404, Ran::unknown, noRetry,
        "No request of this client account has this identifier, or its answer is no longer kept." },
    ErrorDescription { ErrorKind::methodNotAllowed, "method_not_allowed", 405, Ran::no, noRetry,
                       "The path does not take this method." },
    ErrorDescription { ErrorKind::callerTimeout, "caller_timeout", 408, Ran::no, seconds (1),
                       "The request was not sent in time." },
    ErrorDescription { ErrorKind::headerTooLarge, "header_too_large", 431, Ran::no, noRetry,
                       "The header is larger than allowed." },
    ErrorDescription { ErrorKind::bodyTooLarge, "body_too_large", 413, Ran::no, noRetry,
                       "The body is larger than allowed." },
    ErrorDescription { ErrorKind::keyConflict, "key_conflict", 409, Ran::no, noRetry,
                       "The idempotency key was used before with another request." },
    ErrorDescription { ErrorKind::rateLimited, "rate_limited", 429, Ran::no, seconds (1),
                       "The client account is over its limit." },
    ErrorDescription { ErrorKind::overloaded, "overloaded", 503, Ran::no, seconds (1),
                       "The queue is too long to serve the request in time." },
    ErrorDescription { ErrorKind::noReplica, "no_replica", 503, Ran::no, seconds (2),
                       "No replica of the service can be reached." },
    ErrorDescription { ErrorKind::nodeLeaving, "node_leaving", 503, Ran::no, seconds (1),
                       "This router is stopping; ask another one." },
    ErrorDescription { ErrorKind::upstreamRefused, "upstream_refused", 503, Ran::no, seconds (1),
                       "Every upstream refused the request without running it." },
    ErrorDescription { ErrorKind::upstreamFailed, "upstream_failed", 502, Ran::unknown, noRetry,
                       "The upstream was lost before its answer was whole." },
    ErrorDescription { ErrorKind::upstreamTimeout, "upstream_timeout", 504, Ran::unknown, noRetry,
                       "The upstream did not answer in time." },
    ErrorDescription { ErrorKind::upstreamInvalid, "upstream_invalid", 502, Ran::unknown, noRetry,
                       "The upstream's answer could not be understood." },
    ErrorDescription { ErrorKind::deadlineExceeded, "deadline_exceeded", 504, Ran::unknown, noRetry,
                       "The request's time ran out." },
    ErrorDescription { ErrorKind::outcomeUnknown, "outcome_unknown", 409, Ran::unknown, noRetry,
                       "A call with this idempotency key may have run; its answer is not known." },
    ErrorDescription {
        ErrorKind::ownerUnavailable, "owner_unavailable", 503, Ran::unknown, seconds (2),
        "The router that knows this idempotency key can't be reached; ask again with the same key." },
    ErrorDescription {
        ErrorKind::requestMoved, "request_moved", 503, Ran::unknown, seconds (1),
        "This router is going; the request goes on, and its answer is at GET /v1/requests/{request_id}." },
    ErrorDescription { ErrorKind::resumeExpired, "resume_expired", 410, Ran::unknown, noRetry,
                       "The answer can no longer be resumed from this event." },
    ErrorDescription { ErrorKind::editConflict, "edit_conflict", 409, Ran::no, noRetry,
                       "Another edit of the settings came first." },
    ErrorDescription { ErrorKind::settingsInvalid, "settings_invalid", 422, Ran::no, noRetry,
                       "The settings would not be valid." },
    ErrorDescription { ErrorKind::platformUnavailable, "platform_unavailable", 503, Ran::no, seconds (5),
                       "The platform's key-value service can't be reached; nothing was changed." },
    ErrorDescription { ErrorKind::editUnknown, "edit_unknown", 503, Ran::unknown, seconds (5),
                       "The edit may be stored; ask again with the same edit identifier." },
    ErrorDescription {
        ErrorKind::crashesReplicas, "crashes_replicas", 503, Ran::no, seconds (600),
        "Replicas end when they run this request; it is not sent to any until it has not been seen for "
        "a while." },
    ErrorDescription { ErrorKind::streamNotResumable, "stream_not_resumable", 503, Ran::no, noRetry,
                       "It is not known which software version began this stream, or none of its replicas is "
                       "left; begin anew." },
    ErrorDescription { ErrorKind::memoryFull, "memory_full", 503, Ran::no, seconds (1),
                       "The router holds as many bytes of requests as it may." },
    ErrorDescription { ErrorKind::internal, "internal", 500, Ran::unknown, noRetry,
                       "The router failed in a way that it should not." },
};

class Category final : public std::error_category
{
public:
    [[nodiscard]] auto name() const noexcept -> const char* override { return "snowrudder"; }

    [[nodiscard]] auto message (int value) const -> std::string override
    {
        return std::string (errorDescription (static_cast<ErrorKind> (value)).title);
    }
};

} // namespace

auto errorDescription (ErrorKind kind) -> const ErrorDescription&
{
    const auto index = static_cast<std::size_t> (kind) - 1;

    requireInvariant (index < errorDescriptions.size() && errorDescriptions[index].kind == kind,
                      "error table has a row per kind");
    return errorDescriptions[index];
}

auto toString (Ran ran) -> std::string_view
{
    switch (ran)
    {
        case Ran::no:
            return "no";
        case Ran::yes:
            return "yes";
        case Ran::unknown:
            break;
    }

    return "unknown";
}

auto toString (ErrorKind kind) -> std::string_view
{
    return errorDescription (kind).name;
}

auto errorCategory() -> const std::error_category&
{
    static const Category category;
    return category;
}

auto make_error_code (ErrorKind kind) -> std::error_code // NOLINT(readability-identifier-naming)
{
    return { static_cast<int> (kind), errorCategory() };
}

} // namespace snowrudder
