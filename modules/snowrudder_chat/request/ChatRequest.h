#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snowrudder
{

/** A caller's chat completion request. */
struct ChatRequest
{
    std::string model;
    bool stream = false;
    /** Whether the caller of a stream requested a last chunk with token counts. */
    bool includeUsage = false;
    /** Maximum number of tokens to generate; 0 if the caller set no limit. */
    std::uint32_t maxTokens = 0;
    /** The complete request as received. */
    boost::json::object body;
};

/** Parses a request and validates the members that the router depends on.

    @returns the request, or a problem that names the invalid member
*/
auto parseChatRequest (std::string_view text) -> std::variant<ChatRequest, Problem>;

/** @returns the prompt as one text: the role and content of each message of the request, in order. */
auto promptText (const boost::json::object& body) -> std::string;

/** @returns the body of the request to an engine: always streamed, with token counts in every chunk, and a priority.

    @param request    the caller's request
    @param priority   lower values run first
    @param cacheSalt  separates the entries of different client accounts in the engine's prompt cache
    @param relayed    the part of the response that the caller already has; the engine continues after it
    @param relayedTokens  the number of tokens in that part; deducted from the limit of tokens to generate
*/
auto engineRequestBody (const ChatRequest& request,
                        std::uint32_t priority,
                        std::string_view cacheSalt,
                        std::string_view relayed,
                        std::uint32_t relayedTokens) -> std::string;

} // namespace snowrudder
