#pragma once

#include "TokenBucket.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Limits of a client account on this router, before admit() applies its share. */
struct AccountLimits
{
    double requestsPerSecond = 0.0;
    std::uint32_t concurrentRequests = 0;
};

/** Whether a request is admitted. */
struct Admission
{
    bool admitted = false;
    /** Where the request was not admitted, the time after which to retry. */
    Duration retryAfter {};
};

/** Limits the request rate and the concurrency of each client account. Thread-safe. */
class AccountLimiter
{
public:
    /** Admits a request if the account's limits allow it. Each admitted request is ended with leave().

        @param share  this router's fraction of the account's limits, from 0 to 1
    */
    auto admit (std::string_view account, const AccountLimits& limits, double share, TimePoint now)
        -> Admission;

    /** Ends an admitted request. */
    auto leave (std::string_view account) -> void;

private:
    /** Size of an allowed burst, in seconds of the account's rate. */
    static constexpr auto burstTime = 1.0;

    struct State
    {
        TokenBucket bucket;
        std::uint32_t open = 0;
    };

    std::mutex mutex;
    std::map<std::string, State, std::less<>> accounts;
};

} // namespace snowrudder
