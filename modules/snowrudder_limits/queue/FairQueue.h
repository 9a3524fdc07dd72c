#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** A request for a slot at the upstreams of a service. */
struct QueuedRequest
{
    std::uint64_t ticket = 0;
    std::string account;
    /** The account's weight relative to other accounts. */
    std::uint32_t weight = 1;
    /** Estimated work, in tokens. */
    double cost = 1.0;
    /** The time after which it is useless to start the request. */
    TimePoint deadline {};
};

/** Limits on the number of requests at the upstreams at the same time. */
struct QueueWindow
{
    std::uint32_t slots = 1;
    /** Number of slots that may be in use for a flooding account to get one. The remaining slots are reserved for other
        accounts.
    */
    std::uint32_t slotsUnderFlood = 1;
};

/** The result of a request for a slot. */
enum class QueueAction
{
    /** The request has a slot and may start. */
    start,
    /** The request is queued. */
    wait,
    /** The request is rejected: it would not start before its deadline, or the account's queue is full. */
    refuse
};

struct QueueResult
{
    QueueAction action = QueueAction::refuse;
    /** Where the request was refused, the estimated time after which a retry can succeed. */
    Duration retryAfter {};
};

/** Start-time fair queueing of client accounts before the upstreams of one service, measured in tokens of estimated
    work. Each request gets a start tag: the finish tag of its account's previous request, or the queue's virtual time
    if that is later. The request with the lowest tag starts first. A flood only delays its own account: requests of an
    account that uses less than its share start before it (docs/design/overload.md compares this with deficit round
    robin).

    The queue only makes decisions: the caller maps tickets to requests, and does the locking.
*/
class FairQueue
{
public:
    /** Sets the limits on concurrent requests.

        @returns tickets of queued requests that may start now
    */
    auto setWindow (const QueueWindow& slots, TimePoint now) -> std::vector<std::uint64_t>;

    /** Requests a slot.

        @param maxQueued  maximum number of queued requests per account
    */
    auto request (const QueuedRequest& queued, std::uint32_t maxQueued, TimePoint now) -> QueueResult;

    /** Releases a slot.

        @param account  of the request that held the slot
        @param took     how long the request held it
        @returns        tickets of queued requests that may start now
    */
    auto finish (const std::string& account, Duration took, TimePoint now) -> std::vector<std::uint64_t>;

    /** Removes a queued request.

        @returns false when it is not queued (any more)
    */
    auto withdraw (std::uint64_t ticket) -> bool;

    /** Removes queued requests whose deadline has passed.

        @returns their tickets
    */
    auto removeExpired (TimePoint now) -> std::vector<std::uint64_t>;

    /** @returns whether an account uses more slots than its weighted share among the active accounts. Its requests get
        a lower priority in the engines' own queues.
    */
    [[nodiscard]] auto isOverShare (const std::string& name) const -> bool;

    [[nodiscard]] auto waiting() const -> std::size_t { return waitingCount; }
    [[nodiscard]] auto running() const -> std::uint32_t { return runningCount; }

    /** @returns the estimated time that a new request of an account would wait, from the rate at which slots are
        released.
    */
    [[nodiscard]] auto expectedWait (const std::string& account) const -> Duration;

private:
    struct Entry
    {
        QueuedRequest request;
        /** Start tag in virtual time. */
        double startTag = 0.0;
    };

    struct Account
    {
        std::deque<Entry> queue;
        /** The virtual time at which the account's requested work ends. */
        double finishTag = 0.0;
        double weight = 1.0;
        std::uint32_t running = 0;
        TimePoint lastRequested {};
        /** Exponentially decaying mean of `running`. An account's share may be less than one slot, which its current
            number of slots can't show.
        */
        double meanRunning = 0.0;
        TimePoint meanRunningAt {};
        /** Number of its requests, decaying over `averagingTime`, as of `lastRequested`. */
        double recentRequests = 0.0;
        /** Mean time that its requests hold their slots, in seconds; 0 until one has ended. */
        double meanHoldSeconds = 0.0;
    };

    /** How long an account counts as active, and so has a share of the window, after its last request. */
    static constexpr auto activeTime = Duration (30s);
    /** Work that an account may request at once, in tokens per unit of its weight, before its requests queue behind
        those of accounts with a steady load.
    */
    static constexpr auto burstAllowance = 1000.0;
    /** Time constant of the averages of an account's running requests and of its request rate. */
    static constexpr auto averagingTime = Duration (10s);
    /** An account is flooding when its demand is more than this many times its share. */
    static constexpr auto floodFactor = 4.0;

    [[nodiscard]] auto earliestTag() const -> double { return virtualTime - burstAllowance; }
    [[nodiscard]] auto countAhead (double startTag) const -> std::size_t;
    [[nodiscard]] auto estimatedWait (std::size_t before) const -> Duration;
    auto startWaiting() -> std::vector<std::uint64_t>;
    auto recordStart (Account& account, double startTag) -> void;
    /** @returns the sum of the weights of all active accounts. */
    [[nodiscard]] auto activeWeights() const -> double;
    /** @returns an account's weighted share of the slots among the active accounts. */
    [[nodiscard]] auto shareOf (const Account& account, double weights) const -> double;
    [[nodiscard]] auto isActive (const Account& account) const -> bool;
    /** @returns whether an account's demand is more than `floodFactor` times its share of the slots. */
    [[nodiscard]] auto isFlooding (const Account& account, double weights) const -> bool;
    [[nodiscard]] auto meanRunningNow (const Account& account) const -> double;
    /** @returns the factor by which a value of an earlier time has decayed until now. */
    [[nodiscard]] auto decaySince (TimePoint time) const -> double;
    [[nodiscard]] auto decayedRequests (const Account& account) const -> double;
    auto changeRunning (Account& account, std::uint32_t running) -> void;
    [[nodiscard]] auto mayStart (const Account& account, double weights) const -> bool;
    auto eraseIdle() -> void;

    std::map<std::string, Account> accounts;
    double virtualTime = 0.0;
    QueueWindow window;
    /** The time passed to the last call. */
    TimePoint currentTime {};
    std::uint32_t runningCount = 0;
    std::size_t waitingCount = 0;
    /** Mean time that a request holds its slot, in seconds. */
    double meanSlotSeconds = 0.5;
};

} // namespace snowrudder
