#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snowrudder
{

/** A value of the key-value service. */
struct KeyValue
{
    std::string value;
    /** The service's version after the write; increases with each write to any key. 0 when the key does not exist. */
    std::uint64_t version = 0;
    /** The lease whose end removes the key; 0 for none. */
    std::uint64_t lease = 0;
};

/** The result of a compare-and-swap. */
struct SwapResult
{
    bool swapped = false;
    /** The key's current version. */
    std::uint64_t version = 0;
};

/** A model of the platform's key-value service without input and output: compare-and-swap, leases, versions for watches. */
class KeyValueModel
{
public:
    static constexpr auto maxValueBytes = std::size_t { 1024 * 1024 };

    /** @returns the key's value; its version is 0 when the key does not exist. */
    [[nodiscard]] auto read (const std::string& key) const -> KeyValue;

    /** @returns all keys that start with a prefix. */
    [[nodiscard]] auto list (const std::string& prefix) const -> std::map<std::string, KeyValue>;

    /** Writes when the key's version is the expected one. An empty value removes the key.

        @param lease  0, or a lease whose end removes the key
        @returns      nothing when the value is too large or the lease does not exist
    */
    auto swap (const std::string& key, std::uint64_t expectedVersion, std::string value, std::uint64_t lease)
        -> std::optional<SwapResult>;

    auto grantLease (Duration length, TimePoint now) -> std::uint64_t;

    /** @returns false when the lease has ended. */
    auto renewLease (std::uint64_t lease, TimePoint now) -> bool;

    /** Ends a lease and removes its keys. */
    auto endLease (std::uint64_t lease) -> void;

    /** Ends all expired leases. */
    auto expireLeases (TimePoint now) -> void;

    /** @returns the newest version of any key, removals included. */
    [[nodiscard]] auto newestVersion() const -> std::uint64_t { return version; }

    /** @returns the newest version of the keys that start with a prefix, removals included. */
    [[nodiscard]] auto newestVersion (const std::string& prefix) const -> std::uint64_t;

private:
    struct Lease
    {
        Duration length {};
        TimePoint end {};
    };

    std::map<std::string, KeyValue> values;
    std::map<std::string, std::uint64_t> removals;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t version = 0;
    std::uint64_t nextLease = 1;
};

} // namespace snowrudder
