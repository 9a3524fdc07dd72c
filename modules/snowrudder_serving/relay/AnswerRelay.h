#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <string>

namespace snowrudder
{

/** Bytes of an answer that are read before any is passed on: an upstream lost until then can still be replaced. */
inline constexpr auto readAheadBytes = std::size_t { 256 * 1024 };

/** Reads an answer's first part, or all of it where it is small.

    @param body  appended to
*/
auto readAhead (UpstreamCall& call, std::string& body) -> Task<std::error_code>;

/** @returns the head of an upstream's answer as the caller gets it, for a body that follows in pieces. */
auto relayedHead (const UpstreamCall& call) -> http::response<http::empty_body>;

/** Passes an upstream's answer on: whole where it is here already, else piece by piece as the caller reads. An answer
    that breaks off closes the caller's connection, so that the caller sees that it is not whole.

    @param call   its header is read
    @param body   the part of the body read so far
    @param id     the request's identifier, set on the answer; empty to keep the upstream's own
*/
auto relayAnswer (Exchange& exchange, UpstreamCall& call, std::string body, const std::string& id)
    -> Task<void>;

} // namespace snowrudder
