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

/** What a run of a CrashWorld is made of. */
struct CrashPlan
{
    std::size_t nodes = 5;
    std::size_t replicas = 12;
    /** Callers each of whom repeats a request of its own that ends its replicas. */
    std::size_t fatalCallers = 2;
    bool isOneAccount = false;
    /** From the end of a connection to the proof that its replica has ended, at most. */
    Duration maxProofDelay = 30ms;
    /** From node to node, at most. */
    Duration maxMessageDelay = 90ms;
    /** A replica that ended is listed for so long, and another one runs in its place after. */
    Duration entryLifetime = 1200ms;
    /** Whether the address of a replica that ended goes on to accept and close connections, so that its end is proved only when
        its entry goes.
    */
    bool isAddressAccepting = false;
    Duration length = 12s;
    unsigned seed = 0;
};

/** What came of it. */
struct CrashOutcome
{
    /** Replicas that ended under each fatal request. */
    std::vector<std::size_t> crashes;
    /** Sends of a fatal request later than `lateAfter` after it had ended its third replica. */
    std::size_t lateSends = 0;
    /** Fatal requests that some node still sends at the end. */
    std::size_t notStopped = 0;
    std::size_t innocentsStopped = 0;
    /** Of the other callers' requests sent 2 s after the first crash and later. */
    std::size_t othersSent = 0;
    std::size_t othersServed = 0;

    static constexpr auto lateAfter = Duration (3s);
};

/** Nodes, replicas that end under some requests and come back, and callers, in virtual time. Nodes decide by CrashTable and the
    pacing of suspects; replicas that ended are listed for a while, and messages between nodes are late and get lost.
*/
class CrashWorld
{
public:
    explicit CrashWorld (const CrashPlan& crashPlan);

    auto play() -> CrashOutcome;

private:
    struct Incarnation
    {
        std::uint64_t id = 0;
        std::optional<TimePoint> ends;
        std::optional<TimePoint> ended;
        std::optional<TimePoint> back;
    };

    enum class Phase
    {
        resting,
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
        Phase phase = Phase::resting;
        TimePoint until {};
        TimePoint sentAt {};
        RequestFingerprint request;
        std::size_t node = 0;
        std::size_t place = 0;
        std::uint64_t replica = 0;
        std::uint32_t attempts = 0;
        /** How often the caller itself has repeated the request. */
        std::uint32_t repeats = 0;
    };

    struct Proof
    {
        TimePoint at {};
        TimePoint ended {};
        std::size_t node = 0;
        RequestFingerprint request;
        std::string account;
        std::uint64_t replica = 0;
    };

    struct Message
    {
        std::size_t node = 0;
        CrashEvidence evidence;
    };

    auto endReplicas() -> void;
    auto deliverProofs() -> void;
    auto sendEvidence() -> void;
    auto step (Caller& caller) -> void;
    auto beginAttempt (Caller& caller) -> void;
    auto send (Caller& caller) -> void;
    auto choosePlace (const Caller& caller, const CrashAssessment& assessment) -> std::optional<std::size_t>;
    auto cut (Caller& caller, const Incarnation& ended) -> void;
    auto finish (Caller& caller, bool isServed) -> void;
    auto isRunning (const Caller& asking) const -> bool;
    auto areReplicasScarce (std::size_t node) const -> bool;
    auto drawUpTo (Duration most) -> Duration;
    auto isChosen (double share) -> bool;

    CrashPlan plan;
    std::mt19937 random;
    TimePoint now {};
    TimePoint began {};
    std::optional<TimePoint> firstCrash;
    std::uint64_t nextIncarnation = 1;
    std::vector<CrashTable> tables;
    std::vector<Incarnation> places;
    std::vector<std::set<std::uint64_t>> knownDead;
    std::vector<Caller> callers;
    std::vector<Proof> proofs;
    std::multimap<TimePoint, Message> inFlight;
    std::vector<std::vector<TimePoint>> crashTimes;
    std::vector<std::vector<TimePoint>> sendTimes;
    std::set<std::pair<std::uint64_t, std::uint64_t>> innocentsStopped;
    std::size_t bodies = 0;
    CrashOutcome outcome;
};

} // namespace snowrudder::tests
