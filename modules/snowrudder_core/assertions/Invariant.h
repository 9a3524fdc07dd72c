#pragma once

#include <string_view>

namespace snowrudder
{

/** Called with the name of a violated invariant; must not return normally. */
using InvariantHandler = void (*) (std::string_view name);

/** Checks an invariant, in every type of build: a process that has violated an invariant aborts, so that it can't
    violate it again.

    @param holds  whether the invariant holds
    @param name   the invariant's name, for the message and for tests that provoke a violation
*/
auto requireInvariant (bool holds, std::string_view name) -> void;

/** Replaces the handler of violated invariants, for randomised tests.

    @returns the previous handler
*/
auto setInvariantHandler (InvariantHandler handler) -> InvariantHandler;

} // namespace snowrudder
