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

/** One request that waits for a place before a service's upstreams. */
struct QueuedRequest
{
    std::uint64_t ticket = 0;
    std::string account;
    /** Share against other accounts. */
    std::uint32_t weight = 1;
    /** Estimated work, in tokens. */
    double cost = 1.0;
    /** When waiting has lost its sense. */
    TimePoint deadline {};
};

/** How many requests may be at the upstreams at once. */
struct QueueWindow
{
    std::uint32_t slots = 1;
    /** Of these, as many as may be taken when an account that floods gets one. The rest stays free for the others. */
    std::uint32_t slotsUnderFlood = 1;
};

/** What became of a request that asked for a place. */
enum class QueueAction
{
    /** It has a place now. */
    start,
    /** It waits. */
    wait,
    /** It was turned away: it could not be served in time. */
    refuse
};

struct QueueResult
{
    QueueAction action = QueueAction::refuse;
    /** An honest guess of when to come back, where it was refused. */
    Duration retryAfter {};
};

/** Start-time fair queueing over client accounts, in tokens of estimated work, before the upstreams of one service. Each
    request gets a start tag: where its account's work ends, or the queue's virtual time if that is later. The least tag
    starts first. An account's flood stands behind its own work: an account that asks for less than its share starts
    before it (docs/design/overload.md compares this with deficit round robin).

    Plain decisions: the caller keeps what a ticket stands for, and the lock.
*/
class FairQueue
{
public:
    /** Sets how many requests may be at the upstreams at once.

        @returns tickets that may start now
    */
    auto setWindow (const QueueWindow& slots, TimePoint now) -> std::vector<std::uint64_t>;

    /** Asks for a place.

        @param maxQueued  an account's longest queue
    */
    auto request (const QueuedRequest& wanted, std::uint32_t maxQueued, TimePoint now) -> QueueResult;

    /** Gives a place back.

        @param account  of the request that had it
        @param took     how long it had it
        @returns        tickets that may start now
    */
    auto finish (const std::string& account, Duration took, TimePoint now) -> std::vector<std::uint64_t>;

    /** Takes a waiting request out.

        @returns false when it does not wait (any more)
    */
    auto withdraw (std::uint64_t ticket) -> bool;

    /** @returns tickets whose deadline has passed; they no longer wait. */
    auto removeExpired (TimePoint now) -> std::vector<std::uint64_t>;

    /** @returns whether an account has more places than its weight gives it among those that asked lately. Its requests
        go behind the others' in the engines' own queues.
    */
    [[nodiscard]] auto isOverShare (const std::string& name) const -> bool;

    [[nodiscard]] auto waiting() const -> std::size_t { return waitingCount; }
    [[nodiscard]] auto running() const -> std::uint32_t { return runningCount; }

    /** @returns how long a request of an account would wait now, from how fast places come free. */
    [[nodiscard]] auto expectedWait (const std::string& account) const -> Duration;

private:
    struct Entry
    {
        QueuedRequest request;
        /** In virtual time. */
        double startTag = 0.0;
    };

    struct Account
    {
        std::deque<Entry> queue;
        /** Where the account's work ends in virtual time. */
        double finishTag = 0.0;
        double weight = 1.0;
        std::uint32_t running = 0;
        TimePoint lastRequested {};
        /** Mean of `running` over the last few seconds: a share may be less than one place. */
        double meanRunning = 0.0;
        TimePoint meanRunningAt {};
        /** Requests that it asked for, up to `lastRequested`, fading over `averagingTime`. */
        double recentRequests = 0.0;
        /** Mean time that a request of it has its place. */
        double meanHoldSeconds = 0.0;
    };

    /** An account counts among those that share the window for this long after it asked for a place. */
    static constexpr auto activeTime = Duration (30s);
    /** Work that an account may ask for at once, in tokens for each unit of its weight, before its requests stand behind
        those of accounts that ask steadily.
    */
    static constexpr auto burstAllowance = 1000.0;
    /** Over which an account's running requests, and those that it asks for, are averaged. */
    static constexpr auto averagingTime = Duration (10s);
    /** An account floods when it asks for this many times its share. */
    static constexpr auto floodFactor = 4.0;

    [[nodiscard]] auto earliestTag() const -> double { return virtualTime - burstAllowance; }
    [[nodiscard]] auto countAhead (double startTag) const -> std::size_t;
    [[nodiscard]] auto estimatedWait (std::size_t before) const -> Duration;
    auto startWaiting() -> std::vector<std::uint64_t>;
    auto recordStart (Account& account, double startTag) -> void;
    /** @returns the weights of all active accounts together. */
    [[nodiscard]] auto activeWeights() const -> double;
    /** @returns the places that an account's weight gives it among the active ones. */
    [[nodiscard]] auto shareOf (const Account& account, double weights) const -> double;
    [[nodiscard]] auto isActive (const Account& account) const -> bool;
    /** @returns whether an account asks for several times its share of places. */
    [[nodiscard]] auto isFlooding (const Account& account, double weights) const -> bool;
    [[nodiscard]] auto meanRunningNow (const Account& account) const -> double;
    /** @returns what is left of a count made at a time, as it fades over `averagingTime`. */
    [[nodiscard]] auto decaySince (TimePoint time) const -> double;
    [[nodiscard]] auto decayedRequests (const Account& account) const -> double;
    auto changeRunning (Account& account, std::uint32_t running) -> void;
    [[nodiscard]] auto mayStart (const Account& account, double weights) const -> bool;
    auto eraseIdle() -> void;

    std::map<std::string, Account> accounts;
    double virtualTime = 0.0;
    QueueWindow window;
    /** The latest time that any call told. */
    TimePoint currentTime {};
    std::uint32_t runningCount = 0;
    std::size_t waitingCount = 0;
    /** Mean time that a request has its place. */
    double meanSeconds = 0.5;
};

} // namespace snowrudder
