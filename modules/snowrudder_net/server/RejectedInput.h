#pragma once

#include "../concurrency/AsioNames.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <string>

namespace snowrudder
{

/** Input that could not be read as a request, and why. */
struct RejectedInput
{
    ErrorKind kind = ErrorKind::invalidRequest;
    /** The error of the parser or of the connection. */
    std::string reason;
    /** Received bytes of the request, or the length that its header states. */
    std::uint64_t bytes = 0;
    /** The limit on them that was exceeded; 0 if there was none. */
    std::uint64_t limit = 0;
    /** The fields of its header; empty if the header was not read. */
    http::fields fields;
};

} // namespace snowrudder
