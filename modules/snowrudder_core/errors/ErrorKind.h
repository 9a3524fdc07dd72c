#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <system_error>

namespace snowrudder
{

/** Every way in which a request can fail. Each kind needs a row in the table in ErrorKind.cpp. */
enum class ErrorKind
{
    invalidRequest = 1,
    unsupported,
    unauthorized,
    forbidden,
    notFound,
    unknownModel,
    unknownRequest,
    methodNotAllowed,
    callerTimeout,
    headerTooLarge,
    bodyTooLarge,
    keyConflict,
    rateLimited,
    overloaded,
    noReplica,
    nodeLeaving,
    upstreamRefused,
    upstreamFailed,
    upstreamTimeout,
    upstreamInvalid,
    deadlineExceeded,
    outcomeUnknown,
    ownerUnavailable,
    requestMoved,
    resumeExpired,
    editConflict,
    settingsInvalid,
    platformUnavailable,
    editUnknown,
    crashesReplicas,
    streamNotResumable,
    memoryFull,
    internal
};

/** Whether the work that a request asks for has been done. `no` is a guarantee. */
enum class Ran
{
    no,
    yes,
    unknown
};

/** The response to a caller for one kind of error. */
struct ErrorDescription
{
    ErrorKind kind;
    /** The `kind` member of the response body. */
    std::string_view name;
    /** HTTP status. */
    unsigned status;
    /** Applies when nothing more specific is known about the attempt. */
    Ran ran;
    /** When a retry may succeed; empty if retrying doesn't help. */
    std::optional<std::chrono::seconds> retryAfter;
    /** A sentence that describes the error to people. */
    std::string_view title;
};

/** @returns the table row for a kind. */
auto errorDescription (ErrorKind kind) -> const ErrorDescription&;

/** @returns "no", "yes" or "unknown". */
auto toString (Ran ran) -> std::string_view;

/** @returns the kind's name in responses. */
auto toString (ErrorKind kind) -> std::string_view;

/** @returns the category of error codes made from an ErrorKind. */
auto errorCategory() -> const std::error_category&;

/** Makes an ErrorKind convertible to std::error_code, whose constructor finds this function by its arguments. */
auto make_error_code (ErrorKind kind) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace snowrudder

template <>
struct std::is_error_code_enum<snowrudder::ErrorKind> : std::true_type
{
};
