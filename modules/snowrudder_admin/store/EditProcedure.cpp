#include "EditProcedure.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto mostFailures = std::uint32_t { 6 };

/** Values of the platform hold up to a megabyte (letter 1); the rest is room for the history's wrapping. */
constexpr auto largestTree = std::size_t { 900'000 };

constexpr auto markName = "edit";

auto fillMark (StoredTree& stored) -> void
{
    const auto* mark = valueAt (stored.tree, { markName });

    if (mark == nullptr || ! mark->is_object())
        return;

    stored.editId = textIn (mark->get_object(), "id");
    stored.number = static_cast<std::uint32_t> (wholeNumberIn (mark->get_object(), "number"));
}

auto historyEntry (const StoredTree& stored) -> std::string
{
    json::object entry;
    entry["revision"] = stored.revision;
    entry["text"] = stored.text;
    return json::serialize (entry);
}

auto readTree (std::uint64_t revision, const std::string& text) -> std::optional<StoredTree>
{
    auto tree = parseTree (text);

    if (! tree || ! tree->is_object())
        return {};

    StoredTree stored { revision, text, std::move (*tree), {}, 0 };
    fillMark (stored);
    return stored;
}

} // namespace

auto historyKey (std::uint32_t number) -> std::string
{
    return "settings/history/" + std::to_string (number % historyLength);
}

auto readStoredTree (const StoredValue& stored) -> std::optional<StoredTree>
{
    return readTree (stored.version, stored.value);
}

auto readHistoryEntry (const StoredValue& stored) -> std::optional<StoredTree>
{
    const auto entry = parseTree (stored.value);

    if (! entry || ! entry->is_object())
        return {};

    return readTree (wholeNumberIn (entry->get_object(), "revision"), textIn (entry->get_object(), "text"));
}

auto EditProcedure::next() const -> std::optional<StoreCall>
{
    if (ended)
        return {};

    switch (step)
    {
        case Step::readHead:
        case Step::readBack:
            return StoreCall { treeStoreKey, {}, 0 };
        case Step::searchHistory:
            return StoreCall { historyKey (head.number - 1 - searched), {}, 0 };
        case Step::readSlot:
            return StoreCall { historyKey (head.number), {}, 0 };
        case Step::writeSlot:
            return StoreCall { historyKey (head.number), historyEntry (head), slotVersion };
        case Step::writeHead:
            return StoreCall { treeStoreKey, newText, head.revision };
        case Step::readBackHistory:
            break;
    }

    return StoreCall { historyKey (head.number + 1), {}, 0 };
}

auto EditProcedure::take (const StoreAnswer& answer) -> void
{
    requireInvariant (! ended.has_value(), "an edit ends once");

    switch (step)
    {
        case Step::readHead:
            return processHead (answer);
        case Step::searchHistory:
            return takeSearch (answer);
        case Step::readSlot:
        case Step::writeSlot:
            return takeSlot (answer);
        case Step::writeHead:
            return takeHeadWritten (answer);
        case Step::readBack:
            return takeReadBack (answer);
        case Step::readBackHistory:
            return takeReadBackHistory (answer);
    }
}

auto EditProcedure::processHead (const StoreAnswer& answer) -> void
{
    auto stored = answer.outcome == WriteOutcome::done ? readStoredTree (answer.value) : std::nullopt;

    if (! stored)
        return retry (Step::readHead);

    head = std::move (*stored);

    if (head.editId == request.id)
        return end (EditResult::Kind::stored);

    if (head.revision != request.knownRevision)
        return searchOrConflict();

    makeTree();
}

auto EditProcedure::searchOrConflict() -> void
{
    // The edit may be stored already and followed by others. They were made since the revision that it was made from.
    const auto isWorthwhile = head.revision > request.knownRevision && searched + 1 < historyLength;

    if (head.number > searched && isWorthwhile)
        step = Step::searchHistory;
    else
        end (EditResult::Kind::conflict);
}

auto EditProcedure::takeSearch (const StoreAnswer& answer) -> void
{
    if (answer.outcome != WriteOutcome::done)
        return retry (Step::searchHistory);

    auto entry = readHistoryEntry (answer.value);
    const auto number = head.number - 1 - searched;

    // An entry of another number was overwritten, or never kept: nothing older is there.
    if (! entry || entry->number != number || entry->revision < request.knownRevision)
        return end (EditResult::Kind::conflict);

    if (entry->editId == request.id)
    {
        head = std::move (*entry);
        return end (EditResult::Kind::stored);
    }

    if (entry->revision == request.knownRevision)
    {
        known = std::move (*entry);
        return end (EditResult::Kind::conflict);
    }

    ++searched;
    searchOrConflict();
}

auto EditProcedure::makeTree() -> void
{
    auto tree = head.tree;
    EditResult problem;

    if (const auto reason = applyEdit (tree, request.edit))
        problem.errors.push_back ({ "edit", 0, "", *reason });

    json::object mark;
    mark["id"] = request.id;
    mark["number"] = head.number + 1;
    mark["author"] = request.author;
    mark["written_seconds"] = request.nowSeconds;
    tree.as_object()[markName] = std::move (mark);
    newText = prettyJson (tree);

    schema::FleetSettings message;

    if (problem.errors.empty())
        problem.errors = readMessage (newText, "tree", message);

    if (problem.errors.empty())
        problem.errors = checkTree (message, "tree");

    if (problem.errors.empty() && newText.size() > largestTree)
        problem.errors.push_back (
            { "tree", 0, "", "is larger than " + std::to_string (largestTree) + " bytes" });

    if (! problem.errors.empty())
    {
        problem.kind = EditResult::Kind::invalid;
        problem.tree = head;
        ended = std::move (problem);
        return;
    }

    step = Step::readSlot;
}

auto EditProcedure::takeSlot (const StoreAnswer& answer) -> void
{
    if (step == Step::writeSlot && answer.outcome == WriteOutcome::done)
    {
        step = Step::writeHead;
        return;
    }

    if (step == Step::writeSlot || answer.outcome != WriteOutcome::done)
        return retry (Step::readSlot);

    slotVersion = answer.value.version;
    const auto kept = readHistoryEntry (answer.value);

    // Another operator's try may have kept the same revision already.
    step = kept && kept->revision == head.revision ? Step::writeHead : Step::writeSlot;
}

auto EditProcedure::takeHeadWritten (const StoreAnswer& answer) -> void
{
    if (answer.outcome == WriteOutcome::done)
    {
        auto stored = readTree (answer.value.version, newText);
        requireInvariant (stored.has_value() && stored->revision > head.revision, "a revision goes forward");
        head = std::move (*stored);
        return end (EditResult::Kind::stored);
    }

    mayBeStored = mayBeStored || answer.outcome == WriteOutcome::unknown;
    step = Step::readBack;
}

auto EditProcedure::takeReadBack (const StoreAnswer& answer) -> void
{
    auto now = answer.outcome == WriteOutcome::done ? readStoredTree (answer.value) : std::nullopt;

    if (! now)
        return retry (Step::readBack);

    if (now->editId == request.id)
    {
        head = std::move (*now);
        return end (EditResult::Kind::stored);
    }

    // Not there yet: the same write again is safe, for only one of them can replace this revision.
    if (now->revision == head.revision)
        return retry (Step::writeHead);

    // The head has moved past our place: our edit is in the history, or another one took the place.
    if (now->number > head.number + 1 && mayBeStored)
    {
        step = Step::readBackHistory;
        return;
    }

    known = std::move (head);
    head = std::move (*now);
    end (EditResult::Kind::conflict);
}

auto EditProcedure::takeReadBackHistory (const StoreAnswer& answer) -> void
{
    if (answer.outcome != WriteOutcome::done)
        return retry (Step::readBackHistory);

    auto entry = readHistoryEntry (answer.value);

    // Too many edits since: the entry is gone, and with it the proof.
    if (! entry || entry->number != head.number + 1)
        return end (EditResult::Kind::unknown);

    const auto isOurs = entry->editId == request.id;
    known = std::move (head);
    head = std::move (*entry);
    end (isOurs ? EditResult::Kind::stored : EditResult::Kind::conflict);
}

auto EditProcedure::retry (Step again) -> void
{
    step = again;

    if (++failures <= mostFailures)
        return;

    end (mayBeStored ? EditResult::Kind::unknown : EditResult::Kind::unavailable);
}

auto EditProcedure::end (EditResult::Kind kind) -> void
{
    EditResult result;
    result.kind = kind;
    result.tree = head;
    result.known = std::move (known);
    ended = std::move (result);
}

} // namespace snowrudder
