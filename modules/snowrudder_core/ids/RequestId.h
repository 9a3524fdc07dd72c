#pragma once

#include "Uuid.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Names one accepted request in the whole fleet: the router that accepted it and a UUIDv7. Any router can
    tell from it whom to ask for the request's record, without a directory.
*/
struct RequestId
{
    /** The accepting router's name. */
    std::string node;
    Uuid uuid;

    friend auto operator== (const RequestId&, const RequestId&) -> bool = default;
};

/** @returns the form that callers see: NODE.UUID */
auto toString (const RequestId& id) -> std::string;

/** @returns empty when the text is not NODE.UUID */
auto parseRequestId (std::string_view text) -> std::optional<RequestId>;

/** @returns whether a text is 1 to 63 of a-z, 0-9 and '-'. */
auto isValidName (std::string_view text) -> bool;

} // namespace snowrudder
