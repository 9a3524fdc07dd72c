#include "RequestMemory.h"

#include <chrono>

namespace snowrudder
{

namespace
{

/** The memory of a machine that doesn't tell it. */
constexpr auto usualMachineBytes = std::size_t { 256 } * 1024 * 1024;

/** The part of the machine's memory that callers may make a process hold. The rest is for the process itself, its outgoing
    calls, the kernel's buffers and what the allocator keeps.
*/
constexpr auto requestShare = 0.4;

/** Bytes that are freed before the allocator is asked to return them. */
constexpr auto muchBytes = std::size_t { 8 } * 1024 * 1024;

/** @returns how much a request has held for how long: the one with the greatest weight makes room. */
auto weightOf (std::size_t bytes, Duration held) -> double
{
    constexpr auto leastSeconds = 0.001;
    return static_cast<double> (bytes) * (std::chrono::duration<double> (held).count() + leastSeconds);
}

} // namespace

auto requestMemoryBound (std::size_t machineBytes) -> std::size_t
{
    const auto total = machineBytes == 0 ? usualMachineBytes : machineBytes;
    return static_cast<std::size_t> (requestShare * static_cast<double> (total));
}

auto publish (const RequestMemory& memory, Metrics& metrics) -> void
{
    metrics.gauge ("snowrudder_request_memory_bytes").set (static_cast<std::int64_t> (memory.heldBytes()));
    metrics.gauge ("snowrudder_request_memory_limit_bytes")
        .set (static_cast<std::int64_t> (memory.maxBytes()));
    metrics.gauge ("snowrudder_requests_evicted").set (static_cast<std::int64_t> (memory.evictions()));
    metrics.gauge ("snowrudder_requests_without_memory").set (static_cast<std::int64_t> (memory.refusals()));
}

RequestMemory::Share::Share (RequestMemory& requestMemory, std::function<void()> onEvicted)
    : memory (requestMemory), entry (memory.entries.insert (memory.entries.end(), Entry {}))
{
    entry->onEvicted = std::move (onEvicted);
    memory.join (*entry, {});
}

RequestMemory::Share::~Share()
{
    memory.setIncomplete (*entry, false);
    memory.set (*entry, 0);
    memory.leave (*entry);
    memory.entries.erase (entry);
}

auto RequestMemory::Share::begin (const std::string& group, TimePoint now) -> void
{
    setGroup (group);
    entry->begun = now;
    memory.setIncomplete (*entry, true);
    entry->isEvicted = false;
}

auto RequestMemory::Share::end (std::size_t bytes) -> void
{
    complete();
    memory.set (*entry, bytes);
    setGroup ({});
}

auto RequestMemory::Share::setGroup (const std::string& group) -> void
{
    if (entry->group->first == group)
        return;

    const auto bytes = entry->bytes;
    const auto isIncomplete = entry->isIncomplete;
    memory.setIncomplete (*entry, false);
    memory.set (*entry, 0);
    memory.leave (*entry);
    memory.join (*entry, group);
    memory.set (*entry, bytes);
    memory.setIncomplete (*entry, isIncomplete);
}

auto RequestMemory::Share::hold (std::size_t bytes, TimePoint now) -> bool
{
    if (entry->isEvicted)
        return false;

    memory.set (*entry, bytes);

    while (memory.isOver (*entry))
    {
        const auto victim = memory.findVictim (*entry, now);

        if (victim == memory.entries.end() || victim == entry)
        {
            ++memory.refused;
            memory.set (*entry, 0);
            memory.setIncomplete (*entry, false);
            return false;
        }

        // Its bytes are freed as soon as the event loop resumes it.
        ++memory.evicted;
        memory.set (*victim, 0);
        memory.setIncomplete (*victim, false);
        victim->isEvicted = true;
        victim->onEvicted();
    }

    return true;
}

auto RequestMemory::Share::tryHold (std::size_t bytes) -> bool
{
    const auto before = entry->bytes;
    memory.set (*entry, bytes);

    if (bytes <= before || ! memory.isOver (*entry))
        return true;

    memory.set (*entry, before);
    return false;
}

auto RequestMemory::Share::bytes() const -> std::size_t
{
    return entry->bytes;
}

auto RequestMemory::Share::complete() -> void
{
    memory.setIncomplete (*entry, false);
}

auto RequestMemory::Share::isEvicted() const -> bool
{
    return entry->isEvicted;
}

auto RequestMemory::takeFreedMuch() -> bool
{
    if (peak < held + muchBytes)
        return false;

    peak = held;
    return true;
}

auto RequestMemory::set (Entry& entry, std::size_t bytes) -> void
{
    held = held - entry.bytes + bytes;
    auto& group = entry.group->second;
    group.bytes = group.bytes - entry.bytes + bytes;

    if (entry.isIncomplete)
        group.incompleteBytes = group.incompleteBytes - entry.bytes + bytes;

    entry.bytes = bytes;
    peak = std::max (peak, held);
}

auto RequestMemory::setIncomplete (Entry& entry, bool isIncomplete) -> void
{
    if (entry.isIncomplete == isIncomplete)
        return;

    entry.isIncomplete = isIncomplete;
    auto& bytes = entry.group->second.incompleteBytes;
    bytes = isIncomplete ? bytes + entry.bytes : bytes - entry.bytes;
}

auto RequestMemory::join (Entry& entry, const std::string& group) -> void
{
    entry.group = groups.try_emplace (group).first;
    ++entry.group->second.connections;
}

auto RequestMemory::leave (Entry& entry) -> void
{
    if (--entry.group->second.connections == 0)
        groups.erase (entry.group);
}

auto RequestMemory::isOver (const Entry& entry) const -> bool
{
    return held > limit || isGroupOver (entry);
}

auto RequestMemory::isGroupOver (const Entry& entry) const -> bool
{
    return ! entry.group->first.empty() && entry.group->second.bytes > groupLimit();
}

auto RequestMemory::findVictim (const Entry& wanting, TimePoint now) -> Entries::iterator
{
    const auto isOfGroup = isGroupOver (wanting);
    auto victim = entries.end();

    for (auto each = entries.begin(); each != entries.end(); ++each)
    {
        if (! each->isIncomplete || each->bytes == 0 || (isOfGroup && each->group != wanting.group))
            continue;

        const auto weigh = [now] (const Entry& entry) {
            return std::pair (entry.group->second.incompleteBytes, weightOf (entry.bytes, now - entry.begun));
        };

        if (victim == entries.end() || weigh (*each) > weigh (*victim))
            victim = each;
    }

    return victim;
}

} // namespace snowrudder
