#include "SignedRequest.h"

#include "snowrudder_core/snowrudder_core.h"

namespace snowrudder
{

namespace
{

constexpr auto maxSignatureAge = std::chrono::milliseconds (30'000);

auto signedContent (const HttpRequest& request) -> std::string
{
    std::string text (toView (request.method_string()));
    text += ' ';
    text += toView (request.target());
    text += ' ';
    text += toView (request[http::field::authorization]);
    text += ' ';
    text += toView (request["Idempotency-Key"]);
    text += ' ';
    text += request.body();
    return text;
}

} // namespace

auto signRequest (std::string_view secret, std::string_view name, HttpRequest& request) -> void
{
    const auto signature = signMessage (secret, name, wallTimeNow(), signedContent (request));
    request.set (toBeast (nodeHeader), signature);
}

auto verifiedSigner (std::string_view secret, const HttpRequest& request) -> std::optional<std::string>
{
    const auto signature = toView (request[toBeast (nodeHeader)]);

    if (signature.empty())
        return {};

    return checkSignature (secret, signature, signedContent (request), wallTimeNow(), maxSignatureAge);
}

} // namespace snowrudder
