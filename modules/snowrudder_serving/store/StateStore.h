#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snowrudder
{

/** One item of the state store. */
struct StoredItem
{
    std::string key;
    std::string value;
    /** Of its last change; 0 where the item is not there. */
    std::uint64_t revision = 0;
    /** The lease that it goes with, or 0. */
    std::uint64_t lease = 0;
    /** Whether a watch tells that it was removed. */
    bool isRemoved = false;
};

/** What is known of a call to the store. */
enum class StoreOutcome
{
    done,
    /** A condition did not hold, or the lease or key is not there: nothing was done. */
    refused,
    /** The store turned the call away: nothing was done. */
    unavailable,
    /** No answer: a write may have been done, or may still be done later while its conditions hold. */
    unknown,
    /** Changes that a watch asked for are no longer kept. */
    historyCompacted
};

/** @returns whether the store's word on a key or a condition is known. */
inline auto isConclusive (StoreOutcome outcome) -> bool
{
    return outcome == StoreOutcome::done || outcome == StoreOutcome::refused;
}

/** @returns one word for the log. */
inline auto toString (StoreOutcome outcome) -> std::string_view
{
    switch (outcome)
    {
        case StoreOutcome::done:
            return "done";
        case StoreOutcome::refused:
            return "refused";
        case StoreOutcome::unavailable:
            return "unavailable";
        case StoreOutcome::historyCompacted:
            return "history_gone";
        case StoreOutcome::unknown:
            break;
    }

    return "unknown";
}

/** Items read, or why there are none. */
struct ReadItems
{
    StoreOutcome outcome = StoreOutcome::unknown;
    std::vector<StoredItem> items;
    /** The store's revision when it answered. */
    std::uint64_t revision = 0;
};

/** A condition of a transaction: the key's revision, 0 where the key must not be there. */
struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0;
};

/** Changes that are made together, or not at all. */
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoredItem> puts;
    std::vector<std::string> removals;
};

/** What became of a transaction. */
struct TransactionResult
{
    StoreOutcome outcome = StoreOutcome::unknown;
    /** Of the change, where it was done. */
    std::uint64_t revision = 0;
    /** The items of the conditions as they are, where it was refused. */
    std::vector<StoredItem> items;
};

/** A lease granted. */
struct GrantedLease
{
    StoreOutcome outcome = StoreOutcome::unknown;
    std::uint64_t lease = 0;
    Duration length {};
};

/** How young the answer of a read or a list must be. */
enum class ReadFreshness
{
    newest,
    /** It may be some seconds old, and costs the store a fraction. */
    secondsOld
};

/** The platform's state store, as the product needs it. One implementation for each platform; each operation bounds its
    own time. Reads, transactions and lists of the newest are linearizable.
*/
struct StateStore
{
    std::function<Task<ReadItems> (std::string key, ReadFreshness age)> read;
    std::function<Task<ReadItems> (std::string prefix, ReadFreshness age)> list;
    /** Waits until something below a prefix has changed after a revision, or until a time has passed. */
    std::function<Task<ReadItems> (std::string prefix, std::uint64_t after, Duration wait)> watch;
    std::function<Task<TransactionResult> (StoreTransaction transaction)> commit;
    std::function<Task<GrantedLease> (Duration length)> grantLease;
    std::function<Task<StoreOutcome> (std::uint64_t lease)> renewLease;
    std::function<Task<StoreOutcome> (std::uint64_t lease)> endLease;
};

} // namespace snowrudder
