#pragma once

#include "../time/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** @returns the HMAC-SHA256 of a message as 64 hexadecimal digits. */
auto keyedDigest (std::string_view secret, std::string_view message) -> std::string;

/** @returns whether a digest equals keyedDigest() of a message. Compares in constant time. */
auto isKeyedDigest (std::string_view digest, std::string_view secret, std::string_view message) -> bool;

/** Signs a message between routers, as evidence that the sender has the fleet's secret.

    @param secret   the secret that the routers of the fleet share
    @param name     the name of the signing router
    @param time     the time of signing
    @param message  the message to sign
    @returns        `NAME;MILLISECONDS;HMAC`, where HMAC is the HMAC-SHA256 of name, time and message
*/
auto signMessage (std::string_view secret, std::string_view name, WallTime time, std::string_view message)
    -> std::string;

/** Checks a signature and its age.

    @param maxAge  the maximum difference between the signature's time and `now`, in the past or in the future
    @returns       the name of the signing router, or nothing when the signature is invalid or too old
*/
auto checkSignature (std::string_view secret,
                     std::string_view signature,
                     std::string_view message,
                     WallTime now,
                     std::chrono::milliseconds maxAge) -> std::optional<std::string>;

} // namespace snowrudder
