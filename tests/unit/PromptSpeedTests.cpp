#include "snowrudder_routing/snowrudder_routing.h"

#include <catch2/catch.hpp>

#include <random>

using namespace snowrudder;

namespace
{

/** Feeds an estimate with simulated answers: the shared tokens are cached in three of four cases, half of the prompts
    wait behind others, and one of ten answers is slow.
*/
auto estimateFrom (double tokensPerMillisecond, std::uint64_t seed, int answers) -> PromptSpeed
{
    constexpr auto beginMilliseconds = 30.0;
    constexpr auto meanTokens = 4'000.0;
    constexpr auto sharedTokens = 3'000.0;
    PromptSpeed estimate;
    std::mt19937_64 random (seed);
    std::lognormal_distribution<double> sizes (std::log (meanTokens) - 0.5, 1.0);
    std::uniform_real_distribution<double> draw (0.0, 1.0);
    std::exponential_distribution<double> queued (1.0 / 8'000.0);

    for (; answers > 0; --answers)
    {
        const auto own = sizes (random);
        const auto isCached = draw (random) < 0.75;
        const auto before = draw (random) < 0.5 ? queued (random) : 0.0;
        const auto isSlow = draw (random) < 0.1;
        const auto computeTime = (own + (isCached ? 0.0 : sharedTokens) + before) / tokensPerMillisecond;
        const auto milliseconds = (beginMilliseconds + computeTime) * (isSlow ? 4.0 : 1.0);
        estimate.record (own, std::chrono::duration_cast<Duration> (
                                  std::chrono::duration<double, std::milli> (milliseconds)));
    }

    return estimate;
}

} // namespace

TEST_CASE ("the prompt speed is estimated from answers, in spite of queues and uncached tokens")
{
    constexpr auto tolerance = 0.12;

    for (const auto truth : { 20.0, 64.0, 157.0, 400.0 })
        for (auto seed = std::uint64_t { 1 }; seed <= 5; ++seed)
        {
            const auto estimate = estimateFrom (truth, seed, 200).tokensPerMillisecond();
            INFO ("truth " << truth << ", seed " << seed << ", estimate " << estimate.value_or (0.0));
            REQUIRE (estimate);
            CHECK (*estimate == Approx (truth).epsilon (tolerance));
        }
}

TEST_CASE ("few answers, or prompts without unshared tokens, give no estimate of the prompt speed")
{
    CHECK_FALSE (estimateFrom (157.0, 1, 5).tokensPerMillisecond());

    PromptSpeed estimate;

    for (auto count = 0; count < 100; ++count)
        estimate.record (0.0, std::chrono::milliseconds (50 + count));

    CHECK_FALSE (estimate.tokensPerMillisecond());
}

TEST_CASE ("announced prompts count as pending for as long as the estimated speed takes to compute them")
{
    const auto start = TimePoint (1h);
    ReplicaTable table;
    ReplicaInfo info;
    info.name = "replica-1";
    info.service = "model";
    table.update ({ { info, false } }, start);
    constexpr auto own = 16'000.0;

    for (auto count = 0; count < 20; ++count)
    {
        table.recordWait ("model", 100.0, 30ms);
        table.recordWait ("model", own, 30ms + 100ms);
    }

    REQUIRE (table.promptSpeed ("model"));
    CHECK (*table.promptSpeed ("model") == Approx (160.0).epsilon (0.01));

    table.recordAnnouncedPrompt (replicaHash ("replica-1"), own, start);
    table.forEach (
        [&] (const ReplicaState& replica)
        {
            CHECK (estimatedPendingTokens (replica, start + 50ms) == Approx (own / 2.0).epsilon (0.01));
            CHECK (estimatedPendingTokens (replica, start + 101ms) == 0.0);
        });
}
