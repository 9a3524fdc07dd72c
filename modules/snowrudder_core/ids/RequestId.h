#pragma once

#include "Uuid.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** The fleet-wide identifier of an accepted request: the router that accepted it and a UUIDv7. Any router can determine
    from it which router to query for the request's record, without a directory.
*/
struct RequestId
{
    /** The name of the router that accepted the request. */
    std::string node;
    Uuid uuid;

    friend auto operator== (const RequestId&, const RequestId&) -> bool = default;
};

/** @returns the external form, NODE.UUID. */
auto toString (const RequestId& id) -> std::string;

/** @returns the identifier, or nothing when the text is not NODE.UUID. */
auto parseRequestId (std::string_view text) -> std::optional<RequestId>;

/** @returns whether a text consists of 1 to 63 characters of a-z, 0-9 and '-'. */
auto isValidName (std::string_view text) -> bool;

} // namespace snowrudder
