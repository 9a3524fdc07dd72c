#include "EngineModel.h"

#include "AnswerText.h"
#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>

namespace snowrudder
{

auto EngineModel::submit (EngineRequest request) -> bool
{
    if (waitingCount >= limits.queueLimit)
    {
        ++totals.refused;
        return false;
    }

    ++totals.requests;
    ++waitingCount;
    queues[request.priority].push_back (std::move (request));
    return true;
}

auto EngineModel::cancel (std::uint64_t id) -> void
{
    const auto hasId = [id] (const auto& entry) { return entry.id == id; };

    for (auto& [priority, queue] : queues)
    {
        const auto removed = std::erase_if (queue, hasId);
        waitingCount -= static_cast<std::uint32_t> (removed);
        totals.cancelled += removed;
    }

    const auto slot = std::ranges::find_if (slots, hasId, &Slot::request);

    if (slot == slots.end())
        return;

    ++totals.cancelled;
    release (*slot);
    slots.erase (slot);
}

auto EngineModel::step() -> std::vector<EngineStep>
{
    admit();
    computePrompts();

    std::vector<EngineStep> steps;

    for (auto& slot : slots)
        if (slot.uncomputed == 0)
            steps.push_back (generate (slot));

    std::erase_if (slots, [] (const auto& slot) { return slot.position >= slot.request.lastPosition; });
    return steps;
}

auto EngineModel::pendingPromptTokens() const -> std::uint64_t
{
    auto pending = std::uint64_t { 0 };

    for (const auto& slot : slots)
        pending += slot.uncomputed;

    for (const auto& [priority, queue] : queues)
        for (const auto& request : queue)
            pending += request.promptTokens.size();

    return pending;
}

auto EngineModel::exportBlocks (std::uint64_t id) const -> std::vector<std::uint64_t>
{
    for (const auto& slot : slots)
        if (slot.request.id == id && slot.uncomputed == 0)
            return slot.chain.blocks;

    return {};
}

auto EngineModel::importBlocks (const std::vector<std::uint64_t>& blocks) -> void
{
    cache.store (blocks);
}

auto EngineModel::admit() -> void
{
    for (auto& [priority, queue] : queues)
    {
        while (! queue.empty() && slots.size() < limits.slots)
        {
            Slot slot;
            slot.request = std::move (queue.front());
            queue.pop_front();
            --waitingCount;

            slot.chain = makeChain (slot.request.promptTokens, limits.blockTokens, slot.request.cacheSalt);
            slot.promptTokens = static_cast<std::uint32_t> (slot.request.promptTokens.size());
            slot.request.promptTokens = {};
            slot.position = slot.request.firstPosition;

            const auto cachedBlocks = cache.countCached (slot.chain.blocks);
            const auto cached = static_cast<std::uint32_t> (cachedBlocks) * limits.blockTokens;

            // The last prompt token is always computed, as its computation yields the first answer token.
            slot.cachedTokens = std::min (cached, slot.promptTokens > 0 ? slot.promptTokens - 1 : 0);
            slot.uncomputed = slot.promptTokens - slot.cachedTokens;

            totals.computedPromptTokens += slot.uncomputed;
            totals.cachedPromptTokens += slot.cachedTokens;

            pinBlocks (slot, cachedBlocks);
            slots.push_back (std::move (slot));
        }
    }
}

auto EngineModel::computePrompts() -> void
{
    auto budget = limits.prefillTokensPerStep;

    for (auto& slot : slots)
    {
        if (slot.uncomputed == 0 || budget == 0)
            continue;

        const auto computed = std::min (slot.uncomputed, budget);
        slot.uncomputed -= computed;
        budget -= computed;

        if (slot.uncomputed == 0)
            pinBlocks (slot, slot.chain.blocks.size());
    }
}

auto EngineModel::generate (Slot& slot) -> EngineStep
{
    EngineStep step;
    step.id = slot.request.id;
    step.text = answerWord (slot.request.seed, slot.position);

    slot.chain.add (wordHashes (step.text).front(), limits.blockTokens);

    if (slot.chain.blocks.size() > slot.pinnedBlocks)
        pinBlocks (slot, slot.chain.blocks.size());

    ++slot.position;
    ++totals.generatedTokens;

    step.promptTokens = slot.promptTokens;
    step.cachedTokens = slot.cachedTokens;
    step.completionTokens = slot.position - slot.request.firstPosition;
    step.finished = slot.position >= slot.request.lastPosition;

    if (step.finished)
        release (slot);

    return step;
}

auto EngineModel::pinBlocks (Slot& slot, std::size_t count) -> void
{
    const auto blocks = std::span (slot.chain.blocks).first (count);
    cache.store (blocks);
    cache.pin (blocks.subspan (slot.pinnedBlocks));
    slot.pinnedBlocks = count;
}

auto EngineModel::release (const Slot& slot) -> void
{
    cache.unpin (std::span (slot.chain.blocks).first (slot.pinnedBlocks));
}

} // namespace snowrudder
