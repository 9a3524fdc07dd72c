#pragma once

#include "snowrudder_rollout/snowrudder_rollout.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** A replica's word of its load, as some node heard it with an answer. */
struct SharedLoad
{
    /** Of the replica's name, from replicaHash(). */
    std::uint32_t replica = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Since it was heard. */
    Duration age {};
};

/** Told by a node that reads the store to the others that do. */
struct LoadNotice
{
    std::string node;
    std::vector<SharedLoad> loads;
    std::vector<Rollout> rollouts {};
};

/** Told by a node that has just sent a replica a prompt that takes it long to read: loads that replicas tell come with their
    answers, when the prompt has been read.
*/
struct PromptNotice
{
    std::string node;
    /** Of the replica's name, from replicaHash(). */
    std::uint32_t replica = 0;
    /** Tokens that the replica is expected to read. */
    double tokens = 0.0;
};

/** Loads of replicas that nodes tell each other: each node hears most replicas too seldom to know them by itself. The
    newest word counts; old ones are forgotten.
*/
class SharedLoads
{
public:
    /** Notes a load; an older one than what is known changes nothing.

        @param shouldForward  whether this node is to hand it on
        @returns         whether it is news
    */
    auto record (const SharedLoad& load, bool shouldForward, TimePoint now) -> bool;

    /** @returns what is to be handed on, once. */
    auto takeForwardable (TimePoint now) -> std::vector<SharedLoad>;

    /** @returns what was heard lately by anybody, the newest first where there is more than fits. */
    auto recent (TimePoint now) -> std::vector<SharedLoad>;

    /** Loads older than this say little: a model's replica turns over a tenth of its requests in it. */
    static constexpr auto maxLoadAge = Duration (1s);

    /** Loads in one datagram: ten bytes each, beside the changes of replicas. */
    static constexpr auto maxLoads = std::size_t { 200 };

private:
    struct Entry
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        TimePoint receivedAt {};
        bool shouldForward = false;
    };

    static auto asLoad (std::uint32_t replica, const Entry& entry, TimePoint now) -> SharedLoad;

    std::map<std::uint32_t, Entry> entries;
};

} // namespace snowrudder
