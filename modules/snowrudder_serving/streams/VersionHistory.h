#pragma once

#include "../directory/ReplicaDirectory.h"
#include "StreamOrigin.h"
#include "VersionRegistry.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** How long a version that is new to its service gets no new streams. Nodes that have not heard of it yet believe that the
    older one is the only one, but rely on that only while their list of replicas is younger than this.
*/
inline constexpr auto newVersionDelay = Duration (1500ms);

/** A software version of a service. */
struct ServiceVersion
{
    std::string service;
    std::string version;
};

/** The software versions of each service that a node has seen in its directory of replicas, with those that have left
    within `streamMemory`. Replicas that don't state a version count as one version, with an empty name.
*/
class VersionHistory
{
public:
    /** Applies changes of the directory. */
    auto apply (const ListChanges& changes, TimePoint now) -> void;

    /** Records that replicas may have been added and removed unnoticed before `now`. */
    auto recordGap (TimePoint now) -> void { completeSince = now; }

    /** Forgets what left too long ago. */
    auto removeExpired (TimePoint now) -> void;

    /** @returns the version that an origin means, among those known of some services. */
    [[nodiscard]] auto find (std::uint32_t versionHash, const std::vector<std::string>& services) const
        -> std::optional<ServiceVersion>;

    /** @returns the number of listed replicas of a version that aren't leaving. */
    [[nodiscard]] auto replicaCount (const ServiceVersion& wanted) const -> std::size_t;

    /** @returns the version that all streams of a service must have begun at, or nothing if it isn't certain that there was
        a single one within `streamMemory`.

        @param provenAt  as of when the directory is known to be complete
    */
    [[nodiscard]] auto onlyVersion (std::string_view service,
                                    const VersionRegistry& registry,
                                    TimePoint provenAt,
                                    TimePoint now) const -> std::optional<std::string>;

    /** @returns whether this node has seen every change of the replicas within `streamMemory`. */
    [[nodiscard]] auto isCovered (TimePoint now) const -> bool { return completeSince <= now - streamMemory; }

    /** @returns whether the registry must be read to know the versions within `streamMemory`. */
    [[nodiscard]] auto needsRegistry (const VersionRegistry& registry, TimePoint now) const -> bool
    {
        return completeSince != TimePoint::max() && ! isCovered (now) &&
               ! (registry.readAt && *registry.readAt >= completeSince);
    }

    /** @returns the versions of a service that get no new streams yet; see newVersionDelay. None where no other version has
        replicas that take work.
    */
    [[nodiscard]] auto heldBack (std::string_view service,
                                 const VersionRegistry& registry,
                                 TimePoint now) const -> std::vector<std::string>;

    /** @returns whether any service has had more than one version. */
    [[nodiscard]] auto hasSeveralVersions() const -> bool;

    /** @returns whether a replica's entry stated a version when it was last seen. */
    [[nodiscard]] auto wasLastListedWith (std::string_view name, std::string_view version) const -> bool;

    /** @returns whether a replica of this name was seen with two versions, so that it isn't known which of them began a
        stream there.
    */
    [[nodiscard]] auto hasChangedVersion (std::uint16_t shortReplicaHash, TimePoint now) const -> bool;

    /** @returns the registry as this node would have it: with all versions that it has seen, and without those that it knows
        to be gone for longer than `streamMemory`.
    */
    [[nodiscard]] auto updated (const VersionsByService& registered, TimePoint now) const
        -> VersionsByService;

private:
    struct SeenVersion
    {
        TimePoint firstSeen {};
        /** When its last replica left; empty while there is one. */
        std::optional<TimePoint> goneAt;
        std::size_t listed = 0;
        /** Of those, the ones that aren't leaving. */
        std::size_t active = 0;
    };

    struct SeenReplica
    {
        ServiceVersion of;
        bool isLeaving = false;
    };

    using SeenVersions = std::map<std::string, SeenVersion, std::less<>>;

    auto remove (const std::string& name, TimePoint now) -> void;
    [[nodiscard]] auto seen (std::string_view service, std::string_view version) const -> const SeenVersion*;

    std::map<std::string, SeenVersions, std::less<>> services;
    std::map<std::string, SeenReplica, std::less<>> replicas;
    /** By the hash of its name, when a replica was last seen with another version than before. */
    std::map<std::uint16_t, TimePoint> changed;
    /** The versions of names that left, for `streamMemory`: an id may start again with another version. */
    std::map<std::string, std::pair<TimePoint, std::string>, std::less<>> left;
    /** Since when this node has seen every change of the replicas; `max` before its first list. */
    TimePoint completeSince = TimePoint::max();
};

} // namespace snowrudder
