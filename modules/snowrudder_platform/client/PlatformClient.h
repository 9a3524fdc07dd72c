#pragma once

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_net/snowrudder_net.h"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowrudder
{

/** The key under which the key-value service holds the operators' tree. */
inline constexpr auto treeStoreKey = "settings/tree";

/** A value read from the key-value service. */
struct StoredValue
{
    std::string key;
    std::string value;
    /** 0 where the key is not there. */
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
};

/** What is known of a write. */
enum class WriteOutcome
{
    done,
    /** Another write came first. */
    conflict,
    /** It did not take effect. */
    refused,
    /** It may have taken effect: the answer was lost. Read back to know. */
    unknown
};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::unknown;
    /** The key's version, where `done` or `conflict`. */
    std::uint64_t version = 0;
};

/** The platform's service, as one event loop uses it. Every call is counted by its purpose in `/metrics`. */
class PlatformClient
{
public:
    PlatformClient (ConnectionPool& connectionPool, const tcp::endpoint& platform, Metrics& processMetrics)
        : pool (connectionPool), endpoint (platform), metrics (processMetrics)
    {
    }

    /** @returns the value, or nothing when the service did not answer. */
    auto read (std::string key, std::string_view purpose) -> Task<std::optional<StoredValue>>;

    /** @returns all values below a prefix, or nothing when the service did not answer. */
    auto list (std::string prefix, std::string_view purpose) -> Task<std::optional<std::vector<StoredValue>>>;

    /** Writes when the key's version is the expected one; an empty value removes the key.

        @param lease  0, or the lease whose end removes the key
    */
    auto swap (std::string key,
               std::uint64_t expected,
               std::string value,
               std::uint64_t lease,
               std::string_view purpose) -> Task<WriteResult>;

    /** Waits until a key below a prefix is newer than a version.

        @returns the newest version, or nothing when the service did not answer
    */
    auto watch (std::string prefix, std::uint64_t after, Duration wait, std::string_view purpose)
        -> Task<std::optional<std::uint64_t>>;

    /** @returns a new lease, or nothing. */
    auto grantLease (Duration length) -> Task<std::optional<std::uint64_t>>;

    /** @returns whether the lease is renewed: `refused` when it has ended. */
    auto renewLease (std::uint64_t lease) -> Task<WriteOutcome>;

    auto endLease (std::uint64_t lease) -> Task<WriteOutcome>;

    /** @returns the VM list's text, or nothing. */
    auto vmList() -> Task<std::optional<std::string>>;

private:
    auto call (http::verb method,
               std::string_view target,
               boost::json::object body,
               std::string_view purpose,
               Duration timeout) -> Task<SimpleResponse>;

    ConnectionPool& pool;
    tcp::endpoint endpoint;
    Metrics& metrics;
};

} // namespace snowrudder
