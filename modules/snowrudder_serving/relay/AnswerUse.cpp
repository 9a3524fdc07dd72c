#include "AnswerUse.h"

namespace snowrudder
{

namespace
{

constexpr auto statusOk = 200U;
constexpr auto serverErrors = 500U;

} // namespace

auto useOfAnswer (const AnswerUseInput& input) -> AnswerUse
{
    if (input.progress == CallerProgress::nothing)
    {
        // A caller would send the request again, which may have run.
        if (input.promisesNotRun && ! input.isRepeatable)
            return AnswerUse::discard;

        return input.status >= serverErrors && input.mayRunAgain ? AnswerUse::discard : AnswerUse::passOn;
    }

    // The caller has the head of the first answer: only what fits below it may follow.
    const auto isRestOfStream = mayGoOn (input.progress) && input.status == statusOk && input.hasEvents;
    return isRestOfStream ? AnswerUse::goOn : AnswerUse::discard;
}

auto toString (CallerProgress progress) -> std::string_view
{
    switch (progress)
    {
        case CallerProgress::head:
            return "head";
        case CallerProgress::events:
            return "events";
        case CallerProgress::partOfOther:
            return "part_of_other";
        case CallerProgress::nothing:
            break;
    }

    return "nothing";
}

} // namespace snowrudder
