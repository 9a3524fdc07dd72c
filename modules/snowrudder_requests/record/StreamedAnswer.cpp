#include "StreamedAnswer.h"

namespace snowrudder
{

auto StreamedAnswer::appendText (std::string_view piece) -> void
{
    allText += piece;
    events.push_back ({ static_cast<std::uint32_t> (allText.size()), false });
}

auto StreamedAnswer::appendChoice (std::string choice) -> void
{
    events.push_back ({ static_cast<std::uint32_t> (allChoices.size()), true });
    allChoices.push_back (std::move (choice));
}

auto StreamedAnswer::textBegin (std::size_t index) const -> std::size_t
{
    while (index > 0)
    {
        --index;

        if (! events[index].isChoice)
            return events[index].value;
    }

    return 0;
}

auto StreamedAnswer::write (const ChatWriter& writer,
                            std::size_t after,
                            std::size_t most,
                            std::string& target) const -> std::size_t
{
    auto index = after;
    auto begin = textBegin (after);
    const auto start = target.size();

    while (index < events.size() && target.size() - start < most)
    {
        const auto& event = events[index];
        ++index;

        if (event.isChoice)
        {
            writer.appendChoice (target, index, allChoices[event.value]);
            continue;
        }

        writer.appendText (target, index, std::string_view (allText).substr (begin, event.value - begin));
        begin = event.value;
    }

    return index;
}

auto StreamedAnswer::bytes() const -> std::size_t
{
    auto total = allText.capacity() + events.capacity() * sizeof (Event);

    for (const auto& choice : allChoices)
        total += choice.capacity();

    return total;
}

auto StreamedAnswer::eventCodes() const -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> codes;
    codes.reserve (events.size());

    for (const auto& event : events)
        codes.push_back (event.value * 2 + (event.isChoice ? 1 : 0));

    return codes;
}

auto StreamedAnswer::restore (std::string text,
                              const std::vector<std::uint32_t>& codes,
                              std::vector<std::string> choices) -> std::optional<StreamedAnswer>
{
    StreamedAnswer answer;
    auto textEnd = std::uint32_t { 0 };
    auto choiceCount = std::uint32_t { 0 };

    for (const auto code : codes)
    {
        const auto value = code / 2;
        const auto isChoice = code % 2 == 1;

        if (isChoice ? value != choiceCount : value < textEnd)
            return {};

        if (isChoice)
            ++choiceCount;
        else
            textEnd = value;

        answer.events.push_back ({ value, isChoice });
    }

    if (textEnd != text.size() || choiceCount != choices.size())
        return {};

    answer.allText = std::move (text);
    answer.allChoices = std::move (choices);
    return answer;
}

} // namespace snowrudder
