#include "VersionRegistryLoop.h"

#include "../members/Membership.h"

#include <utility>

namespace snowrudder
{

namespace
{

/** Key of the state store. */
constexpr auto versionsKey = std::string_view ("snowrudder/versions");

/** How often a node checks whether it must read or write the registry. */
constexpr auto checkInterval = 100ms;

/** Pause before the write of a version that has come, so that not all readers write it at the same time. One that left is no
    hurry: the registry only keeps a name for longer.
*/
constexpr auto writeDelay = Duration (200ms);
constexpr auto pruneDelay = Duration (10s);

constexpr auto failurePause = 500ms;

/** Takes over what the store has. Nothing is concluded from a text that is not valid; a node that knows all versions by
    itself replaces it.
*/
auto applyItem (VersionRegistry& registry, const StoredItem& item, TimePoint readAt) -> void
{
    auto versions = parseVersions (item.value);

    if (! versions)
        LogLine ("version_registry_unreadable")
            .with ("revision", item.revision)
            .with ("bytes", item.value.size())
            .error();

    const auto isValid = versions.has_value();
    registry = { std::move (versions).value_or (VersionsByService()), item.revision, readAt, isValid };
}

/** @returns whether the store responded */
auto readRegistry (ServingState& state, const StateStore& store) -> Task<bool>
{
    const auto sentAt = BootClock::now();
    const auto read = co_await store.read (std::string (versionsKey), ReadFreshness::newest);

    if (! isConclusive (read.outcome))
        co_return false;

    auto& registry = state.versionRegistry;
    registry = {};
    registry.readAt = sentAt;

    for (const auto& item : read.items)
        if (item.revision > 0)
            applyItem (registry, item, sentAt);

    LogLine ("version_registry_read")
        .with ("services", registry.versions.size())
        .with ("revision", registry.revision)
        .info();
    co_return true;
}

/** @returns whether the store responded */
auto writeRegistry (ServingState& state, const StateStore& store) -> Task<bool>
{
    auto& registry = state.versionRegistry;
    const auto sentAt = BootClock::now();
    auto versions = state.versions.updated (registry.versions, sentAt);
    StoreTransaction transaction;
    transaction.conditions.push_back ({ std::string (versionsKey), registry.revision });
    transaction.puts.push_back ({ std::string (versionsKey), formatVersions (versions) });
    const auto result = co_await store.commit (std::move (transaction));

    if (! isConclusive (result.outcome))
        co_return false;

    if (result.outcome == StoreOutcome::done)
    {
        registry = { std::move (versions), result.revision, sentAt };
        LogLine ("version_registry_written")
            .with ("services", registry.versions.size())
            .with ("revision", registry.revision)
            .info();
        co_return true;
    }

    // Another node was first.
    for (const auto& item : result.items)
        applyItem (registry, item, sentAt);

    if (result.items.empty())
        registry = {};

    co_return true;
}

/** @returns whether the registry lacks a version that this node has seen */
auto lacksVersion (const VersionsByService& registered, const VersionsByService& seen) -> bool
{
    for (const auto& [service, versions] : seen)
    {
        const auto known = registered.find (service);

        for (const auto& version : versions)
            if (known == registered.end() || ! known->second.contains (version))
                return true;
    }

    return false;
}

} // namespace

auto keepVersionRegistry (ServingState& state, const StateStore& store) -> Task<void>
{
    for (;;)
    {
        co_await pauseFor (state.loop, checkInterval);
        const auto now = BootClock::now();

        if (! state.hasReplicas)
            continue;

        const auto isWriter = state.storeUpdates.isReader && state.sharing.members;

        if (state.versions.needsRegistry (state.versionRegistry, now))
        {
            // Hundreds of nodes that start together would read it at the same moment, and most never need it.
            if (! isWriter && ! state.versionRegistry.isWanted && ! state.versions.hasSeveralVersions())
                continue;

            if (! co_await readRegistry (state, store))
                co_await pauseFor (state.loop, jittered (failurePause));

            continue;
        }

        const auto isListCurrent = now - directoryProvenAt (state.storeUpdates) < storeUpdateAgeLimit;

        if (! isWriter || ! isListCurrent ||
            ! (state.versionRegistry.isValid || state.versions.isCovered (now)))
            continue;

        const auto isUpToDate = [&state]
        {
            return state.versions.updated (state.versionRegistry.versions, BootClock::now()) ==
                   state.versionRegistry.versions;
        };

        if (isUpToDate())
            continue;

        const auto updated = state.versions.updated (state.versionRegistry.versions, now);
        const auto isNew = lacksVersion (state.versionRegistry.versions, updated);
        co_await pauseFor (state.loop, std::chrono::duration_cast<Duration> (
                                           (isNew ? writeDelay : pruneDelay) * randomFraction()));

        if (! isUpToDate() && ! co_await writeRegistry (state, store))
            co_await pauseFor (state.loop, jittered (failurePause));
    }
}

} // namespace snowrudder
