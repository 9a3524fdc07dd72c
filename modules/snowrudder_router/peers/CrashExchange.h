#pragma once

#include "../state/RouterState.h"

#include <optional>
#include <string>

namespace snowrudder
{

/** Path at which routers exchange crash evidence. */
inline constexpr auto crashesTarget = std::string_view ("/internal/crashes");

/** Sends evidence of replica crashes to the other routers: new evidence to all of them at once, and all evidence to one
    randomly selected router each second, as long as there is any or this router has just started. Never returns.

    @param changeSignal  notified when there is new evidence
*/
auto gossipCrashes (RouterState& state, Worker& worker, std::shared_ptr<Signal> changeSignal) -> Task<void>;

/** Merges the crash evidence of another router.

    @returns this router's evidence, encoded; nothing if the message is malformed
*/
auto exchangeCrashes (RouterState& state, const std::string& message) -> std::optional<std::string>;

} // namespace snowrudder
