#include "RoutedPrompt.h"

namespace snowrudder
{

namespace
{

/** Tokens from which a prompt counts as long. Replicas process prompts in chunks of 4,096 tokens, at about 64 ms per
    chunk and twice that towards the end of a long prompt. An event of a stream on the same replica waits for five to
    eight chunks, so the stream may pause for 500 to 600 ms.
*/
constexpr auto longPromptTokens = 16000.0;

/** The share of replicas that take long prompts: large enough that one of them is usually idle. With 60 replicas,
    7 to 10 long prompts start per second, and each runs for 2 s.
*/
constexpr auto longPromptShare = 0.25;

/** Selection cost, in tokens, of each request that already runs on a replica when a long prompt is sent there. It
    outweighs the tokens that the replica may have cached, since a stream on the same replica is delayed while the
    prompt is processed.
*/
constexpr auto longPromptInterference = 8000.0;

} // namespace

auto promptOf (const CallerRequest& caller) -> RoutedPrompt
{
    RoutedPrompt prompt;
    prompt.tokens = caller.promptTokens;

    for (const auto& part : caller.parts)
    {
        prompt.blocks.push_back (part.prefixHash);
        prompt.blockTokens.push_back (part.prefixTokens);
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
