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

/** Revisions kept behind the one in force. */
inline constexpr auto historyLength = std::uint32_t { 64 };

/** @returns the key under which the tree of an edit's number is kept once a newer one is in force. */
auto historyKey (std::uint32_t number) -> std::string;

/** One revision of the tree as it is stored. */
struct StoredTree
{
    std::uint64_t revision = 0;
    std::string text;
    boost::json::value tree;
    /** Of the edit that made it; empty and 0 for a tree that no edit made. */
    std::string editId;
    std::uint32_t number = 0;
};

/** @returns the tree in a stored value, or nothing where none can be read from it. */
auto readStoredTree (const StoredValue& stored) -> std::optional<StoredTree>;

/** @returns the tree in an entry of the history, or nothing. */
auto readHistoryEntry (const StoredValue& stored) -> std::optional<StoredTree>;

/** A call to the key-value service that a procedure asks for. */
struct StoreCall
{
    std::string key;
    /** Empty for a read. */
    std::optional<std::string> value;
    /** The version that a write replaces. */
    std::uint64_t expected = 0;
};

/** What came of it. */
struct StoreResponse
{
    /** Of a read: done or unknown. */
    WriteOutcome outcome = WriteOutcome::unknown;
    /** What was read, or the version written. */
    StoredValue value;
};

/** How an edit ended. */
struct EditResult
{
    enum class Kind
    {
        /** It is stored, now or by an earlier try of the same edit. */
        stored,
        /** Another edit came first. */
        conflict,
        /** The tree would not be valid. */
        invalid,
        /** Nothing was stored: the service can't be reached. */
        unavailable,
        /** It may be stored. Asking again with the same identifier tells. */
        unknown
    };

    Kind kind = Kind::unknown;
    /** In force, where stored; else the current revision. */
    StoredTree tree;
    /** The revision that the operator knew, where a conflict and still kept. */
    std::optional<StoredTree> baseTree;
    SettingsErrors errors;
};

/** What an operator asks for. */
struct EditRequest
{
    std::string id;
    std::string author;
    TreeEdit edit;
    /** The revision that the operator knew. */
    std::uint64_t baseRevision = 0;
    std::uint64_t nowSeconds = 0;
};

/** Stores one edit of the tree: reads the head, finds out whether the edit was stored before, keeps the old revision in the
    history, and replaces the head by compare-and-swap. A lost answer is resolved by reading back the edit's identifier.

    Plain decisions: the caller makes the calls that next() asks for and gives their answers to take(), one after the other.
    So the administration API and the randomised runs share it.
*/
class EditProcedure
{
public:
    explicit EditProcedure (EditRequest editRequest) : request (std::move (editRequest)) {}

    /** @returns the next call to make, or nothing once there is a result. */
    [[nodiscard]] auto next() const -> std::optional<StoreCall>;

    /** Takes the answer of the call that next() asked for. */
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
    /** Goes to a step again after a failure, or gives up. */
    auto retry (Step nextStep) -> void;

    EditRequest request;
    Step step = Step::readHead;
    StoredTree head;
    std::string newText;
    std::uint64_t slotVersion = 0;
    std::uint32_t searchedEntries = 0;
    std::uint32_t failures = 0;
    /** Whether a write of the head may have taken effect without our knowing. */
    bool mayBeStored = false;
    std::optional<StoredTree> baseTree;
    std::optional<EditResult> finalResult;
};

} // namespace snowrudder
