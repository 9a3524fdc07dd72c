#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Bytes of prompt text in one block. Blocks are measured in bytes because routers have no access to the engines'
    tokenizers.
*/
inline constexpr auto promptBlockBytes = std::size_t { 256 };

/** Maximum number of blocks hashed per prompt; text behind them does not affect the choice. */
inline constexpr auto maxPromptBlocks = std::size_t { 512 };

/** Estimated bytes of text per token. */
inline constexpr auto bytesPerToken = std::size_t { 6 };

/** Estimated tokens per block. */
inline constexpr auto blockTokenEstimate = static_cast<double> (promptBlockBytes) / bytesPerToken;

/** @returns the hash of each whole block of a prompt. Each hash covers all text up to the end of its block.

    @param prompt   from promptText()
    @param account  salts the hashes, so that the prompts of different client accounts never match
*/
auto promptBlocks (std::string_view prompt, std::string_view account) -> std::vector<std::uint64_t>;

/** @returns the estimated length of a prompt in tokens. */
inline auto estimateTokens (std::size_t bytes) -> double
{
    return static_cast<double> (bytes) / bytesPerToken;
}

} // namespace snowrudder
