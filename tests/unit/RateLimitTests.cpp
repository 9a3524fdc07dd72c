#include "ServingFixtures.h"

#include "snowrudder_serving/members/DatagramCodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace snowrudder;
using namespace snowrudder::tests;

namespace
{

using Seconds = std::chrono::duration<double>;

/** All nodes of a fleet, which get requests that one replica could serve, each at random times. */
class LimitedFleet
{
public:
    LimitedFleet (std::size_t nodes, unsigned seed) : random (seed), limits (nodes) {}

    /** The replica states a limit, which all nodes learn within a second. */
    auto state (double perSecond) -> void
    {
        for (auto& limit : limits)
        {
            if (limit.perSecond <= 0.0)
            {
                limit.received = fraction();
                limit.countedAt = now;
            }

            limit.perSecond = perSecond;
            setOwnShare (limit, 1.0 / static_cast<double> (limits.size()), now);
        }
    }

    /** Plays requests at a rate a node.

        @returns the times of those sent to the replica
    */
    auto play (Duration time, double requestsPerNode) -> std::vector<TimePoint>
    {
        std::vector<TimePoint> sent;
        const auto end = now + time;
        const auto rate = requestsPerNode * static_cast<double> (limits.size());
        std::exponential_distribution<double> pause (rate);

        for (;;)
        {
            now += std::chrono::duration_cast<Duration> (Seconds (pause (random)));

            if (now >= end)
                break;

            auto& limit = limits[random() % limits.size()];

            if (! maySend (limit, now))
                continue;

            usePermission (limit, now);
            sent.push_back (now);
        }

        now = end;
        return sent;
    }

private:
    auto fraction() -> double { return std::uniform_real_distribution<double>() (random); }

    std::mt19937 random;
    std::vector<RateLimit> limits;
    TimePoint now = start;
};

auto mostInFourSeconds (const std::vector<TimePoint>& sent) -> double
{
    auto most = std::size_t { 0 };
    auto first = std::size_t { 0 };

    for (auto last = std::size_t { 0 }; last < sent.size(); ++last)
    {
        while (sent[last] - sent[first] >= 4s)
            ++first;

        most = std::max (most, last - first + 1);
    }

    return static_cast<double> (most);
}

auto allowedInFourSeconds (double perSecond) -> double
{
    return 1.5 * 4.0 * perSecond + 5.0;
}

constexpr auto requestsPerNode = 4.0;

} // namespace

TEST_CASE ("nodes send a replica no more than its stated limit allows, and most of it")
{
    for (const auto nodes :
         { std::size_t { 7 }, std::size_t { 83 }, std::size_t { 295 }, std::size_t { 986 } })
        for (const auto limit : { 0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 50.0, 200.0 })
        {
            CAPTURE (nodes, limit);
            auto sent = std::size_t { 0 };
            constexpr auto time = Duration (40s);
            constexpr auto seeds = 10U;

            for (auto seed = 1U; seed <= seeds; ++seed)
            {
                CAPTURE (seed);
                LimitedFleet fleet (nodes, seed);
                fleet.state (limit);
                const auto times = fleet.play (time, requestsPerNode);
                CHECK (mostInFourSeconds (times) <= allowedInFourSeconds (limit));
                sent += times.size();
            }

            const auto possible = std::min (limit, requestsPerNode * static_cast<double> (nodes));
            const auto used = static_cast<double> (sent) / (Seconds (time * seeds).count() * possible);

            // Of smaller limits too few requests are made to tell.
            if (limit >= 0.5)
                CHECK (used >=
                       (limit >= 5.0 && limit < requestsPerNode * static_cast<double> (nodes) ? 0.8 : 0.5));
        }
}

TEST_CASE ("a replica's limit is kept after it falls, and when demand begins after a time without any")
{
    for (const auto nodes : { std::size_t { 7 }, std::size_t { 986 } })
        for (auto seed = 1U; seed <= 20; ++seed)
        {
            CAPTURE (nodes, seed);
            LimitedFleet fleet (nodes, seed);
            fleet.state (50.0);
            fleet.play (10s, requestsPerNode);
            fleet.state (2.0);
            fleet.play (3s, requestsPerNode);
            CHECK (mostInFourSeconds (fleet.play (20s, requestsPerNode)) <= allowedInFourSeconds (2.0));
            fleet.state (20.0);
            fleet.play (100s, 0.001);
            CHECK (mostInFourSeconds (fleet.play (10s, requestsPerNode)) <= allowedInFourSeconds (20.0));
        }
}

TEST_CASE ("a replica that may be sent nothing is not chosen, and its limit ends when it states none")
{
    ReplicaTable table;
    ListedReplica listed;
    listed.info.name = "one";
    listed.info.service = "model";
    table.update ({ listed }, start);
    const auto hash = replicaHash ("one");
    const auto take = [&table] (TimePoint now)
    {
        const auto taken = table.take ("model", {}, {}, now);

        if (taken)
            table.release (taken->ticket, AttemptHealth::good, now);

        return taken.has_value();
    };

    CHECK (take (start));
    CHECK (table.recordRateLimit (hash, 1.0, start, start));
    CHECK_FALSE (table.recordRateLimit (hash, 1.0, start + 1ms, start + 1ms));
    // An older statement that another node forwards.
    CHECK_FALSE (table.recordRateLimit (hash, std::nullopt, start, start + 2ms));
    CHECK (table.rateLimit (hash) == Approx (1.0));

    auto sent = 0;

    for (auto now = start; now < start + 20s; now += 10ms)
        sent += take (now) ? 1 : 0;

    CHECK (sent >= 11);
    CHECK (sent <= 13);
    // Uses the permission that may have come since the last request: its times begin at random.
    take (start + 20s);
    REQUIRE (table.retryDelay ("model", std::nullopt, start + 20s));
    CHECK (*table.retryDelay ("model", std::nullopt, start + 20s) > 1s);
    // While no replica may be used, requests are not queued for one.
    CHECK (table.capacity ("model", start + 20s).slots > 0.0);

    CHECK (table.recordRateLimit (hash, std::nullopt, start + 20s, start + 20s));
    CHECK (take (start + 20s));
    CHECK (take (start + 20s));
    CHECK_FALSE (table.retryDelay ("model", std::nullopt, start + 20s));
}

TEST_CASE ("stated limits reach other nodes together with loads, before the loads of other replicas")
{
    SharedLoads loads;
    SharedLoad limited { 7, 3, 0, 100ms };
    limited.rateLimit = 0.5;
    limited.hasLoad = false;
    CHECK (loads.record (limited, true, start));

    for (auto number = 0U; number < 2 * SharedLoads::maxLoads; ++number)
        loads.record ({ 100 + number, 1, 0, 0ms }, true, start);

    const auto recent = loads.recent (start);
    CHECK (recent.size() == SharedLoads::maxLoads);
    const auto message = decodeMessage (encodeMessage (LoadNotice { "one", recent }, "secret"), "secret");
    REQUIRE (message);
    const auto& read = std::get<LoadNotice> (*message).loads;
    const auto found = std::ranges::find (read, 7U, &SharedLoad::replica);
    REQUIRE (found != read.end());
    CHECK (found->rateLimit == Approx (0.5));
    CHECK_FALSE (found->hasLoad);
    CHECK (std::ranges::count_if (read, [] (const SharedLoad& load) { return load.rateLimit.has_value(); }) ==
           1);
}
