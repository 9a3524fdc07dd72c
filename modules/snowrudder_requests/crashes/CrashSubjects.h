#pragma once

#include "RequestFingerprint.h"

#include <utility>
#include <vector>

namespace snowrudder
{

/** What may have caused a crash of a replica that ran a request: the request itself, or a part of its prompt that other
    requests have as well.
*/
struct CrashSubjects
{
    CrashSubjects() = default;
    CrashSubjects (const RequestFingerprint& requestFingerprint,
                   std::vector<RequestFingerprint> sharedParts = {})
        : request (requestFingerprint), parts (std::move (sharedParts))
    {
    }

    RequestFingerprint request;
    std::vector<RequestFingerprint> parts;
};

} // namespace snowrudder
