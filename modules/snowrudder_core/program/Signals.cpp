#include "Signals.h"

#include "../log/Log.h"

#include <array>
#include <cerrno>
#include <cstdlib>
#include <exception>
#include <string_view>

namespace snowrudder
{

namespace
{

constexpr auto signalsOfStop = std::array { SIGTERM, SIGINT, SIGQUIT };

/** Signals that end a process by default, though nothing is wrong with it. SIGPIPE and SIGXFSZ show as errors of the call. */
constexpr auto ignoredSignals =
    std::array { SIGPIPE, SIGUSR1, SIGUSR2,   SIGALRM, SIGVTALRM, SIGPROF, SIGIO,
                 SIGPWR,  SIGXCPU, SIGSTKFLT, SIGXFSZ, SIGTSTP,   SIGTTIN, SIGTTOU };

constexpr auto faultSignals = std::array { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };

/** Enough for the handler of a fault, also when the thread's own stack has overflowed. */
constexpr auto faultStackBytes = std::size_t { 64 } * 1024;

auto heldSignals() -> sigset_t
{
    sigset_t signals;
    sigemptyset (&signals);
    sigaddset (&signals, reloadSignal);

    for (const auto number : signalsOfStop)
        sigaddset (&signals, number);

    return signals;
}

/** Logs a fault of this process and ends the process by the same signal: its handler is reset when it is called. */
auto endByFault (int number, siginfo_t* information, void*) -> void
{
    const auto savedError = errno;
    const auto isSent = information != nullptr && information->si_code <= 0;
    const auto* const address = information == nullptr || isSent ? nullptr : information->si_addr;
    logFault (number, address);
    errno = savedError;
    std::raise (number); // NOLINT(bugprone-signal-handler,cert-sig30-c): raise() is async-signal-safe (POSIX)
}

/** Logs the exception that ends this process. */
[[noreturn]] auto endByException() -> void
{
    try
    {
        if (const auto exception = std::current_exception())
            std::rethrow_exception (exception);
    }
    catch (const std::exception& error)
    {
        LogLine ("uncaught_exception").with ("reason", error.what()).error();
    }
    catch (...)
    {
        LogLine ("uncaught_exception").with ("reason", "not a standard exception").error();
    }

    std::abort();
}

/** Leaves a handler alone that something else has installed, such as the compiler's checks. */
auto hasDefaultAction (int number) -> bool
{
    struct sigaction current = {};
    return ::sigaction (number, nullptr, &current) == 0 && (current.sa_flags & SA_SIGINFO) == 0 &&
           current.sa_handler == SIG_DFL;
}

auto setAction (int number, const struct sigaction& action) -> void
{
    if (hasDefaultAction (number))
        ::sigaction (number, &action, nullptr);
}

} // namespace

auto stopSignals() -> std::span<const int>
{
    return signalsOfStop;
}

auto prepareSignals() -> void
{
    holdSignals();

    struct sigaction ignore = {};
    ignore.sa_handler = SIG_IGN;

    for (const auto number : ignoredSignals)
        setAction (number, ignore);

    static std::array<char, faultStackBytes> faultStack;
    stack_t stack = {};
    stack.ss_sp = faultStack.data();
    stack.ss_size = faultStack.size();
    ::sigaltstack (&stack, nullptr);

    struct sigaction fault = {};
    fault.sa_sigaction = endByFault;
    fault.sa_flags = static_cast<int> (SA_SIGINFO | SA_RESETHAND | SA_NODEFER | SA_ONSTACK);

    for (const auto number : faultSignals)
        setAction (number, fault);

    std::set_terminate (endByException);
}

auto deliverSignals() -> void
{
    const auto signals = heldSignals();
    ::pthread_sigmask (SIG_UNBLOCK, &signals, nullptr);
}

auto holdSignals() -> void
{
    const auto signals = heldSignals();
    ::pthread_sigmask (SIG_BLOCK, &signals, nullptr);
}

} // namespace snowrudder
