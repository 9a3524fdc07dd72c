#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Splits a stream into complete server-sent events without changing a byte, and records the last event's identifier. A
    replica may fail in the middle of an event: incomplete events are held back, so that another replica can resume the
    stream after the last complete one.
*/
class EventAssembler
{
public:
    /** The longest event that is held back until it is complete, in bytes. */
    static constexpr auto maxEventBytes = std::size_t { 1 } << 20U;

    /** Adds received bytes.

        @returns the events that are now complete, to be relayed; the view is valid until the next call
    */
    auto add (std::string_view bytes) -> std::string_view;

    /** Drops an incomplete event: the replica that resumes the stream sends it again. */
    auto dropPartial() -> void { partial.clear(); }

    [[nodiscard]] auto hasPartial() const -> bool { return ! partial.empty(); }

    /** @returns whether an incomplete event is longer than any may be. */
    [[nodiscard]] auto isTooLong() const -> bool { return partial.size() > maxEventBytes; }

    /** @returns the memory that an event takes which is not complete, or was relayed last, in bytes. */
    [[nodiscard]] auto heldBytes() const -> std::size_t
    {
        return partial.capacity() + completeEvents.capacity();
    }

    /** @returns the bytes of an incomplete event received so far. */
    [[nodiscard]] auto partialEvent() const -> std::string_view { return partial; }

    /** @returns the identifier of the last complete event, or an empty string. */
    [[nodiscard]] auto lastEventId() const -> const std::string& { return lastIdentifier; }

    /** @returns whether another replica can go on after the complete events: none has data that comes before the first
        identifier, which a replica would send again.
    */
    [[nodiscard]] auto mayBeContinued() const -> bool { return ! hasUnidentified; }

private:
    auto recordIdentifier (std::string_view events) -> void;

    std::string partial;
    std::string completeEvents;
    std::string lastIdentifier;
    /** Whether there was data before the first identifier. */
    bool hasUnidentified = false;
};

} // namespace snowrudder
