#include "RoutedChoice.h"

namespace snowrudder
{

namespace
{

/** Prompts are read in pieces of 4,096 tokens, some 64 ms each and twice that deep in a long one; an event of a stream waits
    for five to eight of them, and may pause for 500 to 600 ms.
*/
constexpr auto longPromptTokens = 16000.0;

/** Of the replicas, those for long prompts: enough that one of them is idle as a rule. A long prompt begins 7 to 10 times a
    second before 60 replicas, and runs for 2 s.
*/
constexpr auto longPromptShare = 0.25;

/** A stream that runs beside a long prompt comes late: worth more than the tokens that its replica may have cached. */
constexpr auto longPromptInterference = 8000.0;

} // namespace

auto promptOf (const CallerRequest& caller) -> RoutedPrompt
{
    RoutedPrompt prompt;
    prompt.tokens = caller.promptTokens;

    for (const auto& part : caller.parts)
    {
        prompt.blocks.push_back (part.chain);
        prompt.blockTokens.push_back (part.tokensSoFar);
    }

    return prompt;
}

auto choiceInput (const RoutedPrompt& prompt,
                  std::span<const ReplicaNumber> tried,
                  std::size_t routers,
                  std::uint64_t draw) -> ChoiceInput
{
    ChoiceInput input;
    input.blocks = prompt.blocks;
    input.blockTokens = prompt.blockTokens;
    input.promptTokens = prompt.tokens;
    input.tried = tried;
    input.routers = routers;
    input.draw = draw;
    input.anchorBlock = prompt.sharedBlock();
    input.ownTokens = prompt.ownTokens();
    return input;
}

auto routedWeights() -> ChoiceWeights
{
    ChoiceWeights weights;
    weights.longPromptThreshold = longPromptTokens;
    weights.longPromptShare = longPromptShare;
    weights.longPromptInterference = longPromptInterference;
    return weights;
}

} // namespace snowrudder
