#include "EndToEndHeaders.h"

#include <algorithm>
#include <array>

namespace snowrudder
{

namespace
{

constexpr auto hopByHopNames = std::array { std::string_view ("connection"),
                                            std::string_view ("keep-alive"),
                                            std::string_view ("proxy-authenticate"),
                                            std::string_view ("proxy-authorization"),
                                            std::string_view ("proxy-connection"),
                                            std::string_view ("te"),
                                            std::string_view ("trailer"),
                                            std::string_view ("transfer-encoding"),
                                            std::string_view ("upgrade"),
                                            std::string_view ("expect") };

} // namespace

auto isHopByHop (std::string_view name, std::string_view connection) -> bool
{
    const auto isName = [name] (std::string_view other)
    { return beast::iequals (toBeast (name), toBeast (other)); };

    if (std::ranges::any_of (hopByHopNames, isName))
        return true;

    while (! connection.empty())
    {
        const auto comma = connection.find (',');
        auto token = connection.substr (0, comma);

        while (token.starts_with (' ') || token.starts_with ('\t'))
            token.remove_prefix (1);

        while (token.ends_with (' ') || token.ends_with ('\t'))
            token.remove_suffix (1);

        if (isName (token))
            return true;

        connection = comma == std::string_view::npos ? std::string_view() : connection.substr (comma + 1);
    }

    return false;
}

} // namespace snowrudder
