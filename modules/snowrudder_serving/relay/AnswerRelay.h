#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <string>

namespace snowrudder
{

/** Passes an upstream's answer on: whole where it is here already, else piece by piece as the caller reads. An answer
    that breaks off closes the caller's connection, so that the caller sees that it is not whole.

    @param call   its header is read
    @param body   the part of the body read so far
    @param id     the request's identifier, set on the answer; empty to keep the upstream's own
*/
auto relayAnswer (Exchange& exchange, UpstreamCall& call, std::string body, const std::string& id)
    -> Task<void>;

} // namespace snowrudder
