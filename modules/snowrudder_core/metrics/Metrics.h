#pragma once

#include "../time/Time.h"

#include <boost/histogram.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowrudder
{

/** A monotonically increasing count. Thread-safe. */
class Counter
{
public:
    auto add (std::uint64_t amount = 1) -> void { count.fetch_add (amount, std::memory_order_relaxed); }
    [[nodiscard]] auto value() const -> std::uint64_t { return count.load (std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> count { 0 };
};

/** A number that can increase and decrease. Thread-safe. */
class Gauge
{
public:
    auto add (std::int64_t amount) -> void { level.fetch_add (amount, std::memory_order_relaxed); }
    auto set (std::int64_t amount) -> void { level.store (amount, std::memory_order_relaxed); }
    [[nodiscard]] auto value() const -> std::int64_t { return level.load (std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> level { 0 };
};

/** A histogram of durations on a logarithmic axis from 10 microseconds to 1,000 seconds, with 100 bins per decade. Any
    thread may add entries.
*/
class TimeHistogram
{
public:
    TimeHistogram();

    auto add (Duration duration) -> void;

    /** @returns the duration that a fraction of all entries doesn't exceed, to the width of a bin (2.4%).

        @param fraction  from 0 to 1
    */
    [[nodiscard]] auto quantile (double fraction) const -> Duration;

    [[nodiscard]] auto count() const -> std::uint64_t { return entries.load (std::memory_order_relaxed); }

    /** @returns the sum of all entries. */
    [[nodiscard]] auto sum() const -> Duration;

    /** Calls visit (upperBound, cumulativeCount) for each bucket of binsPerBucket bins, in ascending order. */
    template <typename Visitor>
    auto forEachBucket (Visitor&& visit) const -> void
    {
        auto cumulative = std::uint64_t { 0 };
        const auto& axis = histogram.axis();

        for (auto index = -1; index < axis.size(); ++index)
        {
            cumulative += static_cast<std::uint64_t> (histogram.at (index).value());

            if (index >= 0 && index % binsPerBucket == binsPerBucket - 1)
                visit (axis.bin (index).upper(), cumulative);
        }
    }

private:
    static constexpr auto binsPerBucket = 50;

    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Cell = boost::histogram::accumulators::count<std::uint64_t, true>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Cell>>;

    Histogram histogram;
    std::atomic<std::uint64_t> entries { 0 };
    std::atomic<std::int64_t> total { 0 };
};

/** All metrics of a process, by name and labels. Metrics are never removed, so callers keep references and update them
    without a lock. The lock protects the lists only.
*/
class Metrics
{
public:
    /** @param name    the metric's Prometheus name
        @param labels  the labels in Prometheus' format, such as `kind="overloaded"`; may be empty
        @returns       the metric, which is created on first use
    */
    auto counter (std::string_view name, std::string_view labels = {}) -> Counter&;
    auto gauge (std::string_view name, std::string_view labels = {}) -> Gauge&;
    auto histogram (std::string_view name, std::string_view labels = {}) -> TimeHistogram&;

    /** @returns all metrics in Prometheus' text format. */
    [[nodiscard]] auto text() const -> std::string;

private:
    template <typename Metric>
    struct Entry
    {
        std::string name;
        std::string labels;
        Metric metric;
    };

    template <typename Metric>
    auto find (std::deque<Entry<Metric>>& entries, std::string_view name, std::string_view labels) -> Metric&;

    mutable std::mutex mutex;
    std::deque<Entry<Counter>> counters;
    std::deque<Entry<Gauge>> gauges;
    std::deque<Entry<TimeHistogram>> histograms;
};

} // namespace snowrudder
