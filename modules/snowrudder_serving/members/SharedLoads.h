#pragma once

#include "snowrudder_rollout/snowrudder_rollout.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** What a replica stated to some node in an answer: its load, and its limits. */
struct SharedLoad
{
    /** Hash of the replica's name, from replicaHash(). */
    std::uint32_t replica = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Time since the node received it. */
    Duration age {};
    /** Whether the replica stated its load. */
    bool hasLoad = true;
    /** Requests a second that it takes from all nodes; nothing where it stated no limit. */
    std::optional<double> rateLimit {};
    /** Rejections a second that it bears from all nodes; nothing where it stated no number. */
    std::optional<double> rejectionLimit {};
};

/** Loads and roll-outs that a reader sends to the other readers. */
struct LoadNotice
{
    std::string node;
    std::vector<SharedLoad> loads;
    std::vector<Rollout> rollouts {};
};

/** Announces that a node has just sent a replica a prompt that takes long to process. A replica's own load arrives too
    late for this: it comes with the response, when the prompt has been processed.
*/
struct PromptNotice
{
    std::string node;
    /** Hash of the replica's name, from replicaHash(). */
    std::uint32_t replica = 0;
    /** Prompt tokens that the replica is expected to process. */
    double tokens = 0.0;
};

/** Loads of replicas that nodes share, since a single node receives responses of most replicas too rarely to know their
    loads. For each replica the newest load is kept; old ones are removed.
*/
class SharedLoads
{
public:
    /** Records a load, unless it is too old or not newer than the recorded one.

        @param shouldForward  whether this node is to forward the load
        @returns              whether it was recorded
    */
    auto record (const SharedLoad& load, bool shouldForward, TimePoint now) -> bool;

    /** @returns the loads to be forwarded, at most `maxLoads`, and marks them as forwarded. */
    auto takeForwardable (TimePoint now) -> std::vector<SharedLoad>;

    /** Removes old loads.

        @returns the recent loads, whichever node observed them; if there are more than `maxLoads`, those of replicas that
                 state a limit, and the newest others
    */
    auto recent (TimePoint now) -> std::vector<SharedLoad>;

    /** Loads older than this are ignored: a model's replica turns over a tenth of its requests in that time. */
    static constexpr auto maxLoadAge = Duration (1s);

    /** The largest number of loads in one datagram, which also holds changes of replicas. A load takes ten bytes. */
    static constexpr auto maxLoads = std::size_t { 200 };

private:
    struct Entry
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        TimePoint receivedAt {};
        bool shouldForward = false;
        bool hasLoad = false;
        std::optional<double> rateLimit {};
        std::optional<double> rejectionLimit {};
    };

    static auto asLoad (std::uint32_t replica, const Entry& entry, TimePoint now) -> SharedLoad;

    std::map<std::uint32_t, Entry> entries;
};

} // namespace snowrudder
