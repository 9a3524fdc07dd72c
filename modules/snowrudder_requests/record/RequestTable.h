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

/** All records of one router, by request identifier, and by idempotency key where the caller gave one. Any thread
    may call it. Lock order: the table's mutex, then a record's.
*/
class RequestTable
{
public:
    using RecordPointer = std::shared_ptr<RequestRecord>;

    /** @param keepTime   how long a finished answer is kept
        @param keepBytes  most bytes of finished answers kept
    */
    RequestTable (Duration keepTime, std::size_t keepBytes) : keepFor (keepTime), mostKeptBytes (keepBytes) {}

    /** Adds an accepted request.

        @param key  empty, or the caller's idempotency key
        @returns    the record of an earlier request with the same client account and key, or nullptr when this one
                    was added
    */
    auto add (const RecordPointer& record, std::string_view key) -> RecordPointer;

    /** Adds a request that another router handed over, unless it is here already: it may be handed over twice, also by two
        routers at once. Whether it is here and its addition are one step, since an identifier that is added twice ends the process.

        @returns the record that stands under the identifier: this one, or the earlier one
    */
    auto addHandedOver (const RecordPointer& record) -> RecordPointer;

    /** @returns the record of an identifier, or nullptr; another client account's is not found either. */
    [[nodiscard]] auto find (const std::string& id, std::string_view account) const -> RecordPointer;

    /** Notes that a record has ended: it is kept for the stated time from now. */
    auto markEnded (const RecordPointer& record, TimePoint now) -> void;

    /** Drops what was kept long enough, and the oldest beyond the byte limit. */
    auto dropOld (TimePoint now) -> void;

    /** @returns all records, those that have ended and are kept included. */
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
