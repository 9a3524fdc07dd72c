#pragma once

#include "snowrudder_net/snowrudder_net.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snowrudder
{

/** An item of the state store. */
struct StoredItem
{
    std::string key;
    std::string value;
    /** Revision of the item's last change; 0 where the item does not exist. */
    std::uint64_t revision = 0;
    /** The lease that the item is attached to, or 0. */
    std::uint64_t lease = 0;
    /** In results of a watch: whether the item was removed. */
    bool isRemoved = false;
};

/** The outcome of a call to the store. */
enum class StoreOutcome
{
    done,
    /** A condition did not hold, or the lease or key does not exist. Nothing was changed. */
    refused,
    /** The store rejected the call. Nothing was changed. */
    unavailable,
    /** There was no response. A write may have been applied, or may still be applied later while its conditions hold.
    */
    unknown,
    /** The store no longer keeps the changes that a watch asked for, or they are too many for a response. */
    historyCompacted
};

/** @returns whether the store gave a definite response on a key or a condition. */
inline auto isConclusive (StoreOutcome outcome) -> bool
{
    return outcome == StoreOutcome::done || outcome == StoreOutcome::refused;
}

/** @returns the name of an outcome for the log. */
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

/** The result of a read, a list or a watch. */
struct ReadItems
{
    StoreOutcome outcome = StoreOutcome::unknown;
    std::vector<StoredItem> items;
    /** The store's revision at the time of the response. */
    std::uint64_t revision = 0;
    /** Whether there are more items behind these. */
    bool hasMore = false;
    /** The number of items that were left out because their keys can't be read. */
    std::size_t unreadable = 0;
};

/** A condition of a transaction: the key must be at this revision, or must not exist where it is 0. */
struct StoreCondition
{
    std::string key;
    std::uint64_t revision = 0;
};

/** Changes that are applied atomically if all conditions hold. */
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoredItem> puts;
    std::vector<std::string> removals;
};

/** The result of a transaction. */
struct TransactionResult
{
    StoreOutcome outcome = StoreOutcome::unknown;
    /** Revision of the changes, where they were applied. */
    std::uint64_t revision = 0;
    /** The current items of the conditions, where the transaction was refused. */
    std::vector<StoredItem> items;
};

/** The result of a request for a lease. */
struct GrantedLease
{
    StoreOutcome outcome = StoreOutcome::unknown;
    std::uint64_t lease = 0;
    Duration length {};
};

/** How long a watch takes. */
struct WatchTimes
{
    /** How long the store waits for a change before it responds without one. */
    Duration wait {};
    /** How much longer the call may take, before the response counts as lost. */
    Duration response = 800ms;
};

/** How old the data of a read or a list may be. */
enum class ReadFreshness
{
    /** Linearizable. */
    newest,
    /** The data may be some seconds old. Such a read costs the store a fraction of a linearizable one. */
    secondsOld
};

/** Interface to the platform's state store, with one implementation per platform. Each operation has its own timeout.
    Transactions, and reads and lists with ReadFreshness::newest, are linearizable.
*/
struct StateStore
{
    std::function<Task<ReadItems> (std::string key, ReadFreshness age)> read;
    /** Reads the page of the items with a prefix that follows a key, in the order of the keys' bytes; the first page where
        that key is empty. See listPages().
    */
    std::function<Task<ReadItems> (std::string prefix, std::string after, ReadFreshness age)> listPage;
    /** Waits for changes of keys with a prefix after a revision, or until the wait time has passed. */
    std::function<Task<ReadItems> (std::string prefix, std::uint64_t after, WatchTimes times)> watch;
    std::function<Task<TransactionResult> (StoreTransaction transaction)> commit;
    std::function<Task<GrantedLease> (Duration length)> grantLease;
    std::function<Task<StoreOutcome> (std::uint64_t lease)> renewLease;
    std::function<Task<StoreOutcome> (std::uint64_t lease)> endLease;
};

} // namespace snowrudder
