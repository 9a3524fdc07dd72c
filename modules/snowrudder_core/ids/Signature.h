#pragma once

#include "../time/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** @returns HMAC-SHA256 of a message as 64 hexadecimal digits. */
auto keyedDigest (std::string_view secret, std::string_view message) -> std::string;

/** @returns whether a digest is keyedDigest() of a message. Takes the same time wherever the two differ. */
auto isKeyedDigest (std::string_view digest, std::string_view secret, std::string_view message) -> bool;

/** Proves that a message between routers comes from one that knows the fleet's secret: `NAME;MILLISECONDS;HMAC`, the
    last being HMAC-SHA256 over name, time and the message.

    @param secret   the fleet's
    @param name     of the signing router
    @param message  what is signed
*/
auto signMessage (std::string_view secret, std::string_view name, WallTime time, std::string_view message)
    -> std::string;

/** Checks a signature and its age.

    @param maxAge  of the signature, either way
    @returns           the signing router's name, or nothing
*/
auto checkSignature (std::string_view secret,
                     std::string_view signature,
                     std::string_view message,
                     WallTime now,
                     std::chrono::milliseconds maxAge) -> std::optional<std::string>;

} // namespace snowrudder
