#include "QueryText.h"

#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace snowrudder
{

namespace
{

namespace urls = boost::urls;

constexpr auto plainCharacters = urls::unreserved_chars + urls::grammar::lut_chars ('/');

} // namespace

auto queryText (std::string_view text) -> std::string
{
    return urls::encode (urls::string_view (text.data(), text.size()), plainCharacters);
}

} // namespace snowrudder
