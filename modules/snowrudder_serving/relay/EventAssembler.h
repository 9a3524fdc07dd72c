#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snowrudder
{

/** Cuts a stream into whole server-sent events, byte for byte, and notes the last identifier. A replica may be lost in
    the middle of an event: what is not whole is not passed on, so that another replica can go on behind the last one.
*/
class EventAssembler
{
public:
    /** Adds bytes as they came.

        @returns the whole events among them, to be passed on; the view holds until the next call
    */
    auto add (std::string_view bytes) -> std::string_view;

    /** Drops the part of an event that came last: another replica makes it anew. */
    auto dropPartial() -> void { partial.clear(); }

    [[nodiscard]] auto hasPartial() const -> bool { return ! partial.empty(); }

    /** @returns the part of an event that has come so far. */
    [[nodiscard]] auto partialEvent() const -> std::string_view { return partial; }

    /** @returns the identifier of the last whole event, or an empty text. */
    [[nodiscard]] auto lastEventId() const -> const std::string& { return lastIdentifier; }

private:
    auto recordIdentifier (std::string_view events) -> void;

    std::string partial;
    std::string completeEvents;
    std::string lastIdentifier;
};

} // namespace snowrudder
