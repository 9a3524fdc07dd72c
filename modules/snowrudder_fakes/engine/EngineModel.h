#pragma once

#include "PrefixCache.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** An engine's size and speed. */
struct EngineLimits
{
    std::uint32_t slots = 16;
    std::uint32_t cacheBlocks = 4096;
    std::uint32_t blockTokens = 16;
    /** Prompt tokens computed a step, all slots together. */
    std::uint32_t prefillTokensPerStep = 512;
    std::uint32_t queueLimit = 256;
};

/** One request to an engine. */
struct EngineRequest
{
    std::uint64_t id = 0;
    /** Hash of each prompt token, the resumed part of an answer included. */
    std::vector<std::uint64_t> promptTokens;
    /** Keeps the caches of different client accounts apart. */
    std::uint64_t cacheSalt = 0;
    /** What the answer follows from. */
    std::uint64_t seed = 0;
    /** Tokens of the answer that the prompt holds already. */
    std::uint32_t firstPosition = 0;
    /** Position at which the answer ends. */
    std::uint32_t lastPosition = 0;
    std::uint32_t priority = 5;
};

/** What a step did for one request. */
struct EngineStep
{
    std::uint64_t id = 0;
    std::string text;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t completionTokens = 0;
    bool finished = false;
};

/** Counts since the start. */
struct EngineCounts
{
    std::uint64_t requests = 0;
    std::uint64_t computedPromptTokens = 0;
    std::uint64_t cachedPromptTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
};

/** A model engine's work over steps: continuous batching in slots, a prompt-prefix cache with limited memory,
    priorities. It reads no clock and does no input or output: the HTTP face steps it in real time, benchmarks and
    randomised runs step it in virtual time.
*/
class EngineModel
{
public:
    explicit EngineModel (const EngineLimits& engineLimits)
        : limits (engineLimits), cache (engineLimits.cacheBlocks)
    {
    }

    /** Takes a request into the queue.

        @returns false when the queue is full: the request was not run and never will be
    */
    auto submit (EngineRequest request) -> bool;

    /** Drops a request. Its computed blocks stay cached. */
    auto cancel (std::uint64_t id) -> void;

    /** Does one step: admits, computes prompts, and adds one token to each running answer. */
    auto step() -> std::vector<EngineStep>;

    [[nodiscard]] auto running() const -> std::uint32_t { return static_cast<std::uint32_t> (slots.size()); }
    [[nodiscard]] auto waiting() const -> std::uint32_t { return waitingCount; }
    [[nodiscard]] auto isIdle() const -> bool { return slots.empty() && waitingCount == 0; }
    [[nodiscard]] auto counts() const -> const EngineCounts& { return totals; }

    /** @returns prompt tokens not yet computed, over all requests. */
    [[nodiscard]] auto pendingPromptTokens() const -> std::uint64_t;

    /** @returns the block hashes that a request has computed so far, for another engine to import. */
    [[nodiscard]] auto exportBlocks (std::uint64_t id) const -> std::vector<std::uint64_t>;

    /** Takes another engine's blocks into the cache. */
    auto importBlocks (const std::vector<std::uint64_t>& blocks) -> void;

    [[nodiscard]] auto prefixCache() -> PrefixCache& { return cache; }

private:
    struct Slot
    {
        EngineRequest request;
        BlockChain chain;
        std::uint32_t promptTokens = 0;
        std::uint32_t cachedTokens = 0;
        std::uint32_t uncomputed = 0;
        std::uint32_t position = 0;
        /** Leading blocks that this slot holds in the cache. */
        std::size_t pinnedBlocks = 0;
    };

    auto admit() -> void;
    auto computePrompts() -> void;
    auto generate (Slot& slot) -> EngineStep;
    auto pinBlocks (Slot& slot, std::size_t count) -> void;
    auto release (const Slot& slot) -> void;

    EngineLimits limits;
    PrefixCache cache;
    std::map<std::uint32_t, std::deque<EngineRequest>> queues;
    std::uint32_t waitingCount = 0;
    std::vector<Slot> slots;
    EngineCounts totals;
};

} // namespace snowrudder
