#pragma once

#include "KeySlots.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snowrudder
{

class RequestRecord;

/** How far the call of one key has come. */
enum class KeyState
{
    /** It is being made here, now. */
    running,
    /** It ran, and its answer was whole. */
    finished,
    /** It may have run; its answer is not known. */
    mayHaveRun
};

/** One key as a slot's owner remembers it. */
struct KeyEntry
{
    std::string account;
    Uuid key;
    /** Of method, path and body, to tell another request under the same key. */
    std::uint64_t contentHash = 0;
    KeyState state = KeyState::running;
    /** The request that made the call. */
    std::string requestId;
    /** Where the call's answer is made and kept: there from the moment at which the key is, so that a call that joins needs no
        second look that could come too early. Nothing once the answer is no longer kept.
    */
    std::weak_ptr<RequestRecord> record {};
};

/** What an owner does with a call. */
enum class KeyVerdict
{
    /** Never seen, and nobody else can have run it: make the call. */
    run,
    /** The same call is being made or has ended here: give its answer. */
    join,
    /** It may have run before: say so. */
    unknown,
    /** The key stands for another request. */
    conflict,
    /** The key's time lies in the future. */
    tooNew,
    /** This router does not own the slot, or can't be sure that it still does. */
    notOwner
};

/** The answer to one keyed call. */
struct KeyDecision
{
    KeyVerdict verdict = KeyVerdict::notOwner;
    /** The entry that decided, where there is one. */
    std::optional<KeyEntry> entry;
};

/** One slot as its owner holds it. */
struct OwnedSlot
{
    /** Grows with each change of owner. */
    std::uint64_t epoch = 0;
    /** Every key with a later time is in the table if it was ever run. */
    WallTime knownSince {};
    /** No new call is taken: the slot is being handed over. */
    bool frozen = false;
};

/** The keys that this router has seen for the slots that it owns, and the one decision that keeps calls from running
    twice:

    - A key later than `knownSince` that is not in the table never ran: only an owner runs keyed calls, and an owner's
      table is complete from there on.
    - A key before `knownSince`, or older than the window, may have run under an owner whose table is gone.
    - An owner whose lease may have lapsed runs nothing.

    No input or output and no clock. The caller keeps the lock.
*/
class KeyTable
{
public:
    KeyTable() = default;
    explicit KeyTable (const SlotTimes& slotTimes) : times (slotTimes) {}

    /** Takes a slot whose last owner has stopped. That owner took no key ahead of its clock by more than the callers'
        skew, and its clock was not ahead of ours by more than the routers': what is later than both is new. A slot of
        the first epoch had no owner before.

        @param takenAt  wall time at the takeover or later
    */
    auto takeOver (std::uint32_t slot, std::uint64_t epoch, WallTime takenAt) -> void;

    /** Takes a slot with the table that its last owner handed over. */
    auto inherit (std::uint32_t slot,
                  std::uint64_t epoch,
                  WallTime knownSince,
                  const std::vector<KeyEntry>& entries) -> void;

    /** Stops taking calls for a slot that is to be handed over, or takes them again. */
    auto setFrozen (std::uint32_t slot, bool frozen) -> void;

    /** Gives a slot up. Its keys stay known for answers that are asked for again. */
    auto releaseSlot (std::uint32_t slot) -> void;

    /** Decides about a call, and remembers its key where the verdict is `run`.

        @param leaseEnd  until when this router may act as owner, by its own clock
    */
    auto decide (const KeyEntry& call, TimePoint now, WallTime wallNow, std::optional<TimePoint> leaseEnd)
        -> KeyDecision;

    /** Notes how a call ended. One that is proved not to have run is forgotten, so that it may run yet. */
    auto recordEnd (const std::string& account, const Uuid& key, Ran ran, bool answered) -> void;

    /** @returns the keys of a slot, to hand over. A call still running may have run for all that the heir can know. */
    [[nodiscard]] auto entriesOf (std::uint32_t slot) const -> std::vector<KeyEntry>;

    [[nodiscard]] auto runningIn (std::uint32_t slot) const -> std::size_t;
    [[nodiscard]] auto owned() const -> const std::map<std::uint32_t, OwnedSlot>& { return slots; }
    [[nodiscard]] auto owns (std::uint32_t slot) const -> bool { return slots.contains (slot); }
    [[nodiscard]] auto size() const -> std::size_t { return keys.size(); }

    /** Forgets the keys whose window is over. */
    auto dropOld (WallTime wallNow) -> void;

private:
    /** Ordered by the key first, that is by its time: old keys stand in front. */
    using Name = std::pair<Uuid, std::string>;

    [[nodiscard]] auto windowStart (WallTime wallNow) const -> WallTime { return wallNow - times.window; }

    SlotTimes times;
    std::map<std::uint32_t, OwnedSlot> slots;
    std::map<Name, KeyEntry> keys;
};

} // namespace snowrudder
