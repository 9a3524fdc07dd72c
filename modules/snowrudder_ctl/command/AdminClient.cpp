#include "AdminClient.h"

#include <fstream>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

/** Must exceed the time for which the API waits until an edit is accepted. */
constexpr auto responseTimeout = 20s;
constexpr auto connectTimeout = 2s;

} // namespace

AdminClient::AdminClient (const std::string& address, std::string key)
    : endpoint (parseEndpoint (address)), operatorKey (std::move (key))
{
}

auto AdminClient::call (http::verb method,
                        const std::string& target,
                        const std::string& body,
                        const std::vector<std::pair<std::string, std::string>>& headers) -> AdminResponse
{
    auto request = makeRequest (method, target, body);
    request.set (http::field::authorization, "Bearer " + operatorKey);

    for (const auto& [name, value] : headers)
        request.set (name, value);

    asio::io_context loop (1);
    ConnectionPool pool (loop.get_executor());
    SimpleResponse httpResponse;

    asio::co_spawn (
        loop,
        [&]() -> Task<void>
        {
            const CallTimeouts timeouts { connectTimeout, responseTimeout, responseTimeout };
            httpResponse = co_await callOnce (pool, endpoint, std::move (request), timeouts);
            loop.stop();
        },
        asio::detached);
    loop.run();

    boost::system::error_code parseError;
    AdminResponse response { httpResponse.error, httpResponse.status,
                             json::parse (httpResponse.body, parseError) };
    return response;
}

auto readKeyFile (const std::string& file) -> std::string
{
    std::ifstream stream (file);
    std::string key;
    std::getline (stream, key);
    return key;
}

} // namespace snowrudder
