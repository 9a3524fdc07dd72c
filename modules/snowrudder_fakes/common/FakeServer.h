#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <boost/json.hpp>

#include <functional>
#include <string>

namespace snowrudder
{

/** Runs one stand-in on one event loop until SIGTERM or SIGINT.

    @param listen   IP-NUMBER:PORT
    @param program  named in messages
    @param handler  answers each request
    @param loop     the loop that the handler's own work runs on
    @returns        the process's exit code
*/
auto runFakeServer (EventLoop& loop,
                    const std::string& listen,
                    const std::string& program,
                    ExchangeHandler handler) -> int;

/** @returns a JSON request's body as an object; an empty object when it is none. */
auto jsonBody (const Exchange& exchange) -> boost::json::object;

/** Answers with JSON. */
auto respondJson (Exchange& exchange, http::status status, boost::json::value value) -> Task<void>;

/** Adds name and value pairs to an object. */
template <typename Value, typename... Rest>
auto addMembers (boost::json::object& object, std::string_view name, Value&& value, Rest&&... rest) -> void
{
    object[boost::json::string_view (name.data(), name.size())] = std::forward<Value> (value);

    if constexpr (sizeof...(rest) > 0)
        addMembers (object, std::forward<Rest> (rest)...);
}

/** @returns an object of name and value pairs. Unlike a braced list it can stand inside a co_await expression, which
    GCC 12 does not compile with lists.
*/
template <typename... Members>
auto makeObject (Members&&... members) -> boost::json::object
{
    boost::json::object object;
    addMembers (object, std::forward<Members> (members)...);
    return object;
}

} // namespace snowrudder
