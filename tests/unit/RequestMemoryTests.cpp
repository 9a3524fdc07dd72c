#include "snowrudder_net/snowrudder_net.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace snowrudder;

namespace
{

constexpr auto kibibyte = std::size_t { 1024 };
constexpr auto bound = 100 * kibibyte;

/** A connection that frees its bytes as soon as it is evicted. */
struct Holder
{
    Holder (RequestMemory& memory, const std::string& callers, TimePoint now)
        : group (callers), share (memory, [this] { ++evictions; })
    {
        share.begin (group, now);
    }

    std::string group;
    int evictions = 0;
    RequestMemory::Share share;
};

auto after (Duration time) -> TimePoint
{
    return TimePoint() + 1h + time;
}

} // namespace

TEST_CASE ("a group of callers holds half of the memory for requests at most")
{
    RequestMemory memory (bound);
    Holder first (memory, "account a", after (0s));
    Holder second (memory, "account a", after (1s));
    Holder other (memory, "account b", after (1s));
    CHECK (first.share.hold (30 * kibibyte, after (1s)));
    CHECK (other.share.hold (10 * kibibyte, after (1s)));
    CHECK (second.share.hold (20 * kibibyte, after (2s)));
    CHECK (first.evictions == 0);
    CHECK (second.share.hold (21 * kibibyte, after (2s)));
    CHECK (first.evictions == 1);
    CHECK (first.share.isEvicted());
    CHECK (other.evictions == 0);
    CHECK (memory.heldBytes() == 31 * kibibyte);
    CHECK_FALSE (first.share.hold (1, after (2s)));
}

TEST_CASE ("the request that has held most for longest makes room, one that is complete never")
{
    RequestMemory memory (bound);
    Holder complete (memory, "account a", after (0s));
    Holder large (memory, "account b", after (0s));
    Holder small (memory, "account b", after (0s));
    Holder late (memory, "account c", after (10s));
    REQUIRE (complete.share.hold (45 * kibibyte, after (1s)));
    complete.share.complete();
    REQUIRE (large.share.hold (25 * kibibyte, after (1s)));
    REQUIRE (small.share.hold (5 * kibibyte, after (1s)));
    CHECK (late.share.hold (30 * kibibyte, after (11s)));
    CHECK (large.evictions == 1);
    CHECK (small.evictions == 0);
    CHECK (complete.evictions == 0);
}

TEST_CASE ("a request is refused where only complete ones hold the memory")
{
    RequestMemory memory (bound);
    Holder a (memory, "account a", after (0s));
    Holder b (memory, "account b", after (0s));
    Holder c (memory, "account c", after (0s));
    REQUIRE (a.share.hold (50 * kibibyte, after (1s)));
    REQUIRE (b.share.hold (49 * kibibyte, after (1s)));
    a.share.complete();
    b.share.complete();
    CHECK_FALSE (c.share.hold (2 * kibibyte, after (2s)));
    CHECK (memory.refusals() == 1);
    CHECK (memory.heldBytes() == 99 * kibibyte);
    CHECK_FALSE (a.share.tryHold (51 * kibibyte));
    CHECK (a.share.tryHold (10 * kibibyte));
    CHECK (memory.heldBytes() == 59 * kibibyte);
}

TEST_CASE ("complete requests of a group don't make its incomplete ones give way to a crowd's")
{
    RequestMemory memory (bound);
    Holder complete (memory, "account a", after (0s));
    Holder upload (memory, "account a", after (5s));
    Holder crowd (memory, "address 1", after (0s));
    Holder asking (memory, "account c", after (9s));
    REQUIRE (complete.share.hold (45 * kibibyte, after (1s)));
    complete.share.complete();
    REQUIRE (upload.share.hold (1 * kibibyte, after (6s)));
    REQUIRE (crowd.share.hold (40 * kibibyte, after (6s)));
    CHECK (asking.share.hold (20 * kibibyte, after (10s)));
    CHECK (crowd.evictions == 1);
    CHECK (upload.evictions == 0);
}

TEST_CASE ("connections that wait for a request take no part of a group")
{
    RequestMemory memory (bound);
    std::vector<std::unique_ptr<Holder>> waiting;

    for (auto number = 0; number < 60; ++number)
    {
        waiting.push_back (std::make_unique<Holder> (memory, "account a", after (0s)));
        waiting.back()->share.end (kibibyte);
    }

    Holder request (memory, "account a", after (1s));
    CHECK (request.share.hold (30 * kibibyte, after (1s)));
}

TEST_CASE ("a request that turns out to belong to another group takes its bytes along")
{
    RequestMemory memory (bound);
    Holder holder (memory, "address 1", after (0s));
    REQUIRE (holder.share.hold (40 * kibibyte, after (0s)));
    holder.share.setGroup ("account a");
    Holder other (memory, "address 1", after (0s));
    CHECK (other.share.hold (40 * kibibyte, after (1s)));
    CHECK (holder.evictions == 0);
}

TEST_CASE ("requests of 10,000 random histories never hold more than the bound, and free all")
{
    for (auto seed = 0U; seed < 10'000U; ++seed)
    {
        std::mt19937 random (seed);
        const auto below = [&random] (unsigned limit) { return static_cast<int> (random() % limit); };
        RequestMemory memory (bound);
        std::vector<std::unique_ptr<Holder>> holders;
        auto now = after (0s);

        for (auto step = 0; step < 40; ++step)
        {
            now += std::chrono::milliseconds (below (500));

            if (holders.empty() || below (3) == 0)
                holders.push_back (
                    std::make_unique<Holder> (memory, "account " + std::to_string (below (4)), now));

            auto& holder =
                *holders[static_cast<std::size_t> (below (static_cast<unsigned> (holders.size())))];
            const auto bytes = static_cast<std::size_t> (below (40'000));

            switch (below (7))
            {
                case 6:
                    holder.share.end (std::min<std::size_t> (bytes, holder.share.bytes()));
                    break;
                case 0:
                    holder.share.complete();
                    break;
                case 1:
                    holder.share.setGroup ("account " + std::to_string (below (4)));
                    break;
                case 2:
                    static_cast<void> (holder.share.tryHold (bytes));
                    break;
                case 3:
                    holder.share.begin (holder.group, now);
                    break;
                default:
                    static_cast<void> (holder.share.hold (bytes, now));
            }

            REQUIRE (memory.heldBytes() <= bound);

            if (below (8) == 0)
                holders.erase (holders.begin());
        }

        holders.clear();
        REQUIRE (memory.heldBytes() == 0);
    }
}
