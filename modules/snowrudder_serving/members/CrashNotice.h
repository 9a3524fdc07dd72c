#pragma once

#include "snowrudder_requests/crashes/CrashEvidence.h"

#include <string>
#include <vector>

namespace snowrudder
{

/** Told by a node that saw replicas end, or that heard of it and hands it on. */
struct CrashNotice
{
    std::string node;
    std::vector<CrashEvidence> evidence;
};

/** Requests in one notice: with all their crashes they fit into a datagram. */
inline constexpr auto maxEvidencePerNotice = std::size_t { 24 };

} // namespace snowrudder
