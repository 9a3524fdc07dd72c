#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** The tokens of the fake engine are words. Its answer is determined by the model and the prompt alone, so that a client
    can check each answer against its request, whichever engine generated it.
*/

/** @returns the hash of each word of a text, in order. */
auto wordHashes (std::string_view text) -> std::vector<std::uint64_t>;

/** @returns the number of words in a text. */
auto countWords (std::string_view text) -> std::uint32_t;

/** @returns the seed that determines the answer to a prompt.

    @param prompt  the prompt as returned by promptText()
*/
auto answerSeed (std::string_view model, std::string_view prompt) -> std::uint64_t;

/** @returns an answer's word at a position, with a leading space unless it is the first. */
auto answerWord (std::uint64_t seed, std::uint32_t position) -> std::string;

/** @returns the number of words in an answer that no limit truncates. */
auto answerLength (std::uint64_t seed) -> std::uint32_t;

/** @returns the complete answer that a client must receive.

    @param maxTokens  0 for no limit
*/
auto expectedAnswer (std::uint64_t seed, std::uint32_t maxTokens) -> std::string;

} // namespace snowrudder
