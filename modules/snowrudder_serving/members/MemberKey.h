#pragma once

#include <string>
#include <string_view>

namespace snowrudder
{

/** @returns the name of a node or a failure domain as one part of a member's key: without slashes and of at most 80 bytes,
    so that a key with two of them fits into the store. Names of up to 80 letters, digits and `-._~` stay as they are.
*/
auto memberKeyPart (std::string_view name) -> std::string;

} // namespace snowrudder
