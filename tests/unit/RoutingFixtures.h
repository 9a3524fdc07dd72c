#pragma once

#include "snowrudder_routing/snowrudder_routing.h"

#include <string>
#include <vector>

namespace snowrudder::tests
{

/** An arbitrary point in time. */
inline constexpr auto now = TimePoint (1h);

inline auto listed (const std::string& name, bool leaving = false) -> ListedReplica
{
    ReplicaInfo info;
    info.name = name;
    info.vm = "vm-" + name;
    info.failureDomain = "d";
    info.service = "s";
    // Replicas that run at the same time have different addresses.
    constexpr auto ports = std::uint64_t { 65'000 };
    info.endpoint = "127.0.0.1:" + std::to_string (1 + hashBytes (name) % ports);
    return { info, leaving };
}

inline auto listedNumbered (std::size_t count) -> std::vector<ListedReplica>
{
    std::vector<ListedReplica> replicas;
    replicas.reserve (count);

    for (auto number = std::size_t { 0 }; number < count; ++number)
        replicas.push_back (listed ("r-" + std::to_string (number)));

    return replicas;
}

inline auto inputFor (const std::vector<std::uint64_t>& blocks) -> ChoiceInput
{
    ChoiceInput input;
    input.blocks = blocks;
    input.promptTokens = static_cast<double> (blocks.size()) * blockTokenEstimate;
    return input;
}

} // namespace snowrudder::tests
