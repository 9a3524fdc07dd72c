#pragma once

#include "RequestRecord.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snowrudder
{

/** All records of a router, by request identifier, and by idempotency key if the caller sent one. Thread-safe. Lock
    order: the table's mutex, then a record's.
*/
class RequestTable
{
public:
    using RecordPointer = std::shared_ptr<RequestRecord>;

    /** @param retentionTime   how long a finished answer is kept
        @param keepBytes  limit for the memory of finished answers, in bytes
    */
    RequestTable (Duration keepTime, std::size_t keepBytes) : keepFor (keepTime), mostKeptBytes (keepBytes) {}

    /** Adds an accepted request.

        @param key  the caller's idempotency key, or empty
        @returns    the record of an earlier request with the same client account and key, or nullptr if this one was
                    added
    */
    auto add (const RecordPointer& record, std::string_view key) -> RecordPointer;

    /** Adds a request that another router handed over, unless it is in the table already: it may be handed over twice,
        even by two routers at the same time. The check and the addition are one atomic step, since adding an identifier
        twice ends the process.

        @returns the record with the identifier: this one or the earlier one
    */
    auto addHandedOver (const RecordPointer& record) -> RecordPointer;

    /** @returns the record with an identifier, or nullptr if there is none or if it belongs to another client account.
    */
    [[nodiscard]] auto find (const std::string& id, std::string_view account) const -> RecordPointer;

    /** Marks a record as ended. It is kept for `retentionTime` from now, or until the byte limit requires that it be
        dropped.
    */
    auto markEnded (const RecordPointer& record, TimePoint now) -> void;

    /** Drops ended records whose time has passed. */
    auto dropOld (TimePoint now) -> void;

    /** @returns all records, including ended ones that are still kept. */
    [[nodiscard]] auto all() const -> std::vector<RecordPointer>;

    /** @returns the records that have not ended. */
    [[nodiscard]] auto open() const -> std::vector<RecordPointer>;

    [[nodiscard]] auto openCount() const -> std::size_t;
    [[nodiscard]] auto keptBytes() const -> std::size_t;

private:
    struct Ended
    {
        RecordPointer record;
        TimePoint dropAt {};
        std::size_t bytes = 0;
    };

    struct Entry
    {
        RecordPointer record;
        std::string key;
        bool ended = false;
    };

    auto dropFront() -> void;

    Duration keepFor;
    std::size_t mostKeptBytes;

    mutable std::mutex mutex;
    std::unordered_map<std::string, Entry> records;
    std::unordered_map<std::string, RecordPointer> byKey;
    std::deque<Ended> ended;
    std::size_t openRecords = 0;
    std::size_t endedBytes = 0;
};

} // namespace snowrudder
