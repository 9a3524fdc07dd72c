#pragma once

#include "snowrudder_requests/crashes/SuspectPacing.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snowrudder::tests
{

/** Parameters of a simulation with CrashWorld. */
struct CrashPlan
{
    std::size_t nodes = 5;
    std::size_t replicas = 12;
    /** Callers that each repeat a fatal request of their own. */
    std::size_t fatalCallers = 2;
    /** Whether the fatal callers share one client account. */
    bool isOneAccount = false;
    /** Longest time from the end of a connection to the proof that its replica has crashed. */
    Duration maxProofDelay = 30ms;
    /** Longest delay of a message between nodes. */
    Duration maxMessageDelay = 90ms;
    /** A crashed replica stays listed for this time; then a new incarnation replaces it. */
    Duration entryLifetime = 1200ms;
    /** Whether the address of a crashed replica goes on accepting and closing connections, so that the crash is proved
        only when the entry expires.
    */
    bool isAddressAccepting = false;
    Duration length = 12s;
    unsigned seed = 0;
};

/** Result of a simulation. */
struct CrashOutcome
{
    /** Number of crashes caused by each fatal request. */
    std::vector<std::size_t> crashes;
    /** Sends of a fatal request more than `lateAfter` after its third crash. */
    std::size_t lateSends = 0;
    /** Fatal requests that some node does not stop at the end. */
    std::size_t notStopped = 0;
    std::size_t nonFatalStopped = 0;
    /** The other callers' requests sent 2 s after the first crash or later, and those of them that succeeded. */
    std::size_t othersSent = 0;
    std::size_t othersServed = 0;

    static constexpr auto lateAfter = Duration (3s);
};

/** Simulates nodes, callers and replicas in virtual time. Some requests crash the replicas that run them. Nodes decide
    with CrashTable and the pacing of suspects; crashed replicas stay listed for a while and are then replaced; messages
    between nodes are delayed and lost.
*/
class CrashWorld
{
public:
    explicit CrashWorld (const CrashPlan& crashPlan);

    auto play() -> CrashOutcome;

private:
    /** One start of a replica. */
    struct Incarnation
    {
        std::uint64_t id = 0;
        std::optional<TimePoint> crashesAt;
        std::optional<TimePoint> crashedAt;
        std::optional<TimePoint> replacedAt;
    };

    enum class Phase
    {
        idle,
        pausing,
        waiting,
        running,
        awaitingProof
    };

    struct Caller
    {
        std::string account;
        bool isFatal = false;
        bool repeatsOneBody = false;
        std::size_t index = 0;
        Phase phase = Phase::idle;
        TimePoint until {};
        TimePoint sentAt {};
        RequestFingerprint request;
        std::size_t node = 0;
        std::size_t place = 0;
        std::uint64_t replica = 0;
        std::uint32_t attempts = 0;
        /** How often the caller has repeated the request after its attempts failed. */
        std::uint32_t repeats = 0;
    };

    /** A proof of a crash that a node obtains at a later time. */
    struct Proof
    {
        TimePoint at {};
        TimePoint crashedAt {};
        std::size_t node = 0;
        RequestFingerprint request;
        std::string account;
        std::uint64_t replica = 0;
    };

    /** Evidence on its way to a node. */
    struct Message
    {
        std::size_t node = 0;
        CrashEvidence evidence;
    };

    auto crashReplicas() -> void;
    auto deliverProofs() -> void;
    auto sendEvidence() -> void;
    auto step (Caller& caller) -> void;
    auto beginAttempt (Caller& caller) -> void;
    auto send (Caller& caller) -> void;
    auto chooseReplica (const Caller& caller, const CrashAssessment& assessment)
        -> std::optional<std::size_t>;
    /** Ends the connection of a caller's attempt to a replica that has crashed. */
    auto cut (Caller& caller, const Incarnation& crashed) -> void;
    auto finish (Caller& caller, bool isServed) -> void;
    auto isRunning (const Caller& current) const -> bool;
    auto areReplicasScarce (std::size_t node) const -> bool;
    /** @returns a random duration from zero to `most`. */
    auto drawUpTo (Duration most) -> Duration;
    /** @returns true with a probability of `share`. */
    auto isChosen (double share) -> bool;

    CrashPlan plan;
    std::mt19937 random;
    TimePoint now {};
    TimePoint began {};
    std::optional<TimePoint> firstCrash;
    std::uint64_t nextIncarnation = 1;
    std::vector<CrashTable> tables;
    /** The current incarnation of each replica. */
    std::vector<Incarnation> places;
    /** Incarnations that each node knows to have crashed. */
    std::vector<std::set<std::uint64_t>> knownCrashed;
    std::vector<Caller> callers;
    std::vector<Proof> proofs;
    std::multimap<TimePoint, Message> inFlight;
    std::vector<std::vector<TimePoint>> crashTimes;
    std::vector<std::vector<TimePoint>> sendTimes;
    std::set<std::pair<std::uint64_t, std::uint64_t>> nonFatalStopped;
    std::size_t bodies = 0;
    CrashOutcome outcome;
};

} // namespace snowrudder::tests
