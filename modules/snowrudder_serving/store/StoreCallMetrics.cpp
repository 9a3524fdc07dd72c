#include "StoreCallMetrics.h"

namespace snowrudder
{

namespace
{

/** Metrics of one kind of call. Watches have no histogram, because their duration depends on changes, not on the store.
*/
struct CallMetrics
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

// The arguments are kept in the coroutine frame, as the function object that made the call may be destroyed before it
// ends.
template <typename Result>
auto measured (CallMetrics callMetrics, Task<Result> call) -> Task<Result>
{
    const auto began = BootClock::now();
    auto result = co_await std::move (call);
    const auto outcome = outcomeOf (result);
    callMetrics.calls.add();

    if (outcome == StoreOutcome::unavailable || outcome == StoreOutcome::unknown)
        callMetrics.failures.add();

    if (callMetrics.times != nullptr)
        callMetrics.times->add (BootClock::now() - began);

    co_return result;
}

} // namespace

auto withCallMetrics (StateStore store, Metrics& metrics) -> StateStore
{
    const auto countersOf = [&metrics] (const std::string& kind)
    {
        return CallMetrics { metrics.counter ("snowrudder_store_" + kind + "_total"),
                             metrics.counter ("snowrudder_store_calls_failed_total") };
    };

    const auto metricsOf = [&] (const std::string& kind)
    {
        auto made = countersOf (kind);
        made.times = &metrics.histogram ("snowrudder_store_call_seconds");
        return made;
    };

    StateStore made;
    made.read = [call = std::move (store.read), newest = metricsOf ("reads"),
                 old = metricsOf ("old_reads")] (std::string key, ReadFreshness age)
    { return measured (age == ReadFreshness::newest ? newest : old, call (std::move (key), age)); };
    made.listPage = [call = std::move (store.listPage), newest = metricsOf ("lists"),
                     old = metricsOf ("old_lists")] (std::string prefix, std::string after, ReadFreshness age)
    {
        return measured (age == ReadFreshness::newest ? newest : old,
                         call (std::move (prefix), std::move (after), age));
    };
    made.watch = [call = std::move (store.watch),
                  of = countersOf ("watches")] (std::string prefix, std::uint64_t after, WatchTimes times)
    { return measured (of, call (std::move (prefix), after, times)); };
    made.commit = [call = std::move (store.commit), of = metricsOf ("transactions")] (
                      StoreTransaction transaction) { return measured (of, call (std::move (transaction))); };
    made.grantLease = [call = std::move (store.grantLease), of = metricsOf ("leases_granted")] (
                          Duration length) { return measured (of, call (length)); };
    made.renewLease = [call = std::move (store.renewLease), of = metricsOf ("leases_renewed")] (
                          std::uint64_t lease) { return measured (of, call (lease)); };
    made.endLease = [call = std::move (store.endLease), of = metricsOf ("leases_ended")] (std::uint64_t lease)
    { return measured (of, call (lease)); };
    return made;
}

} // namespace snowrudder
