#include "VersionHistory.h"

#include <algorithm>

namespace snowrudder
{

auto VersionHistory::apply (const ListChanges& changes, TimePoint now) -> void
{
    for (const auto& name : changes.removed)
        remove (name, now);

    for (const auto& [info, isLeaving] : changes.changed)
    {
        remove (info.name, now);

        if (const auto before = left.find (info.name); before != left.end())
        {
            if (before->second.second != info.version)
                changed[shortReplicaHash (info.name)] = now;

            left.erase (before);
        }

        auto& versions = services[info.service];
        auto& version = versions.try_emplace (info.version, SeenVersion { now, {}, 0, 0 }).first->second;
        version.goneAt.reset();
        ++version.listed;
        version.active += isLeaving ? 0 : 1;
        replicas[info.name] = { { info.service, info.version }, isLeaving };
    }
}

auto VersionHistory::remove (const std::string& name, TimePoint now) -> void
{
    const auto known = replicas.find (name);

    if (known == replicas.end())
        return;

    auto& version = services[known->second.of.service][known->second.of.version];
    version.active -= known->second.isLeaving ? 0 : 1;

    if (--version.listed == 0)
        version.goneAt = now;

    left[name] = { now, known->second.of.version };
    replicas.erase (known);
}

auto VersionHistory::wasLastListedWith (std::string_view name, std::string_view version) const -> bool
{
    if (const auto known = replicas.find (name); known != replicas.end())
        return known->second.of.version == version;

    const auto before = left.find (name);
    return before != left.end() && before->second.second == version;
}

auto VersionHistory::removeExpired (TimePoint now) -> void
{
    const auto isOld = [now] (TimePoint time) { return now - time > streamMemory; };

    for (auto& [service, versions] : services)
        std::erase_if (versions, [&isOld] (const auto& seen)
                       { return seen.second.goneAt && isOld (*seen.second.goneAt); });

    std::erase_if (services, [] (const auto& service) { return service.second.empty(); });
    std::erase_if (changed, [&isOld] (const auto& change) { return isOld (change.second); });
    std::erase_if (left, [&isOld] (const auto& replica) { return isOld (replica.second.first); });
}

auto VersionHistory::find (std::uint32_t wanted, const std::vector<std::string>& among) const
    -> std::optional<ServiceVersion>
{
    for (const auto& service : among)
        if (const auto known = services.find (service); known != services.end())
            for (const auto& [version, state] : known->second)
                if (versionHash (service, version) == wanted)
                    return ServiceVersion { service, version };

    return {};
}

auto VersionHistory::seen (std::string_view service, std::string_view version) const -> const SeenVersion*
{
    const auto known = services.find (service);

    if (known == services.end())
        return nullptr;

    const auto found = known->second.find (version);
    return found == known->second.end() ? nullptr : &found->second;
}

auto VersionHistory::replicaCount (const ServiceVersion& wanted) const -> std::size_t
{
    const auto* version = seen (wanted.service, wanted.version);
    return version == nullptr ? 0 : version->active;
}

auto VersionHistory::onlyVersion (std::string_view service,
                                  const VersionRegistry& registry,
                                  TimePoint provenAt,
                                  TimePoint now) const -> std::optional<std::string>
{
    const auto known = services.find (service);

    if (known == services.end() || known->second.size() != 1 || now - provenAt >= newVersionDelay)
        return {};

    const auto& version = known->second.begin()->first;

    if (isCovered (now))
        return version;

    if (completeSince == TimePoint::max() || needsRegistry (registry, now) || ! registry.isValid)
        return {};

    const auto registered = registry.versions.find (service);
    const auto isOther = [&version] (const std::string& other) { return other != version; };

    if (registered != registry.versions.end() && std::ranges::any_of (registered->second, isOther))
        return {};

    return version;
}

auto VersionHistory::heldBack (std::string_view service, const VersionRegistry& registry, TimePoint now) const
    -> std::vector<std::string>
{
    std::vector<std::string> held;
    const auto known = services.find (service);

    if (known == services.end() || known->second.size() < 2)
        return held;

    const auto registered = registry.versions.find (service);
    const auto first =
        std::ranges::min_element (known->second, {},
                                  [] (const auto& seenVersion) { return seenVersion.second.firstSeen; })
            ->second.firstSeen;

    for (const auto& [version, state] : known->second)
    {
        // A node that has just started sees all versions for the first time; those in the registry are not new.
        const auto isRegistered =
            registered != registry.versions.end() && registered->second.contains (version);
        const auto isFirst = state.firstSeen == first && registry.readAt &&
                             (registered == registry.versions.end() || isRegistered);

        if (! isFirst && now - state.firstSeen < newVersionDelay)
            held.push_back (version);
    }

    // Streams are not refused for the sake of a version that takes none.
    const auto takesStreams = [&held] (const auto& seenVersion)
    { return seenVersion.second.active > 0 && std::ranges::find (held, seenVersion.first) == held.end(); };

    if (registry.readAt && std::ranges::none_of (known->second, takesStreams))
        held.clear();

    return held;
}

auto VersionHistory::hasSeveralVersions() const -> bool
{
    return std::ranges::any_of (services, [] (const auto& service) { return service.second.size() > 1; });
}

auto VersionHistory::hasChangedVersion (std::uint16_t replica, TimePoint now) const -> bool
{
    const auto found = changed.find (replica);
    return found != changed.end() && now - found->second <= streamMemory;
}

auto VersionHistory::updated (const VersionsByService& registered, TimePoint now) const -> VersionsByService
{
    VersionsByService versions;

    // What this node has not followed for long enough stays registered.
    if (! isCovered (now))
        versions = registered;

    for (const auto& [service, seenVersions] : services)
        for (const auto& [version, state] : seenVersions)
            if (! state.goneAt || now - *state.goneAt <= streamMemory)
                versions[service].insert (version);

    return versions;
}

} // namespace snowrudder
