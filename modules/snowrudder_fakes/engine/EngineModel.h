#pragma once

#include "PrefixCache.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** The size and the speed of an engine. */
struct EngineLimits
{
    std::uint32_t slots = 16;
    std::uint32_t cacheBlocks = 4096;
    std::uint32_t blockTokens = 16;
    /** The number of prompt tokens computed in each step, over all slots. */
    std::uint32_t prefillTokensPerStep = 512;
    std::uint32_t queueLimit = 256;
};

/** One request to an engine. */
struct EngineRequest
{
    std::uint64_t id = 0;
    /** The hash of each prompt token, including those of an answer that is being continued. */
    std::vector<std::uint64_t> promptTokens;
    /** Separates the cached blocks of different client accounts. */
    std::uint64_t cacheSalt = 0;
    /** Determines the answer; see answerSeed(). */
    std::uint64_t seed = 0;
    /** The number of answer tokens that the prompt already contains. */
    std::uint32_t firstPosition = 0;
    /** The position at which the answer ends. */
    std::uint32_t lastPosition = 0;
    std::uint32_t priority = 5;
};

/** The result of one step for one request. */
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

/** A model of an engine that works in steps: continuous batching in slots, a prompt-prefix cache of limited size,
    priorities. It reads no clock and does no input or output: the HTTP server steps it in real time, benchmarks and
    randomised tests step it in virtual time.
*/
class EngineModel
{
public:
    explicit EngineModel (const EngineLimits& engineLimits)
        : limits (engineLimits), cache (engineLimits.cacheBlocks)
    {
    }

    /** Adds a request to the queue.

        @returns false when the queue is full; the request is never run then
    */
    auto submit (EngineRequest request) -> bool;

    /** Cancels a queued or running request. Its computed blocks stay in the cache. */
    auto cancel (std::uint64_t id) -> void;

    /** Performs one step: moves requests from the queue into free slots, computes prompts, and generates one token for
        each answer whose prompt is computed.
    */
    auto step() -> std::vector<EngineStep>;

    [[nodiscard]] auto running() const -> std::uint32_t { return static_cast<std::uint32_t> (slots.size()); }
    [[nodiscard]] auto waiting() const -> std::uint32_t { return waitingCount; }
    [[nodiscard]] auto isIdle() const -> bool { return slots.empty() && waitingCount == 0; }
    [[nodiscard]] auto counts() const -> const EngineCounts& { return totals; }

    /** @returns the number of prompt tokens of all requests that are not yet computed. */
    [[nodiscard]] auto pendingPromptTokens() const -> std::uint64_t;

    /** @returns the hashes of a request's blocks, which another engine can import; empty while its prompt is not yet
        computed.
    */
    [[nodiscard]] auto exportBlocks (std::uint64_t id) const -> std::vector<std::uint64_t>;

    /** Stores the blocks of another engine in the cache. */
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
        /** The number of leading blocks that this slot has pinned in the cache. */
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
