#include "Metrics.h"

#include <set>
#include <sstream>

namespace snowrudder
{

namespace
{

constexpr auto smallestSeconds = 1e-5;
constexpr auto largestSeconds = 1e3;
constexpr auto binCount = 800;

auto writeType (std::ostream& out, std::set<std::string>& seen, const std::string& name, const char* type)
    -> void
{
    if (seen.insert (name).second)
        out << "# TYPE " << name << ' ' << type << '\n';
}

auto formatLabels (const std::string& labels) -> std::string
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

} // namespace

TimeHistogram::TimeHistogram()
    : histogram (std::make_tuple (Axis (binCount, smallestSeconds, largestSeconds)))
{
}

auto TimeHistogram::add (Duration duration) -> void
{
    histogram (std::chrono::duration<double> (duration).count());
    entries.fetch_add (1, std::memory_order_relaxed);
    total.fetch_add (duration.count(), std::memory_order_relaxed);
}

auto TimeHistogram::sum() const -> Duration
{
    return Duration (total.load (std::memory_order_relaxed));
}

auto TimeHistogram::quantile (double fraction) const -> Duration
{
    const auto targetCount = fraction * static_cast<double> (count());
    auto seen = 0.0;
    const auto& axis = histogram.axis();

    for (auto index = -1; index <= axis.size(); ++index)
    {
        seen += static_cast<double> (histogram.at (index).value());

        if (seen >= targetCount && seen > 0.0)
        {
            const auto upper = index < axis.size() ? axis.bin (index).upper() : largestSeconds;
            return std::chrono::duration_cast<Duration> (std::chrono::duration<double> (upper));
        }
    }

    return Duration::zero();
}

template <typename Metric>
auto Metrics::find (std::deque<Entry<Metric>>& entries, std::string_view name, std::string_view labels)
    -> Metric&
{
    const std::lock_guard lock (mutex);

    for (auto& entry : entries)
        if (entry.name == name && entry.labels == labels)
            return entry.metric;

    auto& entry = entries.emplace_back();
    entry.name = name;
    entry.labels = labels;
    return entry.metric;
}

auto Metrics::counter (std::string_view name, std::string_view labels) -> Counter&
{
    return find (counters, name, labels);
}

auto Metrics::gauge (std::string_view name, std::string_view labels) -> Gauge&
{
    return find (gauges, name, labels);
}

auto Metrics::histogram (std::string_view name, std::string_view labels) -> TimeHistogram&
{
    return find (histograms, name, labels);
}

auto Metrics::text() const -> std::string
{
    const std::lock_guard lock (mutex);
    std::ostringstream out;
    std::set<std::string> seen;

    for (const auto& entry : counters)
    {
        writeType (out, seen, entry.name, "counter");
        out << entry.name << formatLabels (entry.labels) << ' ' << entry.metric.value() << '\n';
    }

    for (const auto& entry : gauges)
    {
        writeType (out, seen, entry.name, "gauge");
        out << entry.name << formatLabels (entry.labels) << ' ' << entry.metric.value() << '\n';
    }

    for (const auto& entry : histograms)
    {
        writeType (out, seen, entry.name, "histogram");
        const auto separator = entry.labels.empty() ? "" : ",";

        entry.metric.forEachBucket (
            [&] (double upper, std::uint64_t cumulative)
            {
                out << entry.name << "_bucket{" << entry.labels << separator << "le=\"" << upper << "\"} "
                    << cumulative << '\n';
            });

        const auto seconds = std::chrono::duration<double> (entry.metric.sum()).count();
        out << entry.name << "_bucket{" << entry.labels << separator << "le=\"+Inf\"} "
            << entry.metric.count() << '\n'
            << entry.name << "_sum" << formatLabels (entry.labels) << ' ' << seconds << '\n'
            << entry.name << "_count" << formatLabels (entry.labels) << ' ' << entry.metric.count() << '\n';
    }

    return out.str();
}

} // namespace snowrudder
