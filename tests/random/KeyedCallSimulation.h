#pragma once

#include "Breakage.h"
#include "VirtualTime.h"

#include "snowrudder_fakes/platform/KeyValueModel.h"
#include "snowrudder_requests/snowrudder_requests.h"

#include <map>
#include <set>
#include <vector>

namespace snowrudder
{

/** Simulates routers that own key slots, callers that repeat their keys at any router, and a service that counts its runs.
    Routers are killed, paused and stopped gracefully, the key-value service has outages, responses are lost; these faults
    overlap and repeat. The decisions are made by the production code: KeyTable, SlotView, RetryDecision; the key-value
    service is the fake's model.
*/
class KeyedCallSimulation
{
public:
    KeyedCallSimulation (std::uint64_t seed, InjectedBug injectedBug, std::size_t maxEvents);

    /** Runs the simulation. Throws a Violation when a guarantee is broken. */
    auto run() -> void;

    [[nodiscard]] auto callCount() const -> std::size_t { return answered; }
    [[nodiscard]] auto successfulCount() const -> std::size_t { return successful; }
    [[nodiscard]] auto trace() const -> const std::vector<std::string>& { return lines; }

private:
    struct Router
    {
        std::string name;
        /** Increases with each start, so that actions scheduled by an earlier process are not executed. */
        std::uint64_t incarnation = 0;
        bool alive = false;
        bool leaving = false;
        TimePoint pausedUntil {};
        std::chrono::milliseconds clockOffset {};
        KeyTable table;
        SlotView view;
        std::uint64_t lease = 0;
        std::optional<TimePoint> leaseEnd;
        TimePoint renewAt {};
        TimePoint registeredAt {};
        struct ReceivedHandover
        {
            std::uint64_t epoch = 0;
            WallTime knownSince {};
            std::vector<KeyEntry> entries;
        };
        std::map<std::uint32_t, ReceivedHandover> receivedHandovers;
    };

    struct Call
    {
        KeyEntry entry;
        bool wasReportedSuccessful = false;
        bool wasReportedNotRun = false;
    };

    auto start (Router& router) -> void;
    auto restart (Router& router) -> void;
    auto runMaintenance (std::size_t index, std::uint64_t incarnation) -> void;
    auto refresh (Router& router) -> bool;
    auto adoptSlots (Router& router) -> void;
    auto maintainLease (Router& router) -> void;
    auto claim (Router& router) -> void;
    auto handOver (Router& router) -> void;

    auto sendCall() -> void;
    auto receiveCall (std::size_t index, std::size_t call, int hops) -> void;
    auto makeCall (std::size_t index, std::size_t call, std::uint32_t attempt, bool mayHaveRun) -> void;
    auto endCall (std::size_t index, std::uint64_t incarnation, std::size_t call, Ran ran, bool isAnswered)
        -> void;
    auto injectFault() -> void;

    /** Schedules an action of a router. It is deferred while the router is paused, and dropped when the router's process
        has ended.
    */
    auto scheduleOnRouter (std::size_t index,
                           std::uint64_t incarnation,
                           Duration delay,
                           std::function<void()> action) -> void;
    auto logEvent (std::string line) -> void;
    [[nodiscard]] auto isKeyValueServiceUp() -> bool;

    VirtualTime time;
    InjectedBug bug;
    SlotTimes times;
    KeyValueModel keyValues;
    TimePoint keyValueDownUntil {};
    double lostAnswers = 0.0;
    std::vector<Router> routers;
    std::vector<Call> calls;
    std::map<Uuid, std::uint32_t> runs;
    std::size_t answered = 0;
    std::size_t successful = 0;
    std::vector<std::string> lines;
};

} // namespace snowrudder
