#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Result of the first attempt of a request. */
enum class AnswerQuality : std::uint8_t
{
    good,
    /** Several times later than the usual answers of the route. */
    slow,
    failed
};

/** Number of answers to first attempts, by result. */
struct AnswerTally
{
    std::uint64_t answers = 0;
    std::uint64_t failed = 0;
    std::uint64_t slow = 0;
};

/** Answers of both versions in one roll-out. */
struct VersionTallies
{
    /** By route. */
    std::map<std::string, AnswerTally, std::less<>> target;
    std::map<std::string, AnswerTally, std::less<>> others;
    /** Answers of the target version, by replica. */
    std::map<std::string, AnswerTally, std::less<>> replicas;
};

/** Counts by name, in the form in which nodes exchange them. Counts never decrease. */
using NamedCounts = std::map<std::string, std::uint64_t, std::less<>>;

/** Counts an answer.

    @param isTarget  whether a replica of the target version gave it
    @param replica   short name of the replica
*/
auto recordAnswer (NamedCounts& counts,
                   bool isTarget,
                   std::string_view route,
                   std::string_view replica,
                   AnswerQuality quality) -> void;

/** @returns the tallies from the counts of all nodes together. Counts with unknown names are ignored. */
auto readTallies (const NamedCounts& counts) -> VersionTallies;

/** @returns the sum over all routes. */
auto sumOf (const std::map<std::string, AnswerTally, std::less<>>& tallies) -> AnswerTally;

} // namespace snowrudder
