#include "AnswerText.h"

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto lettersPerWord = 5;
constexpr auto letterCount = std::uint64_t { 26 };
constexpr auto minAnswerWords = std::uint32_t { 24 };
constexpr auto answerLengthRange = std::uint32_t { 489 };

template <typename Visitor>
auto forEachWord (std::string_view text, Visitor&& visit) -> void
{
    constexpr auto whitespace = std::string_view (" \n\t\r");
    auto start = text.find_first_not_of (whitespace);

    while (start != std::string_view::npos)
    {
        const auto end = text.find_first_of (whitespace, start);
        visit (text.substr (start, end - start));
        start = text.find_first_not_of (whitespace, end);
    }
}

} // namespace

auto wordHashes (std::string_view text) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> hashes;
    forEachWord (text, [&] (std::string_view word) { hashes.push_back (hashBytes (word)); });
    return hashes;
}

auto countWords (std::string_view text) -> std::uint32_t
{
    auto count = std::uint32_t { 0 };
    forEachWord (text, [&] (std::string_view) { ++count; });
    return count;
}

auto answerSeed (std::string_view model, std::string_view prompt) -> std::uint64_t
{
    return combineHashes (hashBytes (model), hashBytes (prompt));
}

auto answerWord (std::uint64_t seed, std::uint32_t position) -> std::string
{
    auto bits = combineHashes (seed, position);
    std::string word = position == 0 ? "" : " ";

    for (auto letter = 0; letter < lettersPerWord; ++letter)
    {
        word += static_cast<char> ('a' + bits % letterCount);
        bits /= letterCount;
    }

    return word;
}

auto answerLength (std::uint64_t seed) -> std::uint32_t
{
    return minAnswerWords + static_cast<std::uint32_t> (seed % answerLengthRange);
}

auto expectedAnswer (std::uint64_t seed, std::uint32_t maxTokens) -> std::string
{
    auto length = answerLength (seed);

    if (maxTokens > 0)
        length = std::min (length, maxTokens);

    std::string text;

    for (auto position = std::uint32_t { 0 }; position < length; ++position)
        text += answerWord (seed, position);

    return text;
}

} // namespace snowrudder
