#pragma once

#include "AsioNames.h"

#include <functional>

namespace snowrudder
{

/** Receives the signals that ask this process to stop or to read its settings again, as long as it exists. Those that came
    earlier, since prepareSignals(), are received too. Create it on the thread on which prepareSignals() was called.
*/
class ProcessSignals
{
public:
    using Handler = std::function<void()>;

    /** @param executor  runs the handlers
        @param onStop    called for each signal that asks for a stop
        @param onReload  called for a signal that asks to read the settings again; several may be one
    */
    ProcessSignals (const asio::any_io_executor& executor, Handler onStop, Handler onReload);

    /** Holds the signals from now on. */
    ~ProcessSignals();

    ProcessSignals (const ProcessSignals&) = delete;
    auto operator= (const ProcessSignals&) -> ProcessSignals& = delete;

private:
    auto wait() -> void;

    asio::signal_set signals;
    Handler stop;
    Handler reload;
};

} // namespace snowrudder
