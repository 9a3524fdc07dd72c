#include "KeyValueModel.h"

#include <algorithm>

namespace snowrudder
{

auto KeyValueModel::read (const std::string& key) const -> KeyValue
{
    const auto found = values.find (key);
    return found == values.end() ? KeyValue() : found->second;
}

auto KeyValueModel::list (const std::string& prefix) const -> std::map<std::string, KeyValue>
{
    std::map<std::string, KeyValue> matches;

    for (auto position = values.lower_bound (prefix);
         position != values.end() && position->first.starts_with (prefix); ++position)
        matches.insert (*position);

    return matches;
}

auto KeyValueModel::swap (const std::string& key,
                          std::uint64_t expectedVersion,
                          std::string value,
                          std::uint64_t lease) -> std::optional<SwapResult>
{
    if (value.size() > maxValueBytes || (lease != 0 && ! leases.contains (lease)))
        return {};

    const auto current = read (key).version;

    if (current != expectedVersion)
        return SwapResult { false, current };

    ++version;

    if (value.empty())
    {
        values.erase (key);
        removals[key] = version;
        return SwapResult { true, 0 };
    }

    values[key] = { std::move (value), version, lease };
    return SwapResult { true, version };
}

auto KeyValueModel::grantLease (Duration length, TimePoint now) -> std::uint64_t
{
    const auto id = nextLease++;
    leases[id] = { length, now + length };
    return id;
}

auto KeyValueModel::renewLease (std::uint64_t lease, TimePoint now) -> bool
{
    expireLeases (now);
    const auto found = leases.find (lease);

    if (found == leases.end())
        return false;

    found->second.end = now + found->second.length;
    return true;
}

auto KeyValueModel::endLease (std::uint64_t lease) -> void
{
    leases.erase (lease);

    for (auto position = values.begin(); position != values.end();)
    {
        if (position->second.lease != lease)
        {
            ++position;
            continue;
        }

        removals[position->first] = ++version;
        position = values.erase (position);
    }
}

auto KeyValueModel::expireLeases (TimePoint now) -> void
{
    std::vector<std::uint64_t> ended;

    for (const auto& [id, lease] : leases)
        if (lease.end <= now)
            ended.push_back (id);

    for (const auto id : ended)
        endLease (id);
}

auto KeyValueModel::newestVersion (const std::string& prefix) const -> std::uint64_t
{
    auto newest = std::uint64_t { 0 };

    for (const auto& [key, value] : list (prefix))
        newest = std::max (newest, value.version);

    for (auto position = removals.lower_bound (prefix);
         position != removals.end() && position->first.starts_with (prefix); ++position)
        newest = std::max (newest, position->second);

    return newest;
}

} // namespace snowrudder
