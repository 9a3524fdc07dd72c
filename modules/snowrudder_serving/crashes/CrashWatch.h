#pragma once

#include "CrashProof.h"
#include "SharedProbes.h"

#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** An attempt on a replica, as far as the replica's end concerns it. */
struct WatchedAttempt
{
    RequestFingerprint request;
    /** Of this one request, for the log. */
    std::string requestId;
    std::string account;
    ReplicaNumber number = 0;
    ReplicaInfo replica;
    /** When its connection ended. */
    TimePoint ended {};
};

/** What a replica's name names. */
enum class ReplicaNaming
{
    /** A place, in which it may start again. */
    places,
    /** One start: a replica that starts again has another name. */
    starts
};

/** Finds out which requests ran on replicas as these crashed, and keeps what that says against them. An end of a connection
    alone proves no crash: answers get lost, links are reset, and replicas end after a planned drain. Any thread may call it.
*/
class CrashWatch
{
public:
    CrashWatch (Metrics& metrics, ReplicaTable& replicaTable, ReplicaNaming replicaNaming);

    /** Looks whether the replica of an attempt whose connection ended has crashed, and notes the evidence.

        @returns what was found, for the log
    */
    auto examine (SharedProbes& probes, WatchedAttempt attempt) -> Task<std::string_view>;

    /** Looks again at the replicas that could not be told to have crashed: their entries may have gone, or another replica may
        have their address. Call some times a second.

        @param probes  of the loop that this is called on; the addresses of entries that are gone are asked in the background
    */
    auto lookAgain (SharedProbes& probes, TimePoint now) -> void;

    /** Takes in what another node told.

        @param from      the node, for the log
        @param isToTell  whether this node hands on what is new
    */
    auto hear (const std::vector<CrashEvidence>& heard, std::string_view from, bool isToTell, TimePoint now)
        -> void;

    /** @returns whether a request may be sent to a replica now. */
    [[nodiscard]] auto assess (const RequestFingerprint& request, TimePoint now) const -> CrashAssessment
    {
        return crashes.assess (request, now);
    }

    /** Notes and logs that a request was not sent because of a verdict. */
    auto recordStopped (const RequestFingerprint& request,
                        std::string_view requestId,
                        const CrashAssessment& assessment,
                        TimePoint now) -> void;

    /** Waits until a request may be sent or is stopped: a suspected one runs once at a time here, and after several crashes
        it lets other nodes' evidence arrive first.

        @param service  that would run it
        @param isOver   whether nobody waits for the answer any more
    */
    auto waitForVerdict (asio::io_context& loop,
                         RequestFingerprint request,
                         std::string service,
                         std::function<bool()> isOver) -> Task<CrashAssessment>;

    [[nodiscard]] auto table() -> CrashTable& { return crashes; }

    /** Counts an attempt as running for as long as it lives. */
    class Running
    {
    public:
        Running (CrashWatch& crashWatch, const RequestFingerprint& request);
        ~Running();

        Running (const Running&) = delete;
        auto operator= (const Running&) -> Running& = delete;

    private:
        CrashWatch& watch;
        RequestFingerprint fingerprint;
    };

    /** Called when there is something to tell other nodes. Set once, before the first request. */
    std::function<void()> onNews;

private:
    auto recordCrash (const WatchedAttempt& attempt, std::string_view proof) -> void;
    auto recordUnconfirmedCrash (const WatchedAttempt& attempt) -> void;
    auto noteDoubt (WatchedAttempt attempt) -> void;
    [[nodiscard]] auto endOf (const WatchedAttempt& attempt) const -> ReplicaCrash;
    /** @param lapsed  attempts on one replica whose entry is gone */
    auto examineLapsed (SharedProbes& probes, std::vector<WatchedAttempt> lapsed) -> Task<void>;
    [[nodiscard]] auto surroundings (const RequestFingerprint& request, const std::string& service) const
        -> SuspectContext;

    ReplicaTable& replicas;
    const ReplicaNaming naming;
    Counter& crashesSeen;
    Counter& requestsStopped;
    CrashTable crashes;
    mutable std::mutex mutex;
    std::vector<WatchedAttempt> doubts;
    std::unordered_map<RequestFingerprint, std::size_t, FingerprintHash> running;
};

/** Sets the gauges of requests under which replicas ended. */
auto noteSizes (Metrics& metrics, const CrashTable::Sizes& sizes) -> void;

} // namespace snowrudder
