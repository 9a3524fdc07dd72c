#pragma once

#include "snowrudder_requests/crashes/CrashEvidence.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** Crash evidence that a node sends to its peers: its own observations, and evidence that it received and forwards. */
struct CrashNotice
{
    std::string node;
    std::vector<CrashEvidence> evidence;
};

/** The largest number of requests in one notice. With all their crashes they fit into one datagram. */
inline constexpr auto maxEvidencePerNotice = std::size_t { 24 };

} // namespace snowrudder
