#pragma once

#include "AsioNames.h"

#include "snowrudder_core/snowrudder_core.h"

#include <list>
#include <memory>
#include <optional>

namespace snowrudder
{

/** Ends reads and writes that take too long, for all sockets of one event loop. A deadline is a plain number that one
    timer looks over: setting one costs next to nothing, where a timer for each operation costs more than the
    operation's own bookkeeping (docs/design/router-cost.md). A deadline is kept to within two intervals.

    Belongs to its loop's thread.
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
    /** One watched socket. */
    struct Entry
    {
        tcp::socket* socket = nullptr;
        std::optional<TimePoint> deadline;
        bool expired = false;
    };

    /** All watched sockets, and the timer that runs while one of them has a deadline. */
    struct Entries : std::enable_shared_from_this<Entries>
    {
        explicit Entries (const asio::any_io_executor& executor) : timer (executor) {}

        auto startTimer() -> void;
        auto cancelExpired() -> void;

        std::list<Entry> list;
        asio::steady_timer timer;
        bool isRunning = false;
    };

    std::shared_ptr<Entries> entries;
};

/** Watches one socket for as long as it lives. */
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

    /** Sets the time that the next operations may take, all together. */
    auto start (Duration time) -> void
    {
        position->deadline = SteadyClock::now() + time;
        position->expired = false;
        entries->startTimer();
    }

    /** Lets operations take any time. */
    auto stop() -> void { position->deadline.reset(); }

    /** @returns whether the time ran out: the operation in progress was cancelled. */
    [[nodiscard]] auto hasExpired() const -> bool { return position->expired; }

private:
    std::shared_ptr<Entries> entries;
    std::list<Entry>::iterator position;
};

} // namespace snowrudder
