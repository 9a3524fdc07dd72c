#include "RouterTimeouts.h"

namespace snowrudder
{

namespace
{

using std::chrono::milliseconds;

} // namespace

auto routerTimeouts (const schema::RouterSettings& settings) -> RouterTimeouts
{
    RouterTimeouts timeouts;
    const auto& given = settings.timeouts();

    if (given.has_connect_milliseconds())
        timeouts.call.connect = milliseconds (given.connect_milliseconds());

    if (given.has_first_byte_milliseconds())
        timeouts.call.firstByte = milliseconds (given.first_byte_milliseconds());

    if (given.has_idle_milliseconds())
        timeouts.call.idle = milliseconds (given.idle_milliseconds());

    if (given.has_resume_milliseconds())
        timeouts.resume = milliseconds (given.resume_milliseconds());

    if (given.has_keep_answer_milliseconds())
        timeouts.keepAnswer = milliseconds (given.keep_answer_milliseconds());

    if (given.has_drain_milliseconds())
        timeouts.drain = milliseconds (given.drain_milliseconds());

    return timeouts;
}

auto slotTimes (const schema::RouterSettings& settings) -> SlotTimes
{
    SlotTimes times;

    if (settings.has_slot_lease_milliseconds())
        times.lease = milliseconds (settings.slot_lease_milliseconds());

    if (settings.has_slot_margin_milliseconds())
        times.margin = milliseconds (settings.slot_margin_milliseconds());

    return times;
}

auto serverLimits (const schema::RouterSettings& settings) -> ServerLimits
{
    ServerLimits limits;
    const auto& given = settings.timeouts();

    if (settings.limits().has_header_bytes())
        limits.headerBytes = settings.limits().header_bytes();

    if (settings.limits().has_body_bytes())
        limits.bodyBytes = settings.limits().body_bytes();

    if (given.has_header_milliseconds())
        limits.headerTimeout = limits.idleTimeout = milliseconds (given.header_milliseconds());

    if (given.has_body_milliseconds())
        limits.bodyTimeout = milliseconds (given.body_milliseconds());

    if (given.has_write_milliseconds())
        limits.writeTimeout = milliseconds (given.write_milliseconds());

    return limits;
}

} // namespace snowrudder
