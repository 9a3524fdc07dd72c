#pragma once

#include "Breakage.h"
#include "VirtualTime.h"

#include "snowrudder_fakes/engine/EngineModel.h"
#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_routing/snowrudder_routing.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace snowrudder
{

/** Simulates model requests on engines that stall, are reclaimed and are killed, with a replica table that is updated late.
    Every caller must receive the complete answer to its own request, each event once, and a leaving replica must not
    receive new requests. The decisions are made by the production code: ReplicaTable, RetryDecision, RequestRecord; the
    engines are the fake's model.
*/
class StreamSimulation
{
public:
    StreamSimulation (std::uint64_t seed, InjectedBug injectedBug, std::size_t maxEvents);

    /** Runs the simulation. Throws a Violation when a guarantee is broken. */
    auto run() -> void;

    [[nodiscard]] auto completedCount() const -> std::size_t { return completed; }
    [[nodiscard]] auto requestCount() const -> std::size_t { return requests.size(); }
    [[nodiscard]] auto trace() const -> const std::vector<std::string>& { return lines; }

private:
    struct Engine
    {
        ReplicaInfo info;
        std::unique_ptr<EngineModel> model;
        bool alive = true;
        bool isReclaimed = false;
        TimePoint stalledUntil {};
        /** The time from which the engine must not receive new requests, as the routers have been informed. */
        std::optional<TimePoint> noRequestsFrom;
    };

    struct Request
    {
        std::shared_ptr<RequestRecord> record;
        std::uint64_t seed = 0;
        std::uint32_t length = 0;
        std::vector<std::uint64_t> promptTokens;
        std::vector<std::uint64_t> blocks;
        std::uint32_t attempt = 0;
        std::uint32_t countedAttempts = 0;
        std::uint32_t tokens = 0;
        std::optional<ReplicaTicket> ticket;
        std::size_t engine = 0;
        std::uint64_t engineId = 0;
        TimePoint lastProgress {};
        std::vector<ReplicaNumber> tried;
    };

    auto addEngine() -> void;
    auto listEngines (bool isLate) -> void;
    auto stepEngine (std::size_t index) -> void;
    auto sendRequest() -> void;
    auto attempt (std::size_t index) -> void;
    auto receiveChunk (std::size_t index, std::uint64_t engineId, const EngineStep& step) -> void;
    auto fail (std::size_t index, AttemptOutcome outcome) -> void;
    auto checkOpenRequests() -> void;
    auto injectFault() -> void;
    auto readInParts (const Request& request) const -> std::string;
    auto logEvent (std::string line) -> void;

    VirtualTime time;
    InjectedBug bug;
    ReplicaTable replicas;
    std::vector<Engine> engines;
    std::vector<Request> requests;
    std::map<std::pair<std::size_t, std::uint64_t>, std::size_t> requestIndices;
    std::map<std::pair<std::size_t, std::uint64_t>, TimePoint> lastArrivals;
    std::uint64_t nextEngineId = 1;
    std::size_t completed = 0;
    std::vector<std::string> lines;
};

} // namespace snowrudder
