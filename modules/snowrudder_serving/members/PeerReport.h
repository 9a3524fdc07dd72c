#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snowrudder
{

/** Tokens of one client account that a node admitted. */
struct AdmittedTokens
{
    /** Since the node's start. */
    double tokens = 0.0;
    /** Lately. */
    double tokensPerSecond = 0.0;
    /** What callers lately asked for, admitted or not. */
    double askedPerSecond = 0.0;
    /** What the node believes to be left of the account's burst, below zero after an overshoot. Nothing where it has had no
        request of the account yet: it does not know the limit then, and counts only what others took.
    */
    std::optional<double> level {};
};

/** Amounts by client account. */
using AccountAmounts = std::map<std::string, double, std::less<>>;

using AdmittedByAccount = std::map<std::string, AdmittedTokens, std::less<>>;

/** What a node gave to the replicas of one service. */
struct ServiceWork
{
    /** Prompt tokens to be read, lately. */
    double tokensPerSecond = 0.0;
    /** Requests that replicas have now. */
    double inFlight = 0.0;
    /** Prompt tokens that replicas read a millisecond, as the node learnt it. */
    std::optional<double> promptSpeed {};
};

/** Whose figures a report holds. */
enum class ReportScope
{
    /** Of the node that tells them. */
    node,
    /** Of a reader and of the nodes that report to it; told to the other readers. */
    nodesOfReader,
    /** Of all nodes but the one that is told; a reader's answer to a node's report. */
    allOthers
};

/** What a node tells of itself, or a reader of several nodes together, some times a second. */
struct PeerReport
{
    std::string node;
    /** Rises with each start of the node's process. */
    std::uint64_t incarnation = 0;
    /** Rises with each report. */
    std::uint64_t sequence = 0;
    ReportScope scope = ReportScope::node;
    /** Nodes whose figures it holds, as far as they were heard lately. */
    std::uint32_t nodes = 1;
    /** Revision of its configuration, and how old its proof was when it sent the report. */
    std::uint64_t configurationRevision = 0;
    Duration proofAge {};
    bool leaving = false;
    /** Whether it has been there long enough to know what the others admit. */
    bool isSettled = false;
    /** Of the requests that it stops; zero where there are none. */
    std::uint64_t crashDigest = 0;
    /** An account that is left out has the total that was last told, and was not asked for lately. */
    AdmittedByAccount admitted;
    /** By service. */
    std::map<std::string, ServiceWork, std::less<>> work;
};

} // namespace snowrudder
