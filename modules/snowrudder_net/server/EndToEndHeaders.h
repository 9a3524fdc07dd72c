#pragma once

#include "../concurrency/AsioNames.h"

#include <string_view>

namespace snowrudder
{

/** @returns whether a header applies to a single connection and must not be forwarded (RFC 9110, section 7.6.1).

    @param connection  the message's `Connection` header, which may name further hop-by-hop headers
*/
auto isHopByHop (std::string_view name, std::string_view connection) -> bool;

/** Copies the end-to-end headers in their order. `Content-Length` is left out, as the sender sets it again.

    @param skip  called with each header's name; returns true to leave the header out
*/
template <typename Skip>
auto copyEndToEndHeaders (const http::fields& from, http::fields& to, Skip&& skip) -> void
{
    const auto connection = toView (from[http::field::connection]);

    for (const auto& field : from)
    {
        const auto name = toView (field.name_string());

        if (isHopByHop (name, connection) || field.name() == http::field::content_length || skip (name))
            continue;

        to.insert (field.name(), field.name_string(), field.value());
    }
}

} // namespace snowrudder
