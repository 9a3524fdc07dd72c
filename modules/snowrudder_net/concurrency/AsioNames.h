#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <string>
#include <system_error>

namespace snowrudder
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

template <typename Value>
using Task = asio::awaitable<Value>;

/** Completion token by which a coroutine receives the error of an operation as a value, not as an exception. */
inline constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/** @returns a Boost string view as a standard one; the two types don't convert implicitly. */
inline auto toView (beast::string_view text) -> std::string_view
{
    return { text.data(), text.size() };
}

/** @returns a standard string view as a Boost one. */
inline auto toBeast (std::string_view text) -> beast::string_view
{
    return { text.data(), text.size() };
}

/** @returns the endpoint for IP-NUMBER:PORT text that the settings reader has validated, or an empty endpoint when the
    address can't be parsed.
*/
auto parseEndpoint (std::string_view text) -> tcp::endpoint;

} // namespace snowrudder
