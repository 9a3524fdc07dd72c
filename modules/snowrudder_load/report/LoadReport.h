#pragma once

#include "load_settings.pb.h"

#include "snowrudder_core/snowrudder_core.h"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace snowrudder
{

/** The latencies within which an answer counts for the cost per thousand requests. */
struct LatencyTarget
{
    Duration firstToken = 1600ms;
    Duration betweenTokens = 30ms;
};

/** The outcomes of the requests of one class. */
struct ClassResult
{
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    /** Correct and within the latency target. */
    std::uint64_t withinTarget = 0;
    /** The text is not the expected one. */
    std::uint64_t wrong = 0;
    /** The answer is incomplete: its end or another part is missing. */
    std::uint64_t truncated = 0;
    /** Part of the answer was received twice, or a call that may run once ran twice. */
    std::uint64_t duplicated = 0;
    /** The request was accepted, but no answer was received. */
    std::uint64_t unanswered = 0;
    /** Reported as "not run" although it ran, or as successful although it never ran. */
    std::uint64_t misreported = 0;
    /** No response to any attempt was received. */
    std::uint64_t unreachable = 0;
    std::uint64_t resumed = 0;
    std::map<std::string, std::uint64_t> errors;
    std::uint64_t tokens = 0;
    TimeHistogram firstToken;
    TimeHistogram betweenTokens;
    TimeHistogram total;
};

/** The results reported to the caller of a call that may run once. */
struct CallRecord
{
    std::size_t classIndex = 0;
    bool wasSuccessful = false;
    bool wasReportedNotRun = false;
};

/** Counts reported by the engines and services. */
struct UpstreamCounts
{
    std::uint64_t computedPromptTokens = 0;
    std::uint64_t cachedPromptTokens = 0;
    std::uint64_t generatedTokens = 0;
    /** The price of all VMs per hour. */
    double price = 0.0;
    std::map<std::string, std::uint64_t> runsByKey;
    /** All upstreams that were listed at any reading, as IP-NUMBER:PORT. */
    std::set<std::string> endpoints;
};

/** The result of one run. Any thread may add to it while it holds the mutex. */
struct LoadResult
{
    explicit LoadResult (std::size_t classCount) : classes (classCount), direct (classCount) {}

    std::mutex mutex;
    std::deque<ClassResult> classes;
    /** The requests sent directly to an upstream; see LoadPlan::compareDirect. */
    std::deque<ClassResult> direct;
    std::map<std::string, CallRecord> calls;
    std::set<std::uint64_t> promptBlocks;
    std::uint64_t promptRemainders = 0;
    Duration elapsed {};
};

/** Checks the calls that may run once against the run counts of the services. */
auto checkCalls (LoadResult& result, const UpstreamCounts& counts) -> void;

/** @returns the minimum number of prompt tokens that must be computed, which is each shared prefix once. */
auto minPromptTokens (const LoadResult& result) -> std::uint64_t;

/** @returns the number of answers that violated a guarantee: wrong, truncated, duplicated, unanswered or misreported. */
auto countBreaches (const LoadResult& result) -> std::uint64_t;

/** Prints the report in a readable form to the standard output. */
auto printReport (const LoadResult& result,
                  const UpstreamCounts& counts,
                  const schema::LoadSettings& workload) -> void;

/** @returns the report as JSON. */
auto reportJson (const LoadResult& result, const UpstreamCounts& counts, const schema::LoadSettings& workload)
    -> boost::json::object;

} // namespace snowrudder
