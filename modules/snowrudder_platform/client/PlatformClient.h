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

/** The key of the settings tree in the key-value service. */
inline constexpr auto treeStoreKey = "settings/tree";

/** A value read from the key-value service. */
struct StoredValue
{
    std::string key;
    std::string value;
    /** 0 if the key does not exist. */
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
};

/** The outcome of a write. */
enum class WriteOutcome
{
    done,
    /** Another write took effect first. */
    conflict,
    /** The write did not take effect. */
    refused,
    /** The response was lost, so the write may have taken effect. Read the key back to find out. */
    unknown
};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::unknown;
    /** The key's version if the outcome is `done` or `conflict`. */
    std::uint64_t version = 0;
};

/** Client of the platform's service for use from one event loop. All calls are counted by purpose in `/metrics`. */
class PlatformClient
{
public:
    PlatformClient (ConnectionPool& connectionPool, const tcp::endpoint& platform, Metrics& processMetrics)
        : pool (connectionPool), endpoint (platform), metrics (processMetrics)
    {
    }

    /** @returns the value, or nothing if the service did not respond. */
    auto read (std::string key, std::string_view purpose) -> Task<std::optional<StoredValue>>;

    /** @returns all values whose keys start with a prefix, or nothing if the service did not respond. */
    auto list (std::string prefix, std::string_view purpose) -> Task<std::optional<std::vector<StoredValue>>>;

    /** Writes a value if the key's version is the expected one. An empty value removes the key.

        @param lease  0, or a lease; the key is removed when the lease ends
    */
    auto swap (std::string key,
               std::uint64_t expected,
               std::string value,
               std::uint64_t lease,
               std::string_view purpose) -> Task<WriteResult>;

    /** Waits until a key that starts with a prefix has a version newer than the given one.

        @param wait  maximum time that the service waits
        @returns     the newest version, or nothing if the service did not respond
    */
    auto watch (std::string prefix, std::uint64_t after, Duration wait, std::string_view purpose)
        -> Task<std::optional<std::uint64_t>>;

    /** @returns a new lease, or nothing if the service did not grant one. */
    auto grantLease (Duration length) -> Task<std::optional<std::uint64_t>>;

    /** @returns the outcome of the renewal; `refused` if the lease has expired. */
    auto renewLease (std::uint64_t lease) -> Task<WriteOutcome>;

    auto endLease (std::uint64_t lease) -> Task<WriteOutcome>;

    /** @returns the text of the VM list, or nothing if the service did not respond. */
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
