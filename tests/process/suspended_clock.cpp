// Preloaded into processes under test so that a stop by signal looks like the suspension of their VM: the monotonic clock and
// the waits that it times stand still meanwhile, while CLOCK_BOOTTIME and the time of day go on. The test writes the time
// for which the process was stopped, in nanoseconds, into a file while the process is still stopped.

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdlib>

namespace
{

using ClockGettime = int (*) (clockid_t, timespec*);
using EpollWait = int (*) (int, epoll_event*, int, int);

constexpr auto nanosecondsPerSecond = std::int64_t { 1'000'000'000 };
constexpr auto nanosecondsPerMillisecond = std::int64_t { 1'000'000 };

template <typename Function>
auto nextDefinition (const char* name) -> Function
{
    return reinterpret_cast<Function> (dlsym (RTLD_NEXT, name));
}

/** @returns the total time for which the process was suspended, in nanoseconds. */
auto suspendedTime() -> std::int64_t
{
    static const auto file = []
    {
        const auto* path = std::getenv ("TEST_SUSPENDED_TIME");
        return path == nullptr ? -1 : ::open (path, O_RDONLY | O_CLOEXEC);
    }();

    auto time = std::int64_t { 0 };
    return ::pread (file, &time, sizeof time, 0) == sizeof time ? time : 0;
}

auto monotonicNow() -> std::int64_t
{
    timespec now {};
    clock_gettime (CLOCK_MONOTONIC, &now);
    return now.tv_sec * nanosecondsPerSecond + now.tv_nsec;
}

} // namespace

extern "C" auto clock_gettime (clockid_t clock, timespec* time) -> int
{
    static const auto next = nextDefinition<ClockGettime> ("clock_gettime");
    const auto result = next (clock, time);
    const auto stops =
        clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW || clock == CLOCK_MONOTONIC_COARSE;

    if (result != 0 || ! stops)
        return result;

    const auto awake = time->tv_sec * nanosecondsPerSecond + time->tv_nsec - suspendedTime();
    time->tv_sec = awake / nanosecondsPerSecond;
    time->tv_nsec = awake % nanosecondsPerSecond;
    return 0;
}

// The kernel's monotonic timers don't stop with the process. Without timer descriptors Asio waits by epoll_wait() alone.
extern "C" auto timerfd_create (int, int) -> int
{
    errno = ENOSYS;
    return -1;
}

extern "C" auto epoll_wait (int descriptor, epoll_event* events, int count, int timeout) -> int
{
    static const auto next = nextDefinition<EpollWait> ("epoll_wait");

    if (timeout <= 0)
        return next (descriptor, events, count, timeout);

    const auto end = monotonicNow() + timeout * nanosecondsPerMillisecond;

    for (;;)
    {
        const auto left = (end - monotonicNow() + nanosecondsPerMillisecond - 1) / nanosecondsPerMillisecond;
        const auto result = next (descriptor, events, count, left > 0 ? static_cast<int> (left) : 0);

        if (result != 0 || left <= 0)
            return result;
    }
}
