#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace snowrudder
{

/** Software versions by service. */
using VersionsByService = std::map<std::string, std::set<std::string>, std::less<>>;

/** The software versions that replicas of each service had within `streamMemory`, as the state store keeps them. A node
    that has just started learns from it which versions served before.
*/
struct VersionRegistry
{
    VersionsByService versions;
    /** Revision of the store's item; 0 while there is none. */
    std::uint64_t revision = 0;
    /** As of when it was read; empty before the first response. */
    std::optional<TimePoint> readAt;
    /** Whether the store's item is well formed. */
    bool isValid = true;
    /** Whether a request waits for it. */
    bool isWanted = false;
};

/** @returns the registry as the store keeps it, JSON. */
auto formatVersions (const VersionsByService& versions) -> std::string;

/** @returns the registry that a text of the store gives, or nothing if it is malformed. */
auto parseVersions (const std::string& text) -> std::optional<VersionsByService>;

} // namespace snowrudder
