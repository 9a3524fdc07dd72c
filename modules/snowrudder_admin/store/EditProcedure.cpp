#include "EditProcedure.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto maxFailures = std::uint32_t { 6 };

/** The platform's key-value service stores up to 1 MB per value. The difference is reserved for the overhead of history
    entries.
*/
constexpr auto maxTreeBytes = std::size_t { 900'000 };

constexpr auto editMarkMember = "edit";

auto readEditMark (StoredTree& stored) -> void
{
    const auto* mark = valueAt (stored.tree, { editMarkMember });

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
    readEditMark (stored);
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
    if (finalResult)
        return {};

    switch (step)
    {
        case Step::readHead:
        case Step::readBack:
            return StoreCall { treeStoreKey, {}, 0 };
        case Step::searchHistory:
            return StoreCall { historyKey (head.number - 1 - searchedEntries), {}, 0 };
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

auto EditProcedure::handleResponse (const StoreResponse& response) -> void
{
    requireInvariant (! finalResult.has_value(), "an edit receives no response after it has ended");

    switch (step)
    {
        case Step::readHead:
            return handleHead (response);
        case Step::searchHistory:
            return handleHistorySearch (response);
        case Step::readSlot:
        case Step::writeSlot:
            return handleHistorySlot (response);
        case Step::writeHead:
            return handleHeadWritten (response);
        case Step::readBack:
            return handleReadBack (response);
        case Step::readBackHistory:
            return handleReadBackHistory (response);
    }
}

auto EditProcedure::handleHead (const StoreResponse& response) -> void
{
    auto stored = response.outcome == WriteOutcome::done ? readStoredTree (response.value) : std::nullopt;

    if (! stored)
        return retry (Step::readHead);

    head = std::move (*stored);

    if (head.editId == request.id)
        return end (EditResult::Kind::stored);

    if (head.revision != request.baseRevision)
        return searchOrConflict();

    buildTree();
}

auto EditProcedure::searchOrConflict() -> void
{
    // The edit may already be stored and followed by others. In that case it is newer than its base revision, so only
    // the entries since then are searched.
    const auto canBeInHistory = head.revision > request.baseRevision && searchedEntries + 1 < historyLength;

    if (head.number > searchedEntries && canBeInHistory)
        step = Step::searchHistory;
    else
        end (EditResult::Kind::conflict);
}

auto EditProcedure::handleHistorySearch (const StoreResponse& response) -> void
{
    if (response.outcome != WriteOutcome::done)
        return retry (Step::searchHistory);

    auto entry = readHistoryEntry (response.value);
    const auto number = head.number - 1 - searchedEntries;

    // An entry with a different number was overwritten or never written, so no older entries exist.
    if (! entry || entry->number != number || entry->revision < request.baseRevision)
        return end (EditResult::Kind::conflict);

    if (entry->editId == request.id)
    {
        head = std::move (*entry);
        return end (EditResult::Kind::stored);
    }

    if (entry->revision == request.baseRevision)
    {
        baseTree = std::move (*entry);
        return end (EditResult::Kind::conflict);
    }

    ++searchedEntries;
    searchOrConflict();
}

auto EditProcedure::buildTree() -> void
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
    tree.as_object()[editMarkMember] = std::move (mark);
    newText = prettyJson (tree);

    schema::FleetSettings message;

    if (problem.errors.empty())
        problem.errors = readMessage (newText, "tree", message);

    if (problem.errors.empty())
        problem.errors = checkTree (message, "tree");

    if (problem.errors.empty() && newText.size() > maxTreeBytes)
        problem.errors.push_back (
            { "tree", 0, "", "is larger than " + std::to_string (maxTreeBytes) + " bytes" });

    if (! problem.errors.empty())
    {
        problem.kind = EditResult::Kind::invalid;
        problem.tree = head;
        finalResult = std::move (problem);
        return;
    }

    step = Step::readSlot;
}

auto EditProcedure::handleHistorySlot (const StoreResponse& response) -> void
{
    if (step == Step::writeSlot && response.outcome == WriteOutcome::done)
    {
        step = Step::writeHead;
        return;
    }

    if (step == Step::writeSlot || response.outcome != WriteOutcome::done)
        return retry (Step::readSlot);

    slotVersion = response.value.version;
    const auto slotEntry = readHistoryEntry (response.value);

    // Another operator's attempt may have written this revision to the history already.
    step = slotEntry && slotEntry->revision == head.revision ? Step::writeHead : Step::writeSlot;
}

auto EditProcedure::handleHeadWritten (const StoreResponse& response) -> void
{
    if (response.outcome == WriteOutcome::done)
    {
        auto stored = readTree (response.value.version, newText);
        requireInvariant (stored.has_value() && stored->revision > head.revision,
                          "a stored tree has a newer revision than before");
        head = std::move (*stored);
        return end (EditResult::Kind::stored);
    }

    mayBeStored = mayBeStored || response.outcome == WriteOutcome::unknown;
    step = Step::readBack;
}

auto EditProcedure::handleReadBack (const StoreResponse& response) -> void
{
    auto currentHead =
        response.outcome == WriteOutcome::done ? readStoredTree (response.value) : std::nullopt;

    if (! currentHead)
        return retry (Step::readBack);

    if (currentHead->editId == request.id)
    {
        head = std::move (*currentHead);
        return end (EditResult::Kind::stored);
    }

    // The edit is not stored yet. Repeating the write is safe, because only one write can replace this revision.
    if (currentHead->revision == head.revision)
        return retry (Step::writeHead);

    // The head is more than one edit ahead: either this edit is in the history, or another edit has its number.
    if (currentHead->number > head.number + 1 && mayBeStored)
    {
        step = Step::readBackHistory;
        return;
    }

    baseTree = std::move (head);
    head = std::move (*currentHead);
    end (EditResult::Kind::conflict);
}

auto EditProcedure::handleReadBackHistory (const StoreResponse& response) -> void
{
    if (response.outcome != WriteOutcome::done)
        return retry (Step::readBackHistory);

    auto entry = readHistoryEntry (response.value);

    // The entry has been overwritten by later edits, so it is unknown whether this edit was stored.
    if (! entry || entry->number != head.number + 1)
        return end (EditResult::Kind::unknown);

    const auto isThisEdit = entry->editId == request.id;
    baseTree = std::move (head);
    head = std::move (*entry);
    end (isThisEdit ? EditResult::Kind::stored : EditResult::Kind::conflict);
}

auto EditProcedure::retry (Step nextStep) -> void
{
    step = nextStep;

    if (++failures <= maxFailures)
        return;

    end (mayBeStored ? EditResult::Kind::unknown : EditResult::Kind::unavailable);
}

auto EditProcedure::end (EditResult::Kind kind) -> void
{
    EditResult result;
    result.kind = kind;
    result.tree = head;
    result.baseTree = std::move (baseTree);
    finalResult = std::move (result);
}

} // namespace snowrudder
