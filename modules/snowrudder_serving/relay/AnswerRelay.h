#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <functional>
#include <string>

namespace snowrudder
{

/** Number of bytes of an answer that are read before any is relayed: until then, a failed upstream can be replaced by
    another.
*/
inline constexpr auto readAheadBytes = std::size_t { 256 * 1024 };

/** Reads the first `readAheadBytes` of an answer, or all of it if it is smaller; less if the memory for requests is full.

    @param body     what was read is appended to it
    @param mayHold  whether so many bytes of the answer may be held
    @returns     an error if the answer ended early
*/
auto readAhead (
    UpstreamCall& call,
    std::string& body,
    std::function<bool (std::size_t)> mayHold = [] (std::size_t) { return true; }) -> Task<std::error_code>;

/** @returns the head of an upstream's answer as it is sent to the caller, for a body that is streamed. */
auto relayedHead (const UpstreamCall& call) -> http::response<http::empty_body>;

/** Relays an upstream's answer: at once if it has been read completely, otherwise streamed at the pace of the caller.
    If the upstream's answer ends early, the caller's connection is closed, so that the caller can tell that it is
    incomplete.

    @param call   the call to the upstream, whose header has been read
    @param body   the part of the body read so far
    @param id     the request identifier to set on the answer; empty to keep the upstream's
*/
auto relayAnswer (Exchange& exchange, UpstreamCall& call, std::string body, const std::string& id)
    -> Task<void>;

} // namespace snowrudder
