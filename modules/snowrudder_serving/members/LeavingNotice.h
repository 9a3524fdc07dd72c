#pragma once

#include "../directory/ReplicaDirectory.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snowrudder
{

/** Replicas that answers showed to be leaving, which a node sends to its peers: as shown to itself, and as forwarded. */
struct LeavingNotice
{
    std::string node;
    /** From incarnationHash(). */
    std::vector<std::uint64_t> incarnations;
};

/** What a node has yet to tell others of replicas that are leaving. */
struct LeavingNews
{
    struct Pending
    {
        TimePoint dueAt {};
        std::uint32_t sendsLeft = 0;
    };

    /** By incarnationHash(). */
    std::map<std::uint64_t, Pending> pending;
};

/** How long a node that learns from an answer that a replica is leaving waits before it tells others: most of them learn it
    from the store meanwhile.
*/
inline constexpr auto leavingNewsDelay = Duration (150ms);

/** How often each piece of news is sent, since datagrams are lost, and at which interval. */
inline constexpr auto leavingNewsSends = std::uint32_t { 3 };
inline constexpr auto leavingNewsInterval = Duration (60ms);

/** Records that others are to be told that a replica is leaving.

    @param isForwarded  whether another node told it, which has waited already
*/
auto addLeavingNews (LeavingNews& news, std::uint64_t incarnation, bool isForwarded, TimePoint now) -> void;

/** @returns the incarnations that are to be sent now, other than those that the store says are leaving. */
auto takeLeavingNews (LeavingNews& news, const ReplicaDirectory& directory, TimePoint now)
    -> std::vector<std::uint64_t>;

/** @returns all incarnations that are known to be leaving from answers and not from the store, for a node that has not been
    told before.
*/
auto allLeavingNews (const ReplicaDirectory& directory) -> std::vector<std::uint64_t>;

} // namespace snowrudder
