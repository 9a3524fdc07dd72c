#pragma once

#include "../choice/ChooseReplica.h"
#include "../prefix/PrefixIndex.h"
#include "PromptSpeed.h"
#include "ReplicaState.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** A replica's place in a request's life: taken by ReplicaTable::take, returned by ReplicaTable::release. */
struct ReplicaTicket
{
    ReplicaNumber number = 0;
    ReplicaInfo info;
    /** Prompt tokens that the replica is believed to compute for it. */
    double expectedTokens = 0.0;
};

/** A choice with what the log line needs. */
struct TakenReplica
{
    ReplicaTicket ticket;
    Choice choice;
    /** Names of the candidates, in the choice's order. */
    std::vector<std::string> candidateNames;
};

/** One entry of the VM list. */
struct ListedReplica
{
    ReplicaInfo info;
    bool leaving = false;
};

/** How a replica stands in the lists that this router was given. */
enum class ReplicaListing
{
    listed,
    leaving,
    /** Another replica is listed at its address. */
    replaced,
    /** No longer listed. */
    unlisted
};

/** All replicas of all services that this router knows. Any thread may call it; one mutex guards it all, and nothing
    else is locked while it is held.
*/
class ReplicaTable
{
public:
    /** Takes over a new VM list. Replicas that are gone from it are dropped; a sign of leaving is never taken back. */
    auto update (const std::vector<ListedReplica>& listed, TimePoint now) -> void;

    /** Chooses a replica and counts the request against it.

        @returns nothing when no replica is usable
    */
    auto take (const std::string& service,
               const ChoiceInput& input,
               const ChoiceWeights& weights,
               TimePoint now) -> std::optional<TakenReplica>;

    /** A way to choose; chooseReplica() is the one in use, benchmarks compare it with others. */
    using ChoiceFunction =
        std::function<auto(std::span<const ReplicaState>, const ChoiceInput&)->std::optional<Choice>>;

    /** Takes a replica as another way chooses it. */
    auto takeWith (const std::string& service,
                   const ChoiceInput& input,
                   const ChoiceFunction& choiceFunction,
                   TimePoint now) -> std::optional<TakenReplica>;

    /** Notes that a replica began to answer: its prompt is computed and now cached.

        @param cachedTokens  of the prompt, as the replica states it; corrects what was believed
    */
    auto recordAnswerStart (ReplicaTicket& ticket,
                            std::span<const std::uint64_t> blocks,
                            std::optional<double> cachedTokens) -> void;

    /** Notes how long after it was sent a request that was not held up here began to be answered.

        @param ownTokens  of its prompt that no replica can have cached
    */
    auto recordWait (const std::string& service, double ownTokens, Duration wait) -> void;

    /** @returns prompt tokens that a service's replicas read a millisecond; nothing while too little was seen. */
    [[nodiscard]] auto promptSpeed (const std::string& service) const -> std::optional<double>;

    /** Ends a request's count against its replica and moves the replica's breaker. */
    auto release (const ReplicaTicket& ticket, AttemptHealth health, TimePoint now) -> void;

    auto recordLoad (ReplicaNumber number, const LoadReport& report, TimePoint now) -> void;

    /** Notes a load that another router heard; an older one than what is known changes nothing.

        @param hash   from replicaHash()
        @param heard  when the replica told it
    */
    auto recordForwardedLoad (std::uint32_t hash, const LoadReport& report, TimePoint heard) -> void;

    /** Notes a prompt that another router sent to a replica just now.

        @param hash    from replicaHash()
        @param tokens  that the replica has to read
    */
    auto recordAnnouncedPrompt (std::uint32_t hash, double tokens, TimePoint now) -> void;

    /** Notes a first sign of leaving: the replica gets nothing new from here on. */
    auto markLeaving (ReplicaNumber number, TimePoint now) -> void;

    /** Notes that one start of a replica was found to have ended: it gets nothing while its entry may still stand, unless it is heard
        of again.

        @param incarnation  from incarnationHash()
    */
    auto markEnded (std::uint64_t incarnation, TimePoint at) -> void;

    /** @returns when one start of a replica was last heard of, in an answer to any router; nothing where it was not.

        @param incarnation  from incarnationHash()
    */
    [[nodiscard]] auto lastReportTime (std::uint64_t incarnation) const -> std::optional<TimePoint>;

    /** Notes that a replica's own face can't be reached, apart from any request. */
    auto markUnreachable (ReplicaNumber number, TimePoint now) -> void;

    [[nodiscard]] auto listing (ReplicaNumber number) const -> ReplicaListing;

    /** @returns whether a replica is leaving, or is no longer listed. */
    [[nodiscard]] auto isLeaving (ReplicaNumber number) const -> bool
    {
        return listing (number) != ReplicaListing::listed;
    }

    /** Calls a function with each replica, under the table's lock. */
    template <typename Visitor>
    auto forEach (Visitor&& visit) const -> void
    {
        const std::lock_guard lock (mutex);

        for (const auto& [service, replicas] : services)
            for (const auto& replica : replicas)
                visit (replica);
    }

    /** @returns requests that a service's usable replicas work on at once, and those believed on them now. */
    struct Capacity
    {
        double slots = 0.0;
        double busy = 0.0;
    };

    [[nodiscard]] auto capacity (const std::string& service, TimePoint now) const -> Capacity;

    /** Of all replicas of a service, usable or not. */
    struct Totals
    {
        double replicas = 0.0;
        double slots = 0.0;
        /** This router's requests that they have now. */
        double inFlight = 0.0;
    };

    [[nodiscard]] auto totals (const std::string& service) const -> Totals;

private:
    auto find (ReplicaNumber number) -> ReplicaState*;
    auto markReplaced() -> void;

    /** Calls a function with each replica whose name has a hash; the lock is held. */
    template <typename Visitor>
    auto forEachOfHash (std::uint32_t hash, Visitor&& visit) -> void
    {
        for (auto& [service, replicas] : services)
            for (auto& replica : replicas)
                if (replica.hash == hash)
                    visit (replica);
    }

    mutable std::mutex mutex;
    std::map<std::string, std::vector<ReplicaState>, std::less<>> services;
    std::map<std::string, PromptSpeed, std::less<>> promptSpeeds;
    PrefixIndex prefixes;
    BreakerLimits breaker;
    ReplicaNumber nextNumber = 1;
};

} // namespace snowrudder
