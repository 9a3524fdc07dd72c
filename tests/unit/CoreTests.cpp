#include "snowrudder_core/snowrudder_core.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

TEST_CASE ("every error kind has its row")
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

TEST_CASE ("a UUIDv7 keeps its time and reads back")
{
    const auto time = WallTime (std::chrono::milliseconds (1'796'213'474'123));
    const auto uuid = makeUuid (time);
    CHECK (timeOf (uuid) == time);
    CHECK (parseUuid (toString (uuid)) == uuid);
    CHECK (makeUuid (time) != uuid);
}

TEST_CASE ("what is no UUIDv7 is refused")
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

TEST_CASE ("a request identifier names its router")
{
    const RequestId id { "entry-1", makeUuid (wallTimeNow()) };
    CHECK (parseRequestId (toString (id)) == id);
    CHECK_FALSE (parseRequestId ("Entry.01a236aa-846a-7eae-8a4a-2bdabcca12cf").has_value());
    CHECK_FALSE (parseRequestId ("entry-1").has_value());
}

TEST_CASE ("a time histogram finds its quantiles within a bin")
{
    TimeHistogram histogram;

    for (auto value = 1; value <= 1000; ++value)
        histogram.add (std::chrono::milliseconds (value));

    CHECK (inMilliseconds (histogram.quantile (0.5)) == Approx (500).epsilon (0.025));
    CHECK (inMilliseconds (histogram.quantile (0.99)) == Approx (990).epsilon (0.025));
    CHECK (histogram.count() == 1000);
}

TEST_CASE ("figures are written as Prometheus text")
{
    Metrics metrics;
    metrics.counter ("a_total", "kind=\"x\"").add (2);
    CHECK (metrics.text() == "# TYPE a_total counter\na_total{kind=\"x\"} 2\n");
}
