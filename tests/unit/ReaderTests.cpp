#include "ServingFixtures.h"

#include "snowrudder_serving/members/DatagramCodec.h"
#include "snowrudder_serving/members/Readers.h"

#include <catch2/catch.hpp>

using namespace snowrudder;
using namespace snowrudder::tests;

TEST_CASE ("the newest load of a replica is kept, forwarded once, and removed when it is old")
{
    SharedLoads loads;
    CHECK (loads.record ({ 7, 3, 0, 100ms }, true, start));
    CHECK_FALSE (loads.record ({ 7, 9, 9, 200ms }, true, start));
    CHECK (loads.record ({ 8, 1, 0, 0ms }, false, start));
    CHECK_FALSE (loads.record ({ 9, 1, 0, 2s }, true, start));

    const auto forwarded = loads.takeForwardable (start + 50ms);
    REQUIRE (forwarded.size() == 1);
    CHECK (forwarded.front().running == 3);
    CHECK (forwarded.front().age == 150ms);
    CHECK (loads.takeForwardable (start + 50ms).empty());
    CHECK (loads.recent (start + 50ms).size() == 2);
    CHECK (loads.recent (start + 2s).empty());

    const auto message = decodeMessage (encodeMessage (LoadNotice { "one", forwarded }, "secret"), "secret");
    REQUIRE (message);
    const auto* notice = std::get_if<LoadNotice> (&*message);
    REQUIRE (notice != nullptr);
    CHECK (notice->loads.front().replica == 7);
    CHECK (notice->loads.front().age == 150ms);
}

TEST_CASE ("a prompt that a replica has to process is announced in a datagram of its own")
{
    const auto message =
        decodeMessage (encodeMessage (PromptNotice { "one", 77, 12'000.0 }, "secret"), "secret");
    REQUIRE (message);
    const auto* notice = std::get_if<PromptNotice> (&*message);
    REQUIRE (notice != nullptr);
    CHECK (notice->node == "one");
    CHECK (notice->replica == 77);
    CHECK (notice->tokens == Approx (12'000.0));
}

TEST_CASE ("two nodes of each failure domain are readers, and all nodes choose the same ones")
{
    std::map<std::string, MemberInfo> members;

    for (auto number = 0; number < 40; ++number)
        members["node-" + std::to_string (number)] = { "10.0.0.1:7600", number % 4 == 0 ? "a" : "b" };

    members["alone"] = { "10.0.0.9:7600", "c" };
    const auto readers = chooseReaders (members);
    CHECK (readers.at ("a").size() == minReadersPerDomain);
    CHECK (readers.at ("b").size() == minReadersPerDomain);
    CHECK (readers.at ("c") == std::vector<std::string> { "alone" });

    // A reader that leaves is replaced, the other one is kept.
    const auto removed = readers.at ("b").front();
    const auto kept = readers.at ("b").back();
    members.erase (removed);
    CHECK (chooseReaders (members).at ("b").front() == kept);

    const auto read = parseMember (formatMember ({ "10.0.0.1:7600", "launceston" }));
    CHECK (read.endpoint == "10.0.0.1:7600");
    CHECK (read.failureDomain == "launceston");
    CHECK (parseMember ("10.0.0.1:7600").failureDomain.empty());
}
