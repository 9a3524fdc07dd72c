#pragma once

#include "PeerReport.h"
#include "ReportTimes.h"

#include <cstddef>
#include <optional>

namespace snowrudder
{

/** A node's role in the exchange of reports. */
enum class ReportRole
{
    /** Sends its reports to all other nodes and receives theirs. */
    direct,
    /** Reports to one reader, and receives the sum of all other nodes from it. */
    member,
    /** Receives the reports of its members and of the other readers, and sends the sum over its members to the other
        readers.
    */
    reader
};

/** @returns the role of a node.

    @param nodes  number of nodes of the fleet, including this one
*/
inline auto reportRole (std::size_t nodes, bool isReader) -> ReportRole
{
    if (! reportsToReaders (nodes))
        return ReportRole::direct;

    return isReader ? ReportRole::reader : ReportRole::member;
}

/** @returns the scope of the reports that a node sends unprompted. */
inline auto scopeToSend (ReportRole role) -> ReportScope
{
    return role == ReportRole::reader ? ReportScope::nodesOfReader : ReportScope::node;
}

/** @returns whether a report is accepted. Nodes with different lists of members may assume wrong roles for each other;
    a report that isn't meant for this node's role would count the same nodes twice.

    @param isFromOwnReader  whether the sender is the reader to which this node reports
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

/** @returns the scope of the response to an accepted report, or nothing if it gets none. A reader responds to each
    report of a single node. Nodes of equal role respond only to the first report of a process, so that a node
    that has just started receives at once what is left of the shared limits.

    @param isFirst  whether the report is the first one received from its node's process
*/
inline auto scopeToRespond (ReportRole role, ReportScope scope, bool isFirst) -> std::optional<ReportScope>
{
    if (role == ReportRole::reader && scope == ReportScope::node)
        return ReportScope::allOthers;

    // A report that a member receives is itself a response.
    if (role == ReportRole::member || ! isFirst)
        return {};

    return scopeToSend (role);
}

} // namespace snowrudder
