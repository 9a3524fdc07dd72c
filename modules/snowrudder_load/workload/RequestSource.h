#pragma once

#include "load_settings.pb.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace snowrudder
{

/** One request to make, and what must come of it. */
struct PlannedRequest
{
    const schema::WorkloadClass* kind = nullptr;
    std::size_t classIndex = 0;
    /** The body to send. */
    std::string body;
    /** The text that a chat completion must bring. */
    std::string expectedText;
    /** Block hashes and length of a chat's prompt, for the lower bound of computed tokens. */
    std::vector<std::uint64_t> promptBlocks;
    std::uint32_t promptWords = 0;
    /** Names a call, so that its runs can be counted at the service. */
    std::string callKey;
};

/** Draws requests and the times between them. The same seed draws the same requests. */
class RequestSource
{
public:
    /** @param workload   must outlive the source
        @param streamSeed added to the workload's seed, one a thread
        @param rateFactor multiplies every class's rate
    */
    RequestSource (const schema::LoadSettings& workload, std::uint64_t streamSeed, double rateFactor);

    /** @returns the time until the next request. */
    auto nextInterval() -> Duration;

    /** @returns the next request. */
    auto next() -> PlannedRequest;

private:
    auto planChat (PlannedRequest& planned) -> void;
    auto planCall (PlannedRequest& planned) -> void;
    auto drawDocument (std::uint32_t count) -> std::uint32_t;

    const schema::LoadSettings& settings;
    std::uint64_t seed;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> classes;
    double totalRate = 0.0;
    std::uint64_t planned = 0;
};

/** Tokens in a block of the fake engine's cache. */
inline constexpr auto engineBlockTokens = std::uint32_t { 16 };

} // namespace snowrudder
