#pragma once

#include <csignal>
#include <span>

namespace snowrudder
{

/** @returns the signals that ask a process to stop. */
auto stopSignals() -> std::span<const int>;

/** Asks a process to read its settings again. */
inline constexpr auto reloadSignal = SIGHUP;

/** Defines what signals do to this process from now on. Call it first in main(), before any thread is started.

    - Those that ask for a stop or a reload are held until deliverSignals().
    - Those whose default action would end the process without need, such as that of a closed pipe, are ignored.
    - Those of a fault write a line to the log before the process ends by them.
*/
auto prepareSignals() -> void;

/** Delivers the signals that ask for a stop or a reload to the calling thread. Handlers must be installed before. */
auto deliverSignals() -> void;

/** Holds those signals again; none that arrives later ends the process. */
auto holdSignals() -> void;

} // namespace snowrudder
