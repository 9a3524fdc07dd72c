#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** Bytes of prompt text in one block. Routers know no engine's tokens, so blocks are cut by bytes. */
inline constexpr auto promptBlockBytes = std::size_t { 256 };

/** Blocks hashed of one prompt; what lies behind them does not steer the choice. */
inline constexpr auto maxPromptBlocks = std::size_t { 512 };

/** Bytes of text that make one token, as an estimate. */
inline constexpr auto bytesPerToken = std::size_t { 6 };

/** Tokens in one block, as an estimate. */
inline constexpr auto blockTokenEstimate = static_cast<double> (promptBlockBytes) / bytesPerToken;

/** @returns the hash of each whole block of a prompt, each depending on all text before its end.

    @param prompt   as promptText() gives it
    @param account  salts the hashes: no client account's prompts meet another's
*/
auto promptBlocks (std::string_view prompt, std::string_view account) -> std::vector<std::uint64_t>;

/** @returns a prompt's length in tokens, as an estimate. */
inline auto estimateTokens (std::size_t bytes) -> double
{
    return static_cast<double> (bytes) / bytesPerToken;
}

} // namespace snowrudder
