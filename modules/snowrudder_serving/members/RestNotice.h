#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <string>

namespace snowrudder
{

/** Tells a node that relayed a connection that the replica asked it for rest: the node that passes bytes on reads no answers,
    and to the replica the request came from it.
*/
struct RestNotice
{
    std::string node;
    /** From incarnationHash(). */
    std::uint64_t incarnation = 0;
    /** From the receipt of the notice. */
    Duration rest {};
};

} // namespace snowrudder
