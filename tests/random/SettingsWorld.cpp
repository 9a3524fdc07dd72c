#include "SettingsWorld.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto operatorCount = std::size_t { 4 };
constexpr auto editsEach = std::size_t { 6 };
constexpr auto mostAsked = std::size_t { 4 };
constexpr auto callTime = 4ms;
constexpr auto longestLateness = 3s;
constexpr auto runLength = 10min;
constexpr auto firstTree = R"({"accounts": {"city": {}}, "services": {}})";

auto toString (EditResult::Kind kind) -> std::string
{
    switch (kind)
    {
        case EditResult::Kind::stored:
            return "stored";
        case EditResult::Kind::conflict:
            return "conflict";
        case EditResult::Kind::invalid:
            return "invalid";
        case EditResult::Kind::unavailable:
            return "unavailable";
        case EditResult::Kind::unknown:
            break;
    }

    return "unknown";
}

} // namespace

SettingsWorld::SettingsWorld (std::uint64_t seed, Breakage breakageOnPurpose, std::size_t mostEvents)
    : time (seed, mostEvents), breakage (breakageOnPurpose), operators (operatorCount)
{
    store.swap (treeStoreKey, 0, firstTree, 0);

    for (auto index = std::size_t { 0 }; index < operators.size(); ++index)
    {
        auto& person = operators[index];
        person.name = "operator-" + std::to_string (index + 1);
        time.after (time.drawTime (0ms, 2s), [this, &person] { startEdit (person); });
    }

    for (auto outage = 0; outage < 2; ++outage)
    {
        const auto begin = time.drawTime (1s, 60s);
        time.after (begin, [this] { down = true; });
        time.after (begin + time.drawTime (100ms, 10s), [this] { down = false; });
    }
}

auto SettingsWorld::run() -> void
{
    time.run (runLength);
    checkTold();
}

auto SettingsWorld::storedCount() const -> std::size_t
{
    return static_cast<std::size_t> (std::ranges::count_if (
        told, [] (const auto& entry) { return entry.second == EditResult::Kind::stored; }));
}

auto SettingsWorld::startEdit (Operator& person) -> void
{
    if (person.edits == editsEach)
        return;

    ++person.edits;
    person.asked = 0;
    person.editId = person.name + "-" + std::to_string (person.edits);
    person.baseRevision = store.read (treeStoreKey).version;
    ask (person);
}

auto SettingsWorld::ask (Operator& person) -> void
{
    ++person.asked;
    EditRequest wanted;
    wanted.id = person.editId;
    wanted.author = person.name;
    wanted.edit.path = { "accounts", "city", "policy", "weight" };
    wanted.edit.value = static_cast<std::int64_t> (person.edits);
    wanted.baseRevision = person.baseRevision;
    person.procedure.emplace (std::move (wanted));
    time.after (callTime, [this, &person] { step (person); });
}

auto SettingsWorld::step (Operator& person) -> void
{
    const auto call = person.procedure->next();

    if (! call)
    {
        finish (person, *person.procedure->result());
        return;
    }

    // The answer comes later than the call takes effect, so that the calls of several operators interleave.
    const auto answer = makeCall (*call);
    time.after (time.drawTime (callTime, callTime * 20),
                [this, &person, answer]
                {
                    person.procedure->handleResponse (answer);
                    step (person);
                });
}

auto SettingsWorld::makeCall (const StoreCall& call) -> StoreResponse
{
    if (down)
        return {};

    return call.value ? write (call) : read (call.key);
}

auto SettingsWorld::read (const std::string& key) -> StoreResponse
{
    constexpr auto lostShare = 0.1;

    if (time.chance (lostShare))
        return {};

    const auto held = store.read (key);
    StoreResponse answer { WriteOutcome::done, { key, held.value, held.version, 0 } };

    // The edit's identifier is not read back.
    if (breakage == Breakage::readsNoMarks && key == treeStoreKey)
        if (const auto place = answer.value.value.find ("operator-"); place != std::string::npos)
            answer.value.value[place] = 'x';

    return answer;
}

auto SettingsWorld::write (const StoreCall& call) -> StoreResponse
{
    constexpr auto lostShare = 0.15;
    constexpr auto lateShare = 0.1;

    if (time.chance (lateShare))
    {
        time.after (time.drawTime (0ms, longestLateness), [this, call] { apply (call); });
        return {};
    }

    const auto version = apply (call);

    if (time.chance (lostShare))
        return {};

    StoreResponse answer;
    answer.outcome = version ? WriteOutcome::done : WriteOutcome::conflict;
    answer.value.version = version.value_or (0);
    return answer;
}

auto SettingsWorld::apply (const StoreCall& call) -> std::optional<std::uint64_t>
{
    auto expected = call.expected;

    // A write that does not look at what it replaces.
    if (breakage == Breakage::writesBlindly)
        expected = store.read (call.key).version;

    const auto swapped = store.swap (call.key, expected, *call.value, 0);

    if (! swapped || ! swapped->swapped)
        return {};

    if (call.key == treeStoreKey)
        noteHead (*call.value, swapped->version);

    return swapped->version;
}

auto SettingsWorld::noteHead (const std::string& text, std::uint64_t revision) -> void
{
    const auto tree = readStoredTree ({ treeStoreKey, text, revision, 0 });
    expect (tree.has_value(), "a stored tree can be read");
    log.push_back ("head " + std::to_string (revision) + " by " + tree->editId);

    const auto isRepeated =
        std::ranges::any_of (heads, [&] (const auto& head) { return head.first == tree->editId; });
    expect (! isRepeated, "an edit is stored once");
    expect (tree->number == heads.size() + 1, "an edit is made from the revision before it");
    heads.emplace_back (tree->editId, revision);
}

auto SettingsWorld::finish (Operator& person, const EditResult& result) -> void
{
    log.push_back (person.editId + " told " + toString (result.kind));
    told[person.editId] = result.kind;
    toldRevision[person.editId] = result.tree.revision;

    const auto isOpen =
        result.kind == EditResult::Kind::unknown || result.kind == EditResult::Kind::unavailable;

    if (isOpen && person.asked < mostAsked)
        time.after (time.drawTime (100ms, 5s), [this, &person] { ask (person); });
    else
        time.after (time.drawTime (10ms, 5s), [this, &person] { startEdit (person); });
}

auto SettingsWorld::checkTold() const -> void
{
    for (const auto& [editId, kind] : told)
    {
        const auto found = std::ranges::find (heads, editId, &std::pair<std::string, std::uint64_t>::first);
        const auto isStored = found != heads.end();

        if (kind == EditResult::Kind::stored)
        {
            expect (isStored, "what was told stored is stored");
            expect (found->second == toldRevision.at (editId), "the revision told is the edit's own");
        }

        if (kind == EditResult::Kind::conflict || kind == EditResult::Kind::invalid)
            expect (! isStored, "what was told refused is never stored");
    }
}

} // namespace snowrudder
