#include "RoutedRequest.h"

#include <algorithm>
#include <span>

namespace snowrudder
{

auto sharedParts (const CallerRequest& caller, std::string_view service) -> std::vector<RequestFingerprint>
{
    std::vector<RequestFingerprint> shared;

    if (caller.parts.size() < 2)
        return shared;

    const auto serviceHash = hashBytes (service);
    const auto count = std::min (caller.parts.size() - 1, maxPartsWatched);
    shared.reserve (count);

    for (const auto& part : std::span (caller.parts).first (count))
        shared.push_back ({ serviceHash, part.contentHash });

    return shared;
}

} // namespace snowrudder
