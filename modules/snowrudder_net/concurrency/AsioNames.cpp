#include "AsioNames.h"

#include "snowrudder_core/snowrudder_core.h"

#include <charconv>

namespace snowrudder
{

auto parseEndpoint (std::string_view text) -> tcp::endpoint
{
    const auto colon = text.rfind (':');
    auto port = std::uint16_t { 0 };
    boost::system::error_code error;

    if (colon == std::string_view::npos)
        return {};

    const auto* const textEnd = text.data() + text.size();
    const auto [portEnd, failure] = std::from_chars (text.data() + colon + 1, textEnd, port);

    if (failure != std::errc() || portEnd != textEnd)
        return {};

    const auto address = asio::ip::make_address (std::string (text.substr (0, colon)), error);
    return error ? tcp::endpoint() : tcp::endpoint (address, port);
}

} // namespace snowrudder
