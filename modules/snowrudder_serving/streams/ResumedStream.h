#pragma once

#include "../node/ServingState.h"

#include <optional>

namespace snowrudder
{

/** Finds out which version began the stream that an admitted request takes up, and restricts the request to replicas of that
    version. Other nodes are asked at most once.

    @returns the refusal if the stream can't go on
*/
auto findResumedStream (ServingState& state, RoutedRequest& request) -> Task<std::optional<Problem>>;

/** Asks other nodes about the stream that a request goes on with, taken up or within its answer.

    @returns whether one of them responded and none has seen another version at its replica
*/
auto isInStep (ServingState& state, const RoutedRequest& request) -> Task<bool>;

/** Records the beginning of a stream here and at other nodes, before its caller receives a part of it. A stream that was
    taken up is told again under its first name, since nodes may have left meanwhile.
*/
auto announceStream (ServingState& state, const RoutedRequest& request, const ReplicaInfo& replica) -> void;

} // namespace snowrudder
