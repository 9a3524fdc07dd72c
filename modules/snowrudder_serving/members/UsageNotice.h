#pragma once

#include "../duties/UsageWindows.h"

#include <cstdint>
#include <string>

namespace snowrudder
{

/** A node's own counts, sent to the readers of its failure domain; or the counts of a whole failure domain, sent by one
    of its readers to the other readers. The counts of a window only increase, so that the next notice replaces a lost
    or late one.
*/
struct UsageNotice
{
    std::string node;
    /** Increases with each start of the node's process. */
    std::uint64_t incarnation = 0;
    /** The failure domain, if the counts are those of all its nodes; else empty. */
    std::string domain;
    CountsByWindow counts;
    /** Whether these are counts of answers by version, with a roll-out's number in place of each window. */
    bool isOfRollouts = false;
};

/** The interval between usage notices. */
inline constexpr auto usageInterval = 500ms;

} // namespace snowrudder
