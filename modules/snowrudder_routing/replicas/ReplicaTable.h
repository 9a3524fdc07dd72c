#pragma once

#include "../choice/ChooseReplica.h"
#include "../prefix/PrefixIndex.h"
#include "PromptSpeed.h"
#include "ReplicaState.h"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowrudder
{

/** A request's claim on a replica, from ReplicaTable::take() until ReplicaTable::release(). */
struct ReplicaTicket
{
    ReplicaNumber number = 0;
    ReplicaInfo info;
    /** Estimated prompt tokens that the replica still has to compute for the request. */
    double expectedTokens = 0.0;
    /** Whether it is the first request after a rest of the replica. */
    bool isFirstAfterRest = false;
};

/** A chosen replica with the details that are logged. */
struct TakenReplica
{
    ReplicaTicket ticket;
    Choice choice;
    /** Names of `choice.candidates`, in the same order. */
    std::vector<std::string> candidateNames;
    /** How long ago the last rest ended that the replica asked for, if it did. */
    std::optional<Duration> restEnded;
};

/** One entry of the VM list. */
struct ListedReplica
{
    ReplicaInfo info;
    bool leaving = false;
};

/** The status of a replica in the lists that this router received. */
enum class ReplicaListing
{
    listed,
    leaving,
    /** A replica that started later is listed at its address. */
    replaced,
    /** No longer listed. */
    unlisted
};

/** The state of all replicas of all services. Thread-safe: one mutex guards the whole table, and no other lock is taken
    while it is held.
*/
class ReplicaTable
{
public:
    /** Applies a new list of replicas. Replicas that are not in it are removed; a replica that was leaving stays so. */
    auto update (const std::vector<ListedReplica>& listed, TimePoint now) -> void;

    /** Applies the changes of a list since the one before. The cost depends on the number of changes; of all replicas,
        only the indexes are rebuilt. Each name must belong to a single replica.

        @param changed  replicas that were added, or whose entries changed
        @param removed  names of replicas that are no longer listed
    */
    auto applyChanges (const std::vector<ListedReplica>& changed,
                       const std::vector<std::string>& removed,
                       TimePoint now) -> void;

    /** Chooses a replica with chooseReplica() and counts the request as in flight on it.

        @returns nothing when there is no usable replica
    */
    auto take (const std::string& service,
               const ChoiceInput& input,
               const ChoiceWeights& weights,
               TimePoint now) -> std::optional<TakenReplica>;

    /** A function that chooses a replica. Routers use chooseReplica(); benchmarks compare it with other policies. */
    using ChoiceFunction =
        std::function<auto(std::span<const ReplicaState>, const ChoiceInput&)->std::optional<Choice>>;

    /** Like take(), with a different function to choose the replica. */
    auto takeWith (const std::string& service,
                   const ChoiceInput& input,
                   const ChoiceFunction& choiceFunction,
                   TimePoint now) -> std::optional<TakenReplica>;

    /** Records that a replica began to answer, so that the prompt is computed and cached.

        @param cachedTokens  prompt tokens that were cached, as the replica reports them; where it reports any number,
                             the blocks are recorded as cached
    */
    auto recordAnswerStart (ReplicaTicket& ticket,
                            std::span<const std::uint64_t> blocks,
                            std::optional<double> cachedTokens) -> void;

    /** Adds a sample to the estimate of a service's prompt speed, from a request that was not delayed by this router.

        @param ownTokens  tokens of the prompt that no replica can have cached
        @param wait       from sending the request until its answer began
    */
    auto recordWait (const std::string& service, double ownTokens, Duration wait) -> void;

    /** @returns the prompt tokens that a replica of a service computes per millisecond, or nothing while there are too
        few samples.
    */
    [[nodiscard]] auto promptSpeed (const std::string& service) const -> std::optional<double>;

    /** Ends a request's claim on its replica and updates the replica's circuit breaker. */
    auto release (const ReplicaTicket& ticket, AttemptHealth health, TimePoint now) -> void;

    /** Closes all circuit breakers, as when the failures that opened them were those of this router's network. */
    auto closeBreakers() -> void;

    /** Records the load that a replica reported to this router. */
    auto recordLoad (ReplicaNumber number, const LoadReport& report, TimePoint now) -> void;

    /** Records the load that a replica reported to another router. A report that is older than the last one is ignored.

        @param hash        from replicaHash()
        @param reportedAt  when the replica made the report
    */
    auto recordForwardedLoad (std::uint32_t hash, const LoadReport& report, TimePoint reportedAt) -> void;

    /** Records what a replica stated about its limit of requests a second, to this router or another one. A statement
        that is older than the last one is ignored.

        @param hash       from replicaHash()
        @param perSecond  nothing where it stated no limit
        @returns          whether the limit is new, has changed, or has ended
    */
    auto recordRateLimit (std::uint32_t hash,
                          std::optional<double> perSecond,
                          TimePoint statedAt,
                          TimePoint now) -> bool;

    /** @returns the limit that a replica stated last, or nothing while it states none. */
    [[nodiscard]] auto rateLimit (std::uint32_t hash) const -> std::optional<double>;

    /** @returns the replicas of a service that state a limit, in the order of their listing. */
    [[nodiscard]] auto replicasWithLimit (const std::string& service) const -> std::vector<LimitedReplica>;

    /** Sets the part that this router may use of each limit that replicas of a service state, from 0 to 1. */
    auto setRateShare (const std::string& service, double share, TimePoint now) -> void;

    /** Records how many rejections a second a replica stated that it bears, as recordRateLimit() does for its limit.

        @returns  whether the number is new, has changed, or has ended
    */
    auto recordRejectionLimit (std::uint32_t hash, std::optional<double> perSecond, TimePoint statedAt)
        -> bool;

    /** @returns the rejections a second that a replica stated last that it bears, or nothing while it states none. */
    [[nodiscard]] auto rejectionLimit (std::uint32_t hash) const -> std::optional<double>;

    /** Records that a replica asked this router for no requests for some time.

        @param incarnation  from incarnationHash()
    */
    auto recordRest (std::uint64_t incarnation, Duration asked, TimePoint now) -> void;

    /** @param hash  from replicaHash()
        @returns      whether the replica has asked this router for rest that is not over
    */
    [[nodiscard]] auto isResting (std::uint32_t hash, TimePoint now) const -> bool;

    /** @returns whether a replica of a service has asked this router for rest that is not over. */
    [[nodiscard]] auto hasResting (const std::string& service, TimePoint now) const -> bool;

    /** Records that a replica rejected a request of this router, with the load that it stated. */
    auto recordRejection (ReplicaNumber number, const std::optional<LoadReport>& load, TimePoint now) -> void;

    /** Sets by which part this router shares the places of replicas that bear few rejections. */
    auto setFleetPosition (const FleetPosition& position) -> void;

    /** @returns whether a request must wait until a place is free: this router may use no other replica than those it
        has tried, but there are some whose places are all taken.
    */
    [[nodiscard]] auto mustWaitForPlace (const std::string& service,
                                         const std::vector<ReplicaNumber>& tried,
                                         TimePoint now) const -> bool;

    /** @returns when a replica of the service is expected to take a request again, or nothing where one may do so at any
        moment, at least for another router.

        @param startTime  how long a replica takes to start that is ordered for one that leaves, if any is
    */
    [[nodiscard]] auto retryDelay (const std::string& service,
                                   std::optional<Duration> startTime,
                                   TimePoint now) const -> std::optional<Duration>;

    /** Records a prompt that another router has just sent to a replica.

        @param hash    from replicaHash()
        @param tokens  prompt tokens that the replica has to compute
    */
    auto recordAnnouncedPrompt (std::uint32_t hash, double tokens, TimePoint now) -> void;

    /** @returns whether a replica that was chosen for a request is to get none any more. */
    [[nodiscard]] auto isWithdrawn (ReplicaNumber number, TimePoint now) const -> bool;

    /** Marks an incarnation of a replica as ended. It gets no requests until its entry has had time to expire, unless a
        later load report shows that it is alive.

        @param incarnation  from incarnationHash()
    */
    auto markEnded (std::uint64_t incarnation, TimePoint at) -> void;

    /** @returns the time of the last load report from an incarnation of a replica, to any router, or nothing where
        there is none.

        @param incarnation  from incarnationHash()
    */
    [[nodiscard]] auto lastReportTime (std::uint64_t incarnation) const -> std::optional<TimePoint>;

    /** Records that a replica could not be reached by a check that belongs to no request. */
    auto markUnreachable (ReplicaNumber number, TimePoint now) -> void;

    [[nodiscard]] auto listing (ReplicaNumber number) const -> ReplicaListing;

    /** Where a listed replica is reached. */
    struct Address
    {
        /** IP-NUMBER:PORT */
        std::string endpoint;
        bool isLeaving = false;
    };

    /** @param hash  from replicaHash() */
    [[nodiscard]] auto addressOf (std::uint32_t hash) const -> std::optional<Address>;

    /** @returns whether another replica, or another incarnation of this one, is listed at its address. */
    [[nodiscard]] auto hasSuccessor (const ReplicaInfo& replica) const -> bool;

    /** @returns whether a replica is leaving, or is no longer listed. */
    [[nodiscard]] auto isLeaving (ReplicaNumber number) const -> bool
    {
        return listing (number) != ReplicaListing::listed;
    }

    /** Calls a function with each replica while the table is locked. */
    template <typename Visitor>
    auto forEach (Visitor&& visit) const -> void
    {
        const std::lock_guard lock (mutex);

        for (const auto& [service, replicas] : services)
            for (const auto& replica : replicas)
                visit (replica);
    }

    /** Concurrency of a service's usable replicas, and how much of it is estimated to be in use. */
    struct Capacity
    {
        double slots = 0.0;
        double busy = 0.0;
        /** The parts of both that belong to replicas whose places are divided among the routers. */
        double dividedSlots = 0.0;
        double dividedBusy = 0.0;
        /** This router's places on these. */
        double ownPlaces = 0.0;
    };

    [[nodiscard]] auto capacity (const std::string& service, TimePoint now) const -> Capacity;

    /** Totals over all replicas of a service, usable or not. */
    struct Totals
    {
        double replicas = 0.0;
        double slots = 0.0;
        /** This router's requests in flight on them. */
        double inFlight = 0.0;
    };

    [[nodiscard]] auto totals (const std::string& service) const -> Totals;

private:
    [[nodiscard]] auto find (ReplicaNumber number) const -> ReplicaState*;
    [[nodiscard]] auto makeState (const ListedReplica& entry, bool isFirstList, TimePoint now)
        -> ReplicaState;
    auto rebuildIndexes() -> void;
    auto markReplaced() -> void;
    auto countLimited() -> void;
    /** @returns this router's part of the limits that replicas of a service state. */
    [[nodiscard]] auto rateShare (const std::string& service) const -> double;
    /** Keeps what a replica that is no longer listed has stated, since its entry may come back. */
    auto keepStatements (const ReplicaState& replica, TimePoint now) -> void;

    /** Calls a function with each replica that has a name hash. The caller holds the lock. */
    template <typename Visitor>
    auto forEachOfHash (std::uint32_t hash, Visitor&& visit) const -> void
    {
        auto found = std::ranges::lower_bound (byHash, hash, {}, &HashedReplica::first);

        for (; found != byHash.end() && found->first == hash; ++found)
            visit (*found->second);
    }

    using HashedReplica = std::pair<std::uint32_t, ReplicaState*>;
    using NumberedReplica = std::pair<ReplicaNumber, ReplicaState*>;

    mutable std::mutex mutex;
    std::map<std::string, std::vector<ReplicaState>, std::less<>> services;
    /** The replicas sorted by the hashes of their names and by their numbers. */
    std::vector<HashedReplica> byHash;
    std::vector<NumberedReplica> byNumber;
    std::map<std::string, PromptSpeed, std::less<>> promptSpeeds;
    PrefixIndex prefixes;
    BreakerLimits breaker;
    /** This router's parts of the limits that replicas state, by service. */
    std::map<std::string, double, std::less<>> rateShares;
    FleetPosition fleetPosition;
    /** Number of replicas whose places may all be taken: see ReplicaAvailability::full. */
    std::size_t limitedReplicas = 0;

    struct KeptStatements
    {
        ReplicaStatements stated;
        TimePoint unlistedAt {};
    };

    /** What incarnations stated that are no longer listed, by incarnationHash(). */
    std::map<std::uint64_t, KeptStatements> keptStatements;
    static constexpr auto statementsKept = Duration (10min);
    ReplicaNumber nextNumber = 1;
};

} // namespace snowrudder
