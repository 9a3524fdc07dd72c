#pragma once

#include "load_settings.pb.h"

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace snowrudder
{

/** One request to make and its expected answer. */
struct PlannedRequest
{
    const schema::WorkloadClass* kind = nullptr;
    std::size_t classIndex = 0;
    /** The body to send. */
    std::string body;
    /** The text that the answer to a chat completion must have. */
    std::string expectedText;
    /** The block hashes and the length of a chat's prompt, from which the minimum of computed tokens is derived. */
    std::vector<std::uint64_t> promptBlocks;
    std::uint32_t promptWords = 0;
    /** Identifies a call, so that the service can count its runs. */
    std::string callKey;
};

/** Draws requests and the intervals between them. The same seed always gives the same requests. */
class RequestSource
{
public:
    /** @param workload   must outlive the source
        @param streamSeed combined with the workload's seed; different for each thread
        @param rateFactor multiplies the rate of each class
    */
    RequestSource (const schema::LoadSettings& workload, std::uint64_t streamSeed, double rateFactor);

    /** @returns the interval until the next request. */
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
