#pragma once

#include "../state/RouterState.h"

#include <optional>
#include <string>

namespace snowrudder
{

/** Where routers tell each other of crashes. */
inline constexpr auto crashesTarget = std::string_view ("/internal/crashes");

/** Tells the other routers of crashes of replicas: what is new to all of them at once, and what is known to one router drawn at
    random each second, as long as there is something or this router has just started. Runs for ever.

    @param wake  notified when there is something new
*/
auto gossipCrashes (RouterState& state, Worker& worker, std::shared_ptr<Signal> changeSignal) -> Task<void>;

/** Takes in what another router knows of crashes.

    @returns what this one knows, or nothing when the message is not understood
*/
auto exchangeCrashes (RouterState& state, const std::string& message) -> std::optional<std::string>;

} // namespace snowrudder
