#include "QueryText.h"

#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace snowrudder
{

namespace
{

namespace urls = boost::urls;

constexpr auto queryCharacters = urls::unreserved_chars + urls::grammar::lut_chars ('/');

auto toUrls (std::string_view text) -> urls::string_view
{
    return { text.data(), text.size() };
}

} // namespace

auto queryText (std::string_view text) -> std::string
{
    return urls::encode (toUrls (text), queryCharacters);
}

auto segmentText (std::string_view text) -> std::string
{
    return urls::encode (toUrls (text), urls::unreserved_chars);
}

auto unescapedText (std::string_view text) -> std::optional<std::string>
{
    const auto escaped = urls::make_pct_string_view (toUrls (text));

    if (! escaped)
        return {};

    return escaped->decode();
}

} // namespace snowrudder
