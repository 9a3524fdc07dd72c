#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <boost/json.hpp>

#include <functional>
#include <string>

namespace snowrudder
{

/** Runs the server of a fake on one event loop until SIGTERM or SIGINT.

    @param loop     the event loop that the handler's own work runs on
    @param listen   IP-NUMBER:PORT
    @param program  the program's name in messages
    @param handler  answers each request
    @returns        the process's exit code
*/
auto runFakeServer (EventLoop& loop,
                    const std::string& listen,
                    const std::string& program,
                    ExchangeHandler handler) -> int;

/** @returns the body of a request as a JSON object; an empty object when the body is not one. */
auto jsonBody (const Exchange& exchange) -> boost::json::object;

/** Sends a response with a JSON body. */
auto respondJson (Exchange& exchange, http::status status, boost::json::value value) -> Task<void>;

/** Adds name and value pairs to an object. */
template <typename Value, typename... Rest>
auto addMembers (boost::json::object& object, std::string_view name, Value&& value, Rest&&... rest) -> void
{
    object[boost::json::string_view (name.data(), name.size())] = std::forward<Value> (value);

    if constexpr (sizeof...(rest) > 0)
        addMembers (object, std::forward<Rest> (rest)...);
}

/** @returns an object of name and value pairs. Can be used inside a co_await expression, unlike a braced list, which
    GCC 12 fails to compile there.
*/
template <typename... Members>
auto makeObject (Members&&... members) -> boost::json::object
{
    boost::json::object object;
    addMembers (object, std::forward<Members> (members)...);
    return object;
}

} // namespace snowrudder
