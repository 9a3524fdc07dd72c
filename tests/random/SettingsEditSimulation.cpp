#include "SettingsEditSimulation.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

constexpr auto operatorCount = std::size_t { 4 };
constexpr auto editsPerOperator = std::size_t { 6 };
constexpr auto maxAttempts = std::size_t { 4 };
constexpr auto callDuration = 4ms;
constexpr auto maxWriteDelay = 3s;
constexpr auto runLength = 10min;
constexpr auto initialTree = R"({"accounts": {"city": {}}, "services": {}})";

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

SettingsEditSimulation::SettingsEditSimulation (std::uint64_t seed,
                                                InjectedBug injectedBug,
                                                std::size_t maxEvents)
    : time (seed, maxEvents), bug (injectedBug), operators (operatorCount)
{
    store.swap (treeStoreKey, 0, initialTree, 0);

    for (auto index = std::size_t { 0 }; index < operators.size(); ++index)
    {
        auto& person = operators[index];
        person.name = "operator-" + std::to_string (index + 1);
        time.after (time.drawTime (0ms, 2s), [this, &person] { startEdit (person); });
    }

    for (auto outage = 0; outage < 2; ++outage)
    {
        const auto begin = time.drawTime (1s, 60s);
        time.after (begin, [this] { isDown = true; });
        time.after (begin + time.drawTime (100ms, 10s), [this] { isDown = false; });
    }
}

auto SettingsEditSimulation::run() -> void
{
    time.run (runLength);
    checkReportedResults();
}

auto SettingsEditSimulation::storedCount() const -> std::size_t
{
    return static_cast<std::size_t> (std::ranges::count_if (
        reportedResults, [] (const auto& entry) { return entry.second == EditResult::Kind::stored; }));
}

auto SettingsEditSimulation::startEdit (Operator& person) -> void
{
    if (person.edits == editsPerOperator)
        return;

    ++person.edits;
    person.attempts = 0;
    person.editId = person.name + "-" + std::to_string (person.edits);
    person.baseRevision = store.read (treeStoreKey).version;
    submitEdit (person);
}

auto SettingsEditSimulation::submitEdit (Operator& person) -> void
{
    ++person.attempts;
    EditRequest request;
    request.id = person.editId;
    request.author = person.name;
    request.edit.path = { "accounts", "city", "policy", "weight" };
    request.edit.value = static_cast<std::int64_t> (person.edits);
    request.baseRevision = person.baseRevision;
    person.procedure.emplace (std::move (request));
    time.after (callDuration, [this, &person] { step (person); });
}

auto SettingsEditSimulation::step (Operator& person) -> void
{
    const auto call = person.procedure->next();

    if (! call)
    {
        finish (person, *person.procedure->result());
        return;
    }

    // The response arrives some time after the call takes effect, so that the calls of several operators interleave.
    const auto answer = makeCall (*call);
    time.after (time.drawTime (callDuration, callDuration * 20),
                [this, &person, answer]
                {
                    person.procedure->handleResponse (answer);
                    step (person);
                });
}

auto SettingsEditSimulation::makeCall (const StoreCall& call) -> StoreResponse
{
    if (isDown)
        return {};

    return call.value ? write (call) : read (call.key);
}

auto SettingsEditSimulation::read (const std::string& key) -> StoreResponse
{
    constexpr auto lossProbability = 0.1;

    if (time.chance (lossProbability))
        return {};

    const auto current = store.read (key);
    StoreResponse answer { WriteOutcome::done, { key, current.value, current.version, 0 } };

    // Injected bug: the edit's identifier is changed, so that the edit is not found in the stored tree.
    if (bug == InjectedBug::ignoresEditIds && key == treeStoreKey)
        if (const auto place = answer.value.value.find ("operator-"); place != std::string::npos)
            answer.value.value[place] = 'x';

    return answer;
}

auto SettingsEditSimulation::write (const StoreCall& call) -> StoreResponse
{
    constexpr auto lossProbability = 0.15;
    constexpr auto delayProbability = 0.1;

    if (time.chance (delayProbability))
    {
        time.after (time.drawTime (0ms, maxWriteDelay), [this, call] { apply (call); });
        return {};
    }

    const auto version = apply (call);

    if (time.chance (lossProbability))
        return {};

    StoreResponse answer;
    answer.outcome = version ? WriteOutcome::done : WriteOutcome::conflict;
    answer.value.version = version.value_or (0);
    return answer;
}

auto SettingsEditSimulation::apply (const StoreCall& call) -> std::optional<std::uint64_t>
{
    auto expected = call.expected;

    // Injected bug: the write replaces any version.
    if (bug == InjectedBug::overwritesUnconditionally)
        expected = store.read (call.key).version;

    const auto swapped = store.swap (call.key, expected, *call.value, 0);

    if (! swapped || ! swapped->swapped)
        return {};

    if (call.key == treeStoreKey)
        recordHead (*call.value, swapped->version);

    return swapped->version;
}

auto SettingsEditSimulation::recordHead (const std::string& text, std::uint64_t revision) -> void
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

auto SettingsEditSimulation::finish (Operator& person, const EditResult& result) -> void
{
    log.push_back (person.editId + " told " + toString (result.kind));
    reportedResults[person.editId] = result.kind;
    reportedRevisions[person.editId] = result.tree.revision;

    const auto isOpen =
        result.kind == EditResult::Kind::unknown || result.kind == EditResult::Kind::unavailable;

    if (isOpen && person.attempts < maxAttempts)
        time.after (time.drawTime (100ms, 5s), [this, &person] { submitEdit (person); });
    else
        time.after (time.drawTime (10ms, 5s), [this, &person] { startEdit (person); });
}

auto SettingsEditSimulation::checkReportedResults() const -> void
{
    for (const auto& [editId, kind] : reportedResults)
    {
        const auto found = std::ranges::find (heads, editId, &std::pair<std::string, std::uint64_t>::first);
        const auto isStored = found != heads.end();

        if (kind == EditResult::Kind::stored)
        {
            expect (isStored, "what was told stored is stored");
            expect (found->second == reportedRevisions.at (editId), "the revision told is the edit's own");
        }

        if (kind == EditResult::Kind::conflict || kind == EditResult::Kind::invalid)
            expect (! isStored, "what was told refused is never stored");
    }
}

} // namespace snowrudder
