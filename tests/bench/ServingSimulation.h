#pragma once

#include "Policies.h"

#include "../random/VirtualTime.h"

#include "snowrudder_fakes/engine/EngineModel.h"
#include "snowrudder_limits/snowrudder_limits.h"
#include "snowrudder_load/workload/RequestSource.h"
#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_serving/queue/ServiceQueues.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snowrudder
{

/** The parameters of a simulation. */
struct ServingPlan
{
    schema::LoadSettings workload;
    std::size_t routers = 9;
    std::size_t engines = 10;
    std::size_t domains = 4;
    EngineLimits engine;
    /** The price of an engine per hour, by failure domain. */
    std::vector<double> prices;
    Policy policy = Policy::product;
    ChoiceWeights weights;
    /** The shares of the client accounts, by API key. */
    std::map<std::string, std::uint32_t> weightByKey;
    /** Multiplies the request rate of each class. */
    double rateFactor = 1.0;
    Duration length = 300s;
    /** The maximum time in a router's queue before a request is refused. */
    Duration maxQueueTime = 1200ms;
    /** The share of the slots that is reserved from accounts that exceed their share. */
    double keptShare = ServiceCapacity::usualKeptShare;
    /** The interval at which failure domains are reclaimed. Each is available again after half of it. Zero for never. */
    Duration reclaimEvery {};
    /** Whether the cache blocks of requests that move from a leaving engine are moved with them. */
    bool moveCache = true;
    /** Whether load reports are used, with the requests sent since the last report added to them. */
    bool useReports = true;
    /** All engines are unreachable for this time, to measure the retries after an outage. */
    Duration outageFrom {};
    Duration outageLength {};
};

/** The outcomes of the requests of one class. */
struct ServingClass
{
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    std::uint64_t withinTarget = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::vector<double> firstTokenMilliseconds;
};

/** The results of a simulation. */
struct ServingResult
{
    std::vector<ServingClass> classes;
    std::uint64_t computedPromptTokens = 0;
    std::uint64_t minPromptTokens = 0;
    std::uint64_t attempts = 0;
    std::uint64_t requests = 0;
    std::uint64_t withinTarget = 0;
    /** The number of answer tokens of all requests within the target. */
    std::uint64_t tokensWithinTarget = 0;
    std::uint64_t moves = 0;
    /** Requests that were assigned a replica in time for the latency target but missed it: the maximum that hedged
        requests could improve.
    */
    std::uint64_t slowOnReplica = 0;
    double firstTokenP95 = 0.0;
    double betweenTokensP95 = 0.0;
    double costPerThousand = 0.0;
};

/** Simulates several routers with one pool of engines in virtual time. The decisions are made by the production code:
    FairQueue and its window, ReplicaTable, RetryDecision; the engines are the fake's model; load reports are delayed. The
    results are determined by the seed, so that tests can set bounds on them.
*/
class ServingSimulation
{
public:
    explicit ServingSimulation (ServingPlan servingPlan);

    auto run() -> ServingResult;

private:
    struct Engine
    {
        ReplicaInfo info;
        std::unique_ptr<EngineModel> model;
        bool isAlive = true;
        bool isLeaving = false;
        std::uint64_t generation = 0;
    };

    struct Router
    {
        ReplicaTable replicas;
        FairQueue queue;
        RetryBudgets budgets;
        PolicyState policy;
        std::map<std::uint64_t, std::size_t> waiting;
    };

    struct Request
    {
        PlannedRequest planned;
        std::size_t router = 0;
        TimePoint receivedAt {};
        TimePoint dispatchedAt {};
        std::vector<std::uint64_t> tokens;
        std::vector<std::uint64_t> blocks;
        double promptTokens = 0.0;
        std::uint32_t length = 0;
        std::uint64_t seed = 0;
        std::uint32_t generatedTokens = 0;
        std::uint32_t countedAttempts = 0;
        std::optional<ReplicaTicket> ticket;
        std::size_t engine = 0;
        std::uint64_t engineId = 0;
        std::vector<ReplicaNumber> tried;
        std::vector<std::uint64_t> movedBlocks;
        TimePoint firstToken {};
        TimePoint lastToken {};
        bool isEnded = false;
    };

    auto addEngine (std::size_t slot) -> void;
    auto listEngines() -> void;
    auto stepEngines() -> void;
    auto reportLoads() -> void;
    auto setWindows() -> void;
    auto receiveRequest() -> void;
    [[nodiscard]] auto weightOf (const std::string& key) const -> std::uint32_t;
    auto start (std::size_t index) -> void;
    auto attempt (std::size_t index) -> void;
    auto receiveToken (std::size_t index, const EngineStep& step) -> void;
    auto fail (std::size_t index, AttemptOutcome outcome) -> void;
    auto end (std::size_t index) -> void;
    auto releaseTicket (Request& request, AttemptHealth health) -> void;
    auto reclaim() -> void;
    auto isInOutage() const -> bool;
    auto summarise() -> ServingResult;

    ServingPlan plan;
    VirtualTime time;
    RequestSource source;
    TimePoint firstTime {};
    std::vector<Engine> engines;
    std::vector<Router> routers;
    std::vector<std::unique_ptr<Request>> requests;
    std::map<std::uint64_t, std::size_t> byEngineId;
    std::set<std::uint64_t> uniqueBlocks;
    std::uint64_t remainderTokens = 0;
    std::uint64_t nextEngineId = 1;
    std::uint64_t retiredComputedTokens = 0;
    std::size_t nextDomain = 0;
    double engineHoursPrice = 0.0;
    ServingResult result;
    std::vector<double> tokenIntervals;
};

/** @returns the quantile of the values at a share from 0 to 1; 0 when there are none. Sorts the values. */
auto quantileOf (std::vector<double>& values, double share) -> double;

} // namespace snowrudder
