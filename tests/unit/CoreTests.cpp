#include "snowrudder_core/snowrudder_core.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

TEST_CASE ("every error kind has a row in the error table")
{
    for (auto value = static_cast<int> (ErrorKind::invalidRequest);
         value <= static_cast<int> (ErrorKind::internal); ++value)
    {
        const auto& description = errorDescription (static_cast<ErrorKind> (value));
        CHECK (static_cast<int> (description.kind) == value);
        CHECK (description.status >= 400);
        CHECK_FALSE (description.name.empty());
    }
}

TEST_CASE ("a UUIDv7 contains its time and can be parsed back")
{
    const auto time = WallTime (std::chrono::milliseconds (1'796'213'474'123));
    const auto uuid = makeUuid (time);
    CHECK (timeOf (uuid) == time);
    CHECK (parseUuid (toString (uuid)) == uuid);
    CHECK (makeUuid (time) != uuid);
}

TEST_CASE ("text that is not a UUIDv7 is rejected")
{
    for (const auto* text :
         { "", "x", "01a236aa-846a-4eae-8a4a-2bdabcca12cf", "01a236aa-846a-7eae-0a4a-2bdabcca12cf",
           "01a236aa_846a-7eae-8a4a-2bdabcca12cf", "01a236aa-846a-7eae-8a4a-2bdabcca12cfa",
           "g1a236aa-846a-7eae-8a4a-2bdabcca12cf" })
    {
        INFO (text);
        CHECK_FALSE (parseUuid (text).has_value());
    }
}

TEST_CASE ("a request identifier contains the name of its router")
{
    const RequestId id { "entry-1", makeUuid (wallTimeNow()) };
    CHECK (parseRequestId (toString (id)) == id);
    CHECK_FALSE (parseRequestId ("Entry.01a236aa-846a-7eae-8a4a-2bdabcca12cf").has_value());
    CHECK_FALSE (parseRequestId ("entry-1").has_value());
}

TEST_CASE ("quantiles of a time histogram are accurate to the width of a bin")
{
    TimeHistogram histogram;

    for (auto value = 1; value <= 1000; ++value)
        histogram.add (std::chrono::milliseconds (value));

    CHECK (inMilliseconds (histogram.quantile (0.5)) == Approx (500).epsilon (0.025));
    CHECK (inMilliseconds (histogram.quantile (0.99)) == Approx (990).epsilon (0.025));
    CHECK (histogram.count() == 1000);
}

TEST_CASE ("metrics are written in the Prometheus text format")
{
    Metrics metrics;
    metrics.counter ("a_total", "kind=\"x\"").add (2);
    CHECK (metrics.text() == "# TYPE a_total counter\na_total{kind=\"x\"} 2\n");
}

namespace
{

/** @returns a reading of clocks that both began at zero, after a time awake and a time suspended. */
auto readingAfter (std::chrono::milliseconds awake,
                   std::chrono::milliseconds suspended,
                   std::chrono::milliseconds readingTime = 0ms) -> ClockReading
{
    ClockReading reading;
    reading.before += awake;
    reading.boot += awake + suspended;
    reading.after += awake + readingTime;
    return reading;
}

} // namespace

TEST_CASE ("a suspension is the step of the boot clock against the clock that stands still meanwhile")
{
    SuspensionWatch watch;
    CHECK (takeSuspension (watch, readingAfter (1s, 5s)) == 0s);
    CHECK (takeSuspension (watch, readingAfter (2s, 5s)) == 0s);
    CHECK (takeSuspension (watch, readingAfter (2100ms, 8s)) == 3s);
    CHECK (takeSuspension (watch, readingAfter (60s, 8s)) == 0s);
}

TEST_CASE ("a reading of the clocks that was interrupted is no suspension, and hides none")
{
    SuspensionWatch watch;
    takeSuspension (watch, readingAfter (1s, 0s));
    CHECK (takeSuspension (watch, readingAfter (2s, 30ms, 30ms)) == 0s);
    CHECK (takeSuspension (watch, readingAfter (3s, 0s)) == 0s);
    CHECK (takeSuspension (watch, readingAfter (4s, 4s, 30ms)) == 0s);
    CHECK (takeSuspension (watch, readingAfter (5s, 4s)) == 4s);
}
