#include "CountedStore.h"

#include <memory>

namespace snowrudder
{

namespace
{

/** Figures of one kind of call. */
struct CallFigures
{
    CallFigures (Metrics& metrics, const std::string& kind)
        : calls (metrics.counter ("snowrudder_store_" + kind + "_total")),
          failures (metrics.counter ("snowrudder_store_calls_failed_total")),
          times (metrics.histogram ("snowrudder_store_call_seconds"))
    {
    }

    auto note (StoreOutcome outcome) -> void
    {
        calls.add();

        if (outcome == StoreOutcome::unavailable || outcome == StoreOutcome::unknown)
            failures.add();
    }

    Counter& calls;
    Counter& failures;
    TimeHistogram& times;
};

using Figures = std::shared_ptr<CallFigures>;

auto outcomeOf (StoreOutcome outcome) -> StoreOutcome
{
    return outcome;
}

template <typename Result>
auto outcomeOf (const Result& result) -> StoreOutcome
{
    return result.outcome;
}

// The arguments live in the coroutine's own frame: the function object that made the call may be gone meanwhile.
template <typename Result>
auto timed (Figures figures, Task<Result> call) -> Task<Result>
{
    const auto began = SteadyClock::now();
    auto result = co_await std::move (call);
    figures->note (outcomeOf (result));
    figures->times.add (SteadyClock::now() - began);
    co_return result;
}

template <typename Result>
auto counted (Figures figures, Task<Result> call) -> Task<Result>
{
    auto result = co_await std::move (call);
    figures->note (outcomeOf (result));
    co_return result;
}

} // namespace

auto countCalls (StateStore store, Metrics& metrics) -> StateStore
{
    const auto figures = [&metrics] (const std::string& kind)
    { return std::make_shared<CallFigures> (metrics, kind); };

    StateStore made;
    made.read = [call = std::move (store.read), of = figures ("reads")] (std::string key)
    { return timed (of, call (std::move (key))); };
    made.list = [call = std::move (store.list), newest = figures ("lists"),
                 old = figures ("old_lists")] (std::string prefix, ListAge age)
    { return timed (age == ListAge::newest ? newest : old, call (std::move (prefix), age)); };
    made.watch = [call = std::move (store.watch),
                  of = figures ("watches")] (std::string prefix, std::uint64_t after, Duration wait)
    { return counted (of, call (std::move (prefix), after, wait)); };
    made.commit = [call = std::move (store.commit), of = figures ("transactions")] (
                      StoreTransaction transaction) { return timed (of, call (std::move (transaction))); };
    made.grantLease = [call = std::move (store.grantLease), of = figures ("leases_granted")] (Duration length)
    { return timed (of, call (length)); };
    made.renewLease = [call = std::move (store.renewLease), of = figures ("leases_renewed")] (
                          std::uint64_t lease) { return timed (of, call (lease)); };
    made.endLease = [call = std::move (store.endLease), of = figures ("leases_ended")] (std::uint64_t lease)
    { return timed (of, call (lease)); };
    return made;
}

} // namespace snowrudder
