#pragma once

#include "../gateway/CallerScope.h"

#include <memory>

namespace snowrudder
{

/** Sends a record's answer to a caller: as a stream that starts after a given event, or whole once it is complete.
    Returns early when the caller disconnects; the record is still completed.

    @param after  number of the last event that the caller has received; 0 for none
*/
auto relayRecord (RouterState& state,
                  Exchange& exchange,
                  std::shared_ptr<RequestRecord> record,
                  std::size_t after) -> Task<void>;

} // namespace snowrudder
