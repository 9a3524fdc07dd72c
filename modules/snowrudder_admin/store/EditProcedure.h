#pragma once

#include "snowrudder_core/snowrudder_core.h"
#include "snowrudder_platform/snowrudder_platform.h"
#include "snowrudder_settings/snowrudder_settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace snowrudder
{

/** Number of earlier revisions kept in the history. */
inline constexpr auto historyLength = std::uint32_t { 64 };

/** @returns the history key of the tree made by the edit with a number. The tree is stored there before a newer one
    replaces it.
*/
auto historyKey (std::uint32_t number) -> std::string;

/** A stored revision of the tree. */
struct StoredTree
{
    std::uint64_t revision = 0;
    std::string text;
    boost::json::value tree;
    /** Identifier and number of the edit that created the revision; empty and 0 if it was not created by an edit. */
    std::string editId;
    std::uint32_t number = 0;
};

/** @returns the tree in a stored value, or nothing if the value is not valid. */
auto readStoredTree (const StoredValue& stored) -> std::optional<StoredTree>;

/** @returns the tree in a history entry, or nothing if the entry is not valid. */
auto readHistoryEntry (const StoredValue& stored) -> std::optional<StoredTree>;

/** A call to the key-value service, requested by an EditProcedure. */
struct StoreCall
{
    std::string key;
    /** The value to write; nothing for a read. */
    std::optional<std::string> value;
    /** For a write, the version that it replaces. */
    std::uint64_t expected = 0;
};

/** The result of a StoreCall. */
struct StoreResponse
{
    /** For a read: `done` or `unknown`. */
    WriteOutcome outcome = WriteOutcome::unknown;
    /** The value read, or the version written. */
    StoredValue value;
};

/** The result of an edit. */
struct EditResult
{
    enum class Kind
    {
        /** The edit is stored, now or by an earlier attempt with the same identifier. */
        stored,
        /** Another edit was stored first. */
        conflict,
        /** The edited tree would not be valid. */
        invalid,
        /** Nothing was stored, because the key-value service can't be reached. */
        unavailable,
        /** The edit may be stored. A retry with the same identifier finds out. */
        unknown
    };

    Kind kind = Kind::unknown;
    /** The revision created by the edit if it is stored, otherwise the current revision. */
    StoredTree tree;
    /** After a conflict, the base revision of the edit if it is still in the history. */
    std::optional<StoredTree> baseTree;
    SettingsErrors errors;
};

/** An operator's request to edit the tree. */
struct EditRequest
{
    std::string id;
    std::string author;
    TreeEdit edit;
    /** The revision that the edit is based on. */
    std::uint64_t baseRevision = 0;
    std::uint64_t nowSeconds = 0;
};

/** Stores one edit of the tree: reads the head, checks whether the edit is already stored, copies the old revision to
    the history, and replaces the head by compare-and-swap. A lost response is resolved by reading back the edit's
    identifier.

    This is a state machine without I/O, shared by the administration API and the randomised tests. The caller performs
    the calls returned by next() one after the other and passes their responses to handleResponse().
*/
class EditProcedure
{
public:
    explicit EditProcedure (EditRequest editRequest) : request (std::move (editRequest)) {}

    /** @returns the next call to perform, or nothing once there is a result. */
    [[nodiscard]] auto next() const -> std::optional<StoreCall>;

    /** Processes the response to the call returned by next(). */
    auto handleResponse (const StoreResponse& response) -> void;

    [[nodiscard]] auto result() const -> const std::optional<EditResult>& { return finalResult; }

private:
    enum class Step
    {
        readHead,
        searchHistory,
        readSlot,
        writeSlot,
        writeHead,
        readBack,
        readBackHistory
    };

    auto handleHead (const StoreResponse& response) -> void;
    auto handleHistorySearch (const StoreResponse& response) -> void;
    auto handleHistorySlot (const StoreResponse& response) -> void;
    auto handleHeadWritten (const StoreResponse& response) -> void;
    auto handleReadBack (const StoreResponse& response) -> void;
    auto handleReadBackHistory (const StoreResponse& response) -> void;
    auto searchOrConflict() -> void;
    auto buildTree() -> void;
    auto end (EditResult::Kind kind) -> void;
    /** Continues with a step after a failure, or ends the edit after too many failures. */
    auto retry (Step nextStep) -> void;

    EditRequest request;
    Step step = Step::readHead;
    StoredTree head;
    std::string newText;
    std::uint64_t slotVersion = 0;
    std::uint32_t searchedEntries = 0;
    std::uint32_t failures = 0;
    /** Whether a write of the head with an unknown outcome may have taken effect. */
    bool mayBeStored = false;
    std::optional<StoredTree> baseTree;
    std::optional<EditResult> finalResult;
};

} // namespace snowrudder
