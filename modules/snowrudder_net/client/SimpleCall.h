#pragma once

#include "UpstreamCall.h"

#include <string>

namespace snowrudder
{

/** A whole answer, or why there is none. */
struct SimpleResponse
{
    std::error_code error;
    /** How far the call came; tells whether it may have taken effect. */
    CallStage stage = CallStage::notSent;
    unsigned status = 0;
    std::string body;

    [[nodiscard]] auto hasSucceeded() const -> bool { return ! error && status >= 200 && status < 300; }
};

/** Makes one call and reads its whole answer.

    @param limit  the longest body taken
*/
auto callOnce (ConnectionPool& pool,
               tcp::endpoint endpoint,
               HttpRequest request,
               CallTimeouts timeouts,
               std::size_t limit = 8 * 1024 * 1024) -> Task<SimpleResponse>;

/** @returns a request with a body, ready to send. */
auto makeRequest (http::verb method, std::string_view target, std::string body = {}) -> HttpRequest;

} // namespace snowrudder
