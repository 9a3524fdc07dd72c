#include "ProcessSignals.h"

#include "snowrudder_core/snowrudder_core.h"

namespace snowrudder
{

ProcessSignals::ProcessSignals (const asio::any_io_executor& executor, Handler onStop, Handler onReload)
    : signals (executor), stop (std::move (onStop)), reload (std::move (onReload))
{
    boost::system::error_code error;
    signals.add (reloadSignal, error);

    for (const auto number : stopSignals())
        if (! error)
            signals.add (number, error);

    if (error)
    {
        LogLine ("signals_unavailable").with ("reason", error.message()).error();
        return;
    }

    wait();
    deliverSignals();
}

ProcessSignals::~ProcessSignals()
{
    holdSignals();
}

auto ProcessSignals::wait() -> void
{
    signals.async_wait (
        [this] (boost::system::error_code error, int number)
        {
            if (error)
                return;

            LogLine ("signal").with ("number", number).info();
            wait();
            number == reloadSignal ? reload() : stop();
        });
}

} // namespace snowrudder
