#include "RequestTable.h"

namespace snowrudder
{

auto RequestTable::add (const RecordPointer& record, std::string_view key) -> RecordPointer
{
    const std::lock_guard lock (mutex);
    const auto& identity = record->identity();
    const auto accountKey = key.empty() ? std::string() : identity.account + "|" + std::string (key);

    if (! key.empty())
    {
        const auto [place, isNew] = byKey.emplace (accountKey, record);

        if (! isNew)
            return place->second;
    }

    const auto isAdded = records.emplace (toString (identity.id), Entry { record, accountKey }).second;
    requireInvariant (isAdded, "a request identifier names one request");
    ++openRecords;
    return nullptr;
}

auto RequestTable::addHandedOver (const RecordPointer& record) -> RecordPointer
{
    const std::lock_guard lock (mutex);
    const std::string noKey;
    const auto [place, isNew] =
        records.emplace (toString (record->identity().id), Entry { record, noKey, false });

    if (isNew)
        ++openRecords;

    return place->second.record;
}

auto RequestTable::find (const std::string& id, std::string_view account) const -> RecordPointer
{
    const std::lock_guard lock (mutex);
    const auto found = records.find (id);

    if (found == records.end() || found->second.record->identity().account != account)
        return nullptr;

    return found->second.record;
}

auto RequestTable::markEnded (const RecordPointer& record, TimePoint now) -> void
{
    const std::lock_guard lock (mutex);
    const auto found = records.find (toString (record->identity().id));

    if (found == records.end() || found->second.ended)
        return;

    found->second.ended = true;
    --openRecords;
    const auto bytes = record->bytes();
    endedBytes += bytes;
    ended.push_back ({ record, now + keepFor, bytes });

    while (endedBytes > mostKeptBytes && ! ended.empty())
        dropFront();
}

auto RequestTable::dropOld (TimePoint now) -> void
{
    const std::lock_guard lock (mutex);

    while (! ended.empty() && ended.front().dropAt <= now)
        dropFront();
}

auto RequestTable::all() const -> std::vector<RecordPointer>
{
    const std::lock_guard lock (mutex);
    std::vector<RecordPointer> list;
    list.reserve (records.size());

    for (const auto& [id, entry] : records)
        list.push_back (entry.record);

    return list;
}

auto RequestTable::open() const -> std::vector<RecordPointer>
{
    const std::lock_guard lock (mutex);
    std::vector<RecordPointer> list;
    list.reserve (openRecords);

    for (const auto& [id, entry] : records)
        if (! entry.ended)
            list.push_back (entry.record);

    return list;
}

auto RequestTable::openCount() const -> std::size_t
{
    const std::lock_guard lock (mutex);
    return openRecords;
}

auto RequestTable::keptBytes() const -> std::size_t
{
    const std::lock_guard lock (mutex);
    return endedBytes;
}

auto RequestTable::dropFront() -> void
{
    const auto& oldest = ended.front();
    const auto found = records.find (toString (oldest.record->identity().id));

    if (! found->second.key.empty())
        byKey.erase (found->second.key);

    records.erase (found);
    endedBytes -= oldest.bytes;
    ended.pop_front();
}

} // namespace snowrudder
