#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <system_error>

namespace snowrudder
{

/** Every way in which a request can fail. The list is closed: a new kind needs a row in the table too. */
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
    internal
};

/** Whether the work that a request asked for took place. `no` is a promise. */
enum class Ran
{
    no,
    yes,
    unknown
};

/** What a caller is told about one kind of error. */
struct ErrorDescription
{
    ErrorKind kind;
    /** The `kind` member of the answer. */
    std::string_view name;
    /** HTTP status. */
    unsigned status;
    /** What holds when nothing more is known of the attempt. */
    Ran ran;
    /** When asking again may help; empty where it does not. */
    std::optional<std::chrono::seconds> retryAfter;
    /** One sentence for a person. */
    std::string_view title;
};

/** @returns the row of the table for a kind. */
auto errorDescription (ErrorKind kind) -> const ErrorDescription&;

/** @returns "no", "yes" or "unknown". */
auto toString (Ran ran) -> std::string_view;

/** @returns the kind's name as callers see it. */
auto toString (ErrorKind kind) -> std::string_view;

/** @returns the category that makes an ErrorKind a std::error_code. */
auto errorCategory() -> const std::error_category&;

/** Found by std::error_code's constructor. */
auto make_error_code (ErrorKind kind) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace snowrudder

template <>
struct std::is_error_code_enum<snowrudder::ErrorKind> : std::true_type
{
};
