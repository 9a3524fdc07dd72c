#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <boost/asio/io_context.hpp>

namespace snowrudder
{

/** An event loop whose waiting coroutines can be ended while what they refer to is still there. An io_context ends them only in
    its destructor: those that still wait then use freed memory, and a process that should stop crashes or spins.
*/
class EventLoop : public boost::asio::io_context
{
public:
    using boost::asio::io_context::io_context;

    /** Ends all coroutines that wait in the loop. To be called after run() has returned; nothing runs in it afterwards. */
    auto destroyWaitingCoroutines() -> void { shutdown(); }
};

} // namespace snowrudder
