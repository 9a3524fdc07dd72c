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
    /** Grows with each write to the service; 0 where the key is not there. */
    std::uint64_t version = 0;
    /** The lease that the value goes with, or 0. */
    std::uint64_t lease = 0;
};

/** What a compare-and-swap did. */
struct SwapResult
{
    bool swapped = false;
    /** The key's version now. */
    std::uint64_t version = 0;
};

/** The platform's key-value service without its network: compare-and-swap, leases, versions for watches. */
class KeyValueModel
{
public:
    static constexpr auto maxValueBytes = std::size_t { 1024 * 1024 };

    /** @returns the key's value; version 0 where there is none. */
    [[nodiscard]] auto read (const std::string& key) const -> KeyValue;

    /** @returns all keys that start with a prefix. */
    [[nodiscard]] auto list (const std::string& prefix) const -> std::map<std::string, KeyValue>;

    /** Writes when the key's version is the expected one. An empty value removes the key.

        @param lease  0, or a lease whose end removes the key
        @returns      empty when the value is too large or the lease is not there
    */
    auto swap (const std::string& key, std::uint64_t expectedVersion, std::string value, std::uint64_t lease)
        -> std::optional<SwapResult>;

    auto grantLease (Duration length, TimePoint now) -> std::uint64_t;

    /** @returns false when the lease has ended. */
    auto renewLease (std::uint64_t lease, TimePoint now) -> bool;

    /** Ends a lease and removes its keys. */
    auto endLease (std::uint64_t lease) -> void;

    /** Ends the leases whose time is over. */
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
