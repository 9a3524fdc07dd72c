#pragma once

#include "BootTimer.h"

#include "snowrudder_core/snowrudder_core.h"

#include <list>
#include <memory>
#include <optional>

namespace snowrudder
{

/** Cancels reads and writes that exceed their deadline, for all sockets of one event loop. One periodic timer checks
    all deadlines, so setting one only stores a point in time, whereas a timer per operation costs more than the
    operation's own bookkeeping (docs/design/router-cost.md). Operations are cancelled at most two intervals after
    their deadline.

    Used on the loop's thread only.
*/
class Watchdog
{
public:
    static constexpr auto interval = 20ms;

    explicit Watchdog (const asio::any_io_executor& executor) : entries (std::make_shared<Entries> (executor))
    {
    }

    class Watch;

private:
    /** A watched socket and its deadline. */
    struct Entry
    {
        tcp::socket* socket = nullptr;
        std::optional<TimePoint> deadline;
        bool expired = false;
    };

    /** All watched sockets, and the timer that runs while any of them has a deadline. */
    struct Entries : std::enable_shared_from_this<Entries>
    {
        explicit Entries (const asio::any_io_executor& executor) : timer (executor) {}

        auto startTimer() -> void;
        auto cancelExpired() -> void;

        std::list<Entry> list;
        BootTimer timer;
        bool isRunning = false;
    };

    std::shared_ptr<Entries> entries;
};

/** Watches one socket for the lifetime of this object. */
class Watchdog::Watch
{
public:
    Watch (Watchdog& watchdog, tcp::socket& socket)
        : entries (watchdog.entries),
          position (entries->list.insert (entries->list.end(), Entry { &socket, {}, false }))
    {
    }

    ~Watch() { entries->list.erase (position); }

    Watch (const Watch&) = delete;
    auto operator= (const Watch&) -> Watch& = delete;

    /** Sets the time limit for the operations that follow, in total. */
    auto start (Duration time) -> void
    {
        position->deadline = BootClock::now() + time;
        position->expired = false;
        entries->startTimer();
    }

    /** Removes the time limit. */
    auto stop() -> void { position->deadline.reset(); }

    /** @returns whether the deadline has expired, which cancels the operation in progress. */
    [[nodiscard]] auto hasExpired() const -> bool { return position->expired; }

private:
    std::shared_ptr<Entries> entries;
    std::list<Entry>::iterator position;
};

} // namespace snowrudder
