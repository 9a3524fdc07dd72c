#pragma once

#include "UpstreamCall.h"

#include <string>

namespace snowrudder
{

/** A whole response, or the error that prevented it. */
struct SimpleResponse
{
    std::error_code error;
    /** The call's progress, which determines whether the call may have taken effect. */
    CallStage stage = CallStage::notSent;
    unsigned status = 0;
    std::string body;

    [[nodiscard]] auto hasSucceeded() const -> bool { return ! error && status >= 200 && status < 300; }
};

/** Whether a call may reach its receiver after it has ended here. */
enum class Delivery
{
    /** It may: the kernel goes on sending what it has been given. */
    mayBeLate,
    /** It does not; see UpstreamCall::boundDeliveryByDeadline(). For calls that are valid for a limited time only. */
    byDeadline
};

/** Makes one call and reads the whole response.

    @param limit     the maximum size of the response body, in bytes
    @param delivery  whether the call may be delivered late
*/
auto callOnce (ConnectionPool& pool,
               tcp::endpoint endpoint,
               HttpRequest request,
               CallTimeouts timeouts,
               std::size_t limit = 8 * 1024 * 1024,
               Delivery delivery = Delivery::mayBeLate) -> Task<SimpleResponse>;

/** @returns a request that is ready to send. A body is sent as `application/json`. */
auto makeRequest (http::verb method, std::string_view target, std::string body = {}) -> HttpRequest;

} // namespace snowrudder
