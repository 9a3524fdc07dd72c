#include "RelayRequest.h"

#include <charconv>
#include <utility>

namespace snowrudder
{

namespace
{

/** Ends the name, the endpoint and the time in the target, all of which the signature covers. */
constexpr auto separator = '/';

} // namespace

auto encodeRelayRequest (const RelayRequest& request, std::string_view secret, std::string_view node)
    -> HttpRequest
{
    const auto target = segmentText (request.replica) + separator + request.endpoint + separator +
                        std::to_string (request.timeLeft.count());
    HttpRequest message (http::verb::connect, target, 11);
    message.set (http::field::host, "snowrudder");
    signRequest (secret, node, message);
    return message;
}

auto decodeRelayRequest (const HttpRequest& message) -> std::optional<RelayRequest>
{
    const auto target = toView (message.target());
    const auto endOfName = target.find (separator);
    const auto endOfEndpoint = target.rfind (separator);

    if (message.method() != http::verb::connect || endOfName == std::string_view::npos ||
        endOfEndpoint == endOfName)
        return {};

    auto replica = unescapedText (target.substr (0, endOfName));

    if (! replica)
        return {};

    RelayRequest request;
    request.replica = std::move (*replica);
    request.endpoint = target.substr (endOfName + 1, endOfEndpoint - endOfName - 1);

    const auto time = target.substr (endOfEndpoint + 1);
    auto milliseconds = std::uint32_t { 0 };
    const auto [end, error] = std::from_chars (time.data(), time.data() + time.size(), milliseconds);

    if (error != std::errc() || end != time.data() + time.size() ||
        parseEndpoint (request.endpoint).port() == 0)
        return {};

    request.timeLeft = std::chrono::milliseconds (milliseconds);
    return request;
}

} // namespace snowrudder
