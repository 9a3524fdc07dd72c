#pragma once

#include "../request/RoutedRequest.h"

#include "snowrudder_routing/snowrudder_routing.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace snowrudder
{

/** A request's prompt as the choice of a replica looks at it. */
struct RoutedPrompt
{
    /** Hash of each part and all before it, and the tokens up to its end. */
    std::vector<std::uint64_t> blocks;
    std::vector<double> blockTokens;
    double tokens = 0.0;

    /** @returns the block whose hash the ranking of replicas is made for: the last that several requests share. The last part
        belongs to one session. Nothing where no part is shared.
    */
    [[nodiscard]] auto sharedBlock() const -> std::optional<std::size_t>
    {
        constexpr auto ownParts = std::size_t { 2 };
        return blocks.size() >= ownParts ? std::optional (blocks.size() - ownParts) : std::nullopt;
    }

    /** @returns tokens of the last part. */
    [[nodiscard]] auto ownTokens() const -> double
    {
        const auto shared = sharedBlock();
        return shared ? tokens - blockTokens[*shared] : 0.0;
    }
};

auto promptOf (const CallerRequest& caller) -> RoutedPrompt;

/** @returns what the choice needs to know of a request; it refers to the prompt and to the replicas tried.

    @param routers  that send to the same replicas
    @param draw     a random number
*/
auto choiceInput (const RoutedPrompt& prompt,
                  std::span<const ReplicaNumber> tried,
                  std::size_t routers,
                  std::uint64_t draw) -> ChoiceInput;

/** @returns the weights of the choice for requests that are routed by host and path. */
auto routedWeights() -> ChoiceWeights;

} // namespace snowrudder
