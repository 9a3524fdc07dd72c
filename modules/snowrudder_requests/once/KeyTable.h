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

/** State of the call of one key. */
enum class KeyState
{
    /** This router is making the call. */
    running,
    /** The call ran, and its answer is complete. */
    finished,
    /** The call may have run; its answer is not known. */
    mayHaveRun
};

/** One key in the table of a slot's owner. */
struct KeyEntry
{
    std::string account;
    Uuid key;
    /** Hash of method, path and body, to detect a different request with the same key. */
    std::uint64_t contentHash = 0;
    KeyState state = KeyState::running;
    /** The request that made the call. */
    std::string requestId;
    /** The record that receives and keeps the call's answer. It is set when the key is added, so that a repeat of the
        call needs no separate lookup, which could come before the record is registered. Expired once the answer is no
        longer kept.
    */
    std::weak_ptr<RequestRecord> record {};
};

/** What a slot's owner does with a keyed call. */
enum class KeyVerdict
{
    /** The key is new, and no other router can have run the call: make it. */
    run,
    /** The same call is running or has finished here: return its answer. */
    join,
    /** The call may have run before, and its answer is not known: return an error that states this. */
    unknown,
    /** The key was used with a different request. */
    conflict,
    /** The key's time lies in the future. */
    tooNew,
    /** This router does not own the slot, or its lease may have ended. */
    notOwner
};

/** The decision about one keyed call. */
struct KeyDecision
{
    KeyVerdict verdict = KeyVerdict::notOwner;
    /** The existing entry of the key, if there is one. */
    std::optional<KeyEntry> entry;
};

/** State of a slot at its owner. */
struct OwnedSlot
{
    /** Increases with each change of owner. */
    std::uint64_t epoch = 0;
    /** Every key with a later time is in the table if its call ever ran. */
    WallTime knownSince {};
    /** Whether new calls are rejected because the slot is being handed over. */
    bool frozen = false;
};

/** The keys of the slots that this router owns. Its decisions ensure that no keyed call runs twice:

    - The call of a key later than `admissionsKnownSince` that is not in the table never ran: only an owner runs keyed calls, and
      its table is complete from that time on.
    - The call of a key before `admissionsKnownSince`, or older than the window, may have run at an owner whose table is lost.
    - An owner whose lease may have ended runs no call.

    Does no I/O and reads no clock. Not thread-safe; callers hold a lock.
*/
class KeyTable
{
public:
    KeyTable() = default;
    explicit KeyTable (const SlotTimes& slotTimes) : times (slotTimes) {}

    /** Takes over a slot whose last owner has stopped without handing over its table. That owner accepted no key
        further ahead of its clock than `callerSkew`, and its clock was at most `routerSkew` ahead of this one: a key
        later than both is new. A slot in its first epoch had no owner before.

        @param takenAt  wall time at the takeover or later
    */
    auto takeOver (std::uint32_t slot, std::uint64_t epoch, WallTime takenAt) -> void;

    /** Takes over a slot with the entries that its last owner handed over. */
    auto inherit (std::uint32_t slot,
                  std::uint64_t epoch,
                  WallTime knownSince,
                  const std::vector<KeyEntry>& entries) -> void;

    /** Stops or resumes accepting new calls for a slot that is to be handed over. */
    auto setFrozen (std::uint32_t slot, bool frozen) -> void;

    /** Releases a slot. Its keys stay in the table, so that repeats of their calls still get the answers. */
    auto releaseSlot (std::uint32_t slot) -> void;

    /** Decides what to do with a call, and adds its key if the verdict is `run`.

        @param leaseEnd  until when this router may act as owner, by its boot clock; nothing if it holds no lease
    */
    auto decide (const KeyEntry& call, TimePoint now, WallTime wallNow, std::optional<TimePoint> leaseEnd)
        -> KeyDecision;

    /** Records the end of a call. The key of a call that is proved not to have run is removed, so that the call can be
        made again.

        @param answered  whether the answer is complete
    */
    auto recordEnd (const std::string& account, const Uuid& key, Ran ran, bool answered) -> void;

    /** @returns the entries of a slot, to hand them over. The new owner has to assume that a call still running here
        may have run.
    */
    [[nodiscard]] auto entriesOf (std::uint32_t slot) const -> std::vector<KeyEntry>;

    [[nodiscard]] auto runningIn (std::uint32_t slot) const -> std::size_t;
    [[nodiscard]] auto owned() const -> const std::map<std::uint32_t, OwnedSlot>& { return slots; }
    [[nodiscard]] auto owns (std::uint32_t slot) const -> bool { return slots.contains (slot); }
    [[nodiscard]] auto size() const -> std::size_t { return keys.size(); }

    /** Removes the keys whose window has passed. */
    auto dropOld (WallTime wallNow) -> void;

private:
    /** Ordered by the key first and therefore by time: the oldest keys come first. */
    using TableKey = std::pair<Uuid, std::string>;

    [[nodiscard]] auto windowStart (WallTime wallNow) const -> WallTime { return wallNow - times.window; }

    SlotTimes times;
    std::map<std::uint32_t, OwnedSlot> slots;
    std::map<TableKey, KeyEntry> keys;
};

} // namespace snowrudder
