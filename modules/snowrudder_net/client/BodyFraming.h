#pragma once

#include <string_view>

namespace snowrudder
{

/** How the end of a response's body is marked (RFC 9112, section 6.3). */
enum class BodyFraming
{
    /** By the header: a length, or a response that has no body. */
    length,
    chunks,
    endOfConnection
};

inline auto toString (BodyFraming framing) -> std::string_view
{
    switch (framing)
    {
        case BodyFraming::length:
            return "length";
        case BodyFraming::chunks:
            return "chunks";
        case BodyFraming::endOfConnection:
            break;
    }

    return "end_of_connection";
}

} // namespace snowrudder
