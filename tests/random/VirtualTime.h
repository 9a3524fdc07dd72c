#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace snowrudder
{

/** A broken guarantee or invariant that was found by a randomised run. */
struct Violation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** Makes violated invariants of the production code throw a Violation instead of ending the process. */
inline auto throwOnViolation() -> void
{
    setInvariantHandler ([] (std::string_view name) { throw Violation (std::string (name)); });
}

/** Throws a Violation when the condition is false. */
inline auto expect (bool condition, const std::string& message) -> void
{
    if (! condition)
        throw Violation (message);
}

/** A virtual clock with an ordered queue of events, and the run's only random generator, so that a seed can be replayed
    exactly.
*/
class VirtualTime
{
public:
    VirtualTime (std::uint64_t seed, std::size_t maxEvents) : random (seed), remainingEvents (maxEvents) {}

    [[nodiscard]] auto now() const -> TimePoint { return time; }

    /** @returns the wall time of a node whose clock has an offset. */
    [[nodiscard]] auto wallNow (std::chrono::milliseconds offset = {}) const -> WallTime
    {
        constexpr auto begin = WallTime (std::chrono::milliseconds (1'800'000'000'000));
        return begin + std::chrono::floor<std::chrono::milliseconds> (time.time_since_epoch()) + offset;
    }

    auto after (Duration delay, std::function<void()> event) -> void
    {
        queue.push ({ time + std::max (delay, Duration::zero()), nextNumber++, std::move (event) });
    }

    /** Runs events until none is left, `length` has passed, or the maximum number of events is reached. */
    auto run (Duration length) -> void
    {
        const auto end = time + length;

        while (! queue.empty() && queue.top().time <= end && remainingEvents > 0)
        {
            const auto event = queue.top();
            queue.pop();
            time = event.time;
            --remainingEvents;
            event.action();
        }

        time = end;
    }

    /** @returns a random integer from `minimum` to `maximum`, both included. */
    auto draw (std::int64_t minimum, std::int64_t maximum) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t> (minimum, maximum) (random);
    }

    auto drawTime (Duration minimum, Duration maximum) -> Duration
    {
        return Duration (draw (minimum.count(), maximum.count()));
    }

    /** @returns true with the given probability. */
    auto chance (double probability) -> bool
    {
        return std::uniform_real_distribution<double> (0.0, 1.0) (random) < probability;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number = 0;
        std::function<void()> action;

        friend auto operator<(const Event& first, const Event& second) -> bool
        {
            return std::pair (second.time, second.number) < std::pair (first.time, first.number);
        }
    };

    TimePoint time { std::chrono::hours (1) };
    std::mt19937_64 random;
    std::size_t remainingEvents;
    std::uint64_t nextNumber = 0;
    std::priority_queue<Event> queue;
};

} // namespace snowrudder
