#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <boost/asio/io_context.hpp>

namespace snowrudder
{

/** An event loop whose waiting coroutines can be destroyed while the objects that they refer to still exist. An
    io_context destroys them in its destructor only: the coroutines that still wait then use freed memory, and a
    stopping process crashes or spins.
*/
class EventLoop : public boost::asio::io_context
{
public:
    using boost::asio::io_context::io_context;

    /** Destroys all coroutines that wait in the loop. Call after run() has returned; the loop can't run anything
        afterwards.
    */
    auto destroyWaitingCoroutines() -> void { shutdown(); }
};

} // namespace snowrudder
