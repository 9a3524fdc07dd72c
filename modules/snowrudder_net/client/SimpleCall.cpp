#include "SimpleCall.h"

namespace snowrudder
{

auto callOnce (ConnectionPool& pool,
               tcp::endpoint endpoint,
               HttpRequest request,
               CallTimeouts timeouts,
               std::size_t limit,
               Delivery delivery) -> Task<SimpleResponse>
{
    SimpleResponse response;
    UpstreamCall call (pool, endpoint, timeouts);
    const auto mayReuse = true;

    if (delivery == Delivery::byDeadline)
        call.boundDeliveryByDeadline();

    response.error = co_await call.connect (mayReuse);

    if (! response.error)
        response.error = co_await call.sendAndReadHeader (request);

    if (! response.error)
    {
        response.status = call.status();
        response.error = co_await call.readRest (response.body, limit);
    }

    response.stage = call.stage();
    co_return response;
}

auto makeRequest (http::verb method, std::string_view target, std::string body) -> HttpRequest
{
    HttpRequest request (method, toBeast (target), 11);
    request.set (http::field::host, "snowrudder");

    if (! body.empty())
        request.set (http::field::content_type, "application/json");

    request.body() = std::move (body);
    request.prepare_payload();
    return request;
}

} // namespace snowrudder
