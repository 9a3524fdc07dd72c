#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_serving/crashes/CrashProof.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

namespace
{

const auto start = TimePoint() + std::chrono::hours (1);

/** A body that every caller sends runs on all of a service's replicas. Its answers are cut, and the entries of some replicas lapse;
    those live on.

    @param crashed  replicas, the last ones, that have crashed indeed
    @returns        what is known of the body afterwards
*/
auto judgeAfterLapse (std::size_t replicas, std::size_t lapsed, std::size_t crashed) -> CrashJudgement
{
    CrashTable table;
    const auto body = fingerprintOf ("secret", { "alpha", "POST", "one.example", "/poll", "the same" });
    auto now = start;

    for (auto number = std::size_t { 0 }; number < replicas; ++number)
    {
        now += 100ms;
        const auto listing = number < lapsed ? ReplicaListing::unlisted : ReplicaListing::listed;
        const auto address = number >= replicas - crashed ? EndpointState::refuses : EndpointState::accepts;

        if (! crashProof (listing, address).empty())
            table.noteCrash (body, "alpha", { number + 1, now, true });
    }

    return table.judge (body, now + 5s);
}

} // namespace

TEST_CASE ("Only an address that is down, or has another replica, proves a crash")
{
    CHECK (crashProof (ReplicaListing::listed, EndpointState::refuses) == "connection_refused");
    CHECK (crashProof (ReplicaListing::replaced, EndpointState::accepts) == "address_taken_over");
    CHECK (crashProof (ReplicaListing::unlisted, EndpointState::refuses) == "entry_gone");
    CHECK (crashProof (ReplicaListing::unlisted, EndpointState::closes) == "entry_gone");

    for (const auto address : { EndpointState::accepts, EndpointState::silent })
    {
        CHECK (crashProof (ReplicaListing::unlisted, address).empty());
        CHECK (crashProof (ReplicaListing::listed, address).empty());
    }

    // A link that is reset closes connections too, and a replica that leaves ends by plan.
    CHECK (crashProof (ReplicaListing::listed, EndpointState::closes).empty());
    CHECK (crashProof (ReplicaListing::leaving, EndpointState::refuses).empty());
}

// All entries lapse while the store is away. Each was taken for a crash, and what every caller sends was refused at all nodes
// (`request_stopped proof=entry_gone crashes=3`).
TEST_CASE ("A body that every caller sends is not suspected where entries lapse beside cut answers")
{
    constexpr auto replicas = std::size_t { 12 };

    for (const auto lapsed : { replicas, replicas / 2, std::size_t { 1 } })
    {
        CAPTURE (lapsed);
        CHECK (judgeAfterLapse (replicas, lapsed, 0).crashes == 0);
        CHECK (judgeAfterLapse (replicas, lapsed, 2).crashes == 2);
        CHECK (judgeAfterLapse (replicas, lapsed, 2).verdict == CrashVerdict::suspected);
        CHECK (judgeAfterLapse (replicas, lapsed, 4).verdict == CrashVerdict::stopped);
    }
}
