#include "SimpleCall.h"

namespace snowrudder
{

auto callOnce (ConnectionPool& pool,
               tcp::endpoint endpoint,
               HttpRequest request,
               CallTimeouts timeouts,
               std::size_t limit) -> Task<SimpleAnswer>
{
    SimpleAnswer answer;
    UpstreamCall call (pool, endpoint, timeouts);
    const auto mayReuse = true;

    answer.error = co_await call.connect (mayReuse);

    if (! answer.error)
        answer.error = co_await call.sendAndReadHeader (request);

    if (! answer.error)
    {
        answer.status = call.status();
        answer.error = co_await call.readRest (answer.body, limit);
    }

    answer.stage = call.stage();
    co_return answer;
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
