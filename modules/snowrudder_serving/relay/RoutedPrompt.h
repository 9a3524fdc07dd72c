#pragma once

#include "../request/RoutedRequest.h"

#include "snowrudder_routing/snowrudder_routing.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace snowrudder
{

/** The properties of a request's prompt that replica selection uses. */
struct RoutedPrompt
{
    /** For each part of the prompt, the hash of the prompt up to the part's end. */
    std::vector<std::uint64_t> blocks;
    /** For each part of the prompt, the number of tokens up to the part's end. */
    std::vector<double> blockTokens;
    double tokens = 0.0;

    /** @returns the index of the block by whose hash replicas are ranked: the last one that several requests share.
        The last part of a prompt belongs to a single session. Empty if no part is shared.
    */
    [[nodiscard]] auto sharedBlock() const -> std::optional<std::size_t>
    {
        constexpr auto ownParts = std::size_t { 2 };
        return blocks.size() >= ownParts ? std::optional (blocks.size() - ownParts) : std::nullopt;
    }

    /** @returns the number of tokens in the last part, which is not shared; 0 if no part is shared. */
    [[nodiscard]] auto ownTokens() const -> double
    {
        const auto shared = sharedBlock();
        return shared ? tokens - blockTokens[*shared] : 0.0;
    }
};

/** @returns the prompt of a request, as the face decoded it. */
auto promptOf (const CallerRequest& caller) -> RoutedPrompt;

/** @returns the input of replica selection for a request. It holds references to `prompt` and `tried`.

    @param tried    replicas on which the request was attempted already
    @param routers  number of nodes that send to the same replicas
    @param draw     a random number
*/
auto choiceInput (const RoutedPrompt& prompt,
                  std::span<const ReplicaNumber> tried,
                  std::size_t routers,
                  std::uint64_t draw) -> ChoiceInput;

/** @returns the weights of replica selection for requests that are routed by host and path. */
auto routedWeights() -> ChoiceWeights;

} // namespace snowrudder
