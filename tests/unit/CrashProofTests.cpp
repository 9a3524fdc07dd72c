#include "snowrudder_requests/snowrudder_requests.h"
#include "snowrudder_serving/crashes/CrashProof.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

namespace
{

const auto start = TimePoint() + std::chrono::hours (1);

/** Simulates a request that every caller sends and that runs on all replicas of a service. All its answers are
    interrupted, and the directory entries of some replicas expire although these replicas are alive.

    @param expired  number of replicas, the first ones, whose entries expire
    @param crashed  number of replicas, the last ones, that have actually crashed
    @returns        the verdict on the request afterwards
*/
auto judgeAfterExpiry (std::size_t replicas, std::size_t expired, std::size_t crashed) -> CrashAssessment
{
    CrashTable table;
    const auto body = fingerprintOf ("secret", { "alpha", "POST", "one.example", "/poll", "the same" });
    auto now = start;

    for (auto number = std::size_t { 0 }; number < replicas; ++number)
    {
        now += 100ms;
        const auto listing = number < expired ? ReplicaListing::unlisted : ReplicaListing::listed;
        const auto address = number >= replicas - crashed ? EndpointState::refuses : EndpointState::accepts;

        if (! crashProof (listing, address).empty())
            table.recordCrash (body, "alpha", { number + 1, now, true });
    }

    return table.assess (body, now + 5s);
}

} // namespace

TEST_CASE ("Only an address that is down, or has been taken by another replica, proves a crash")
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

    // A connection reset closes connections too, and a leaving replica shuts down as planned.
    CHECK (crashProof (ReplicaListing::listed, EndpointState::closes).empty());
    CHECK (crashProof (ReplicaListing::leaving, EndpointState::refuses).empty());
}

// All entries expire while the store is unavailable. When an expired entry counted as a crash, requests that every
// caller sends were refused at all nodes (`request_stopped proof=entry_gone crashes=3`).
TEST_CASE ("A common request is not suspected when entries expire while its answers are interrupted")
{
    constexpr auto replicas = std::size_t { 12 };

    for (const auto expired : { replicas, replicas / 2, std::size_t { 1 } })
    {
        CAPTURE (expired);
        CHECK (judgeAfterExpiry (replicas, expired, 0).crashes == 0);
        CHECK (judgeAfterExpiry (replicas, expired, 2).crashes == 2);
        CHECK (judgeAfterExpiry (replicas, expired, 2).verdict == CrashVerdict::suspected);
        CHECK (judgeAfterExpiry (replicas, expired, 4).verdict == CrashVerdict::stopped);
    }
}
