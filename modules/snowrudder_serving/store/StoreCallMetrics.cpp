#include "StoreCallMetrics.h"

namespace snowrudder
{

namespace
{

/** Figures of one kind of call. A watch waits for changes, so that its time tells nothing of the store. */
struct CallFigures
{
    Counter& calls;
    Counter& failures;
    TimeHistogram* times = nullptr;
};

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
auto counted (CallFigures figures, Task<Result> call) -> Task<Result>
{
    const auto began = SteadyClock::now();
    auto result = co_await std::move (call);
    const auto outcome = outcomeOf (result);
    figures.calls.add();

    if (outcome == StoreOutcome::unavailable || outcome == StoreOutcome::unknown)
        figures.failures.add();

    if (figures.times != nullptr)
        figures.times->add (SteadyClock::now() - began);

    co_return result;
}

} // namespace

auto withCallMetrics (StateStore store, Metrics& metrics) -> StateStore
{
    const auto waiting = [&metrics] (const std::string& kind)
    {
        return CallFigures { metrics.counter ("snowrudder_store_" + kind + "_total"),
                             metrics.counter ("snowrudder_store_calls_failed_total") };
    };

    const auto figures = [&] (const std::string& kind)
    {
        auto made = waiting (kind);
        made.times = &metrics.histogram ("snowrudder_store_call_seconds");
        return made;
    };

    StateStore made;
    made.read = [call = std::move (store.read), newest = figures ("reads"),
                 old = figures ("old_reads")] (std::string key, ReadFreshness age)
    { return counted (age == ReadFreshness::newest ? newest : old, call (std::move (key), age)); };
    made.list = [call = std::move (store.list), newest = figures ("lists"),
                 old = figures ("old_lists")] (std::string prefix, ReadFreshness age)
    { return counted (age == ReadFreshness::newest ? newest : old, call (std::move (prefix), age)); };
    made.watch = [call = std::move (store.watch),
                  of = waiting ("watches")] (std::string prefix, std::uint64_t after, Duration wait)
    { return counted (of, call (std::move (prefix), after, wait)); };
    made.commit = [call = std::move (store.commit), of = figures ("transactions")] (
                      StoreTransaction transaction) { return counted (of, call (std::move (transaction))); };
    made.grantLease = [call = std::move (store.grantLease), of = figures ("leases_granted")] (Duration length)
    { return counted (of, call (length)); };
    made.renewLease = [call = std::move (store.renewLease), of = figures ("leases_renewed")] (
                          std::uint64_t lease) { return counted (of, call (lease)); };
    made.endLease = [call = std::move (store.endLease), of = figures ("leases_ended")] (std::uint64_t lease)
    { return counted (of, call (lease)); };
    return made;
}

} // namespace snowrudder
