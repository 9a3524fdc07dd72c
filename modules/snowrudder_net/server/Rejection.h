#pragma once

#include "../concurrency/AsioNames.h"

#include <string>

namespace snowrudder
{

/** The response to input that could not be read as a request. */
struct Rejection
{
    HttpResponse response;
    /** The request's identifier, for the log; empty if it isn't known. */
    std::string requestId;
};

} // namespace snowrudder
