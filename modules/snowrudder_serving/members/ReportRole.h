#pragma once

#include "PeerReport.h"
#include "ReportTimes.h"

#include <cstddef>
#include <optional>

namespace snowrudder
{

/** What a node does among those that report to each other. */
enum class ReportRole
{
    /** Tells all others, and hears all. */
    direct,
    /** Tells one reader, and hears of all others from it. */
    member,
    /** Hears its members and the other readers, and tells the latter of its members. */
    reader
};

/** @param nodes  of the fleet, this one included */
inline auto reportRole (std::size_t nodes, bool isReader) -> ReportRole
{
    if (! reportsToReaders (nodes))
        return ReportRole::direct;

    return isReader ? ReportRole::reader : ReportRole::member;
}

/** @returns whose figures a node tells of its own accord. */
inline auto scopeToSend (ReportRole role) -> ReportScope
{
    return role == ReportRole::reader ? ReportScope::nodesOfReader : ReportScope::node;
}

/** @returns whether a report is to be taken in. Nodes that know the members for different lists may take each other for
    something else; what is not meant for this node's role would count the same nodes twice.

    @param isFromOwnReader  whether the reader sent it to which this node reports
*/
inline auto shouldAcceptReport (ReportRole role, ReportScope scope, bool isFromOwnReader) -> bool
{
    switch (role)
    {
        case ReportRole::direct:
            return scope == ReportScope::node;
        case ReportRole::member:
            return scope == ReportScope::allOthers && isFromOwnReader;
        case ReportRole::reader:
            break;
    }

    return scope != ReportScope::allOthers;
}

/** @returns whose figures a wanted report is answered with. A node's report to a reader always is; a report among equals when
    its node is heard for the first time: one that has just started is told at once what is left of the shared limits.

    @param isFirst  whether it is the first one of its node's process that is heard here
*/
inline auto scopeToRespond (ReportRole role, ReportScope scope, bool isFirst) -> std::optional<ReportScope>
{
    if (role == ReportRole::reader && scope == ReportScope::node)
        return ReportScope::allOthers;

    // A member was told because it asked.
    if (role == ReportRole::member || ! isFirst)
        return {};

    return scopeToSend (role);
}

} // namespace snowrudder
