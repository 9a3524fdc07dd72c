#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace snowrudder
{

/** How a request's first attempt ended. */
enum class AnswerQuality : std::uint8_t
{
    good,
    /** Several times later than the route's answers are. */
    slow,
    failed
};

/** Answers to first attempts. */
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
    /** Of the target version, by replica. */
    std::map<std::string, AnswerTally, std::less<>> replicas;
};

/** Counts as nodes tell them each other: names of counts, and counts that only grow. */
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

/** @returns what the counts of all nodes together say; names that are not understood are left out. */
auto readTallies (const NamedCounts& counts) -> VersionTallies;

/** @returns the sum over all routes. */
auto sumOf (const std::map<std::string, AnswerTally, std::less<>>& tallies) -> AnswerTally;

} // namespace snowrudder
