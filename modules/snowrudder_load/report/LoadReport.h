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

/** Times that an answer must keep to count as good for the cost (letter 1). */
struct LatencyTarget
{
    Duration firstToken = 1600ms;
    Duration betweenTokens = 30ms;
};

/** What became of the requests of one class. */
struct ClassResult
{
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    /** Good, and within the latency target. */
    std::uint64_t withinTarget = 0;
    /** Another text than the one that belongs to the request. */
    std::uint64_t wrong = 0;
    /** Ended without its end, or with a piece missing. */
    std::uint64_t truncated = 0;
    /** A piece came twice, or a call that may run once ran twice. */
    std::uint64_t duplicated = 0;
    /** Accepted, but no answer could be had. */
    std::uint64_t unanswered = 0;
    /** Told "not run", yet it ran; or told good, yet it never ran. */
    std::uint64_t misreported = 0;
    /** No connection could be made at all. */
    std::uint64_t unreachable = 0;
    std::uint64_t resumed = 0;
    std::map<std::string, std::uint64_t> errors;
    std::uint64_t tokens = 0;
    TimeHistogram firstToken;
    TimeHistogram betweenTokens;
    TimeHistogram total;
};

/** What callers were told of a call that may run once. */
struct CallRecord
{
    std::size_t classIndex = 0;
    bool wasSuccessful = false;
    bool wasReportedNotRun = false;
};

/** Figures from the engines and services. */
struct UpstreamCounts
{
    std::uint64_t computedPromptTokens = 0;
    std::uint64_t cachedPromptTokens = 0;
    std::uint64_t generatedTokens = 0;
    /** An hour's price of all VMs. */
    double price = 0.0;
    std::map<std::string, std::uint64_t> runsByKey;
    /** Every upstream ever listed: IP-NUMBER:PORT */
    std::set<std::string> endpoints;
};

/** The result of one run. Any thread may add to it under its mutex. */
struct LoadResult
{
    explicit LoadResult (std::size_t classCount) : classes (classCount), direct (classCount) {}

    std::mutex mutex;
    std::deque<ClassResult> classes;
    /** The same requests made directly to the upstream, where asked for. */
    std::deque<ClassResult> direct;
    std::map<std::string, CallRecord> calls;
    std::set<std::uint64_t> promptBlocks;
    std::uint64_t promptRemainders = 0;
    Duration elapsed {};
};

/** Checks the calls that may run once against the services' own counts. */
auto checkCalls (LoadResult& result, const UpstreamCounts& counts) -> void;

/** @returns prompt tokens that must be computed at least: each shared prefix once. */
auto minPromptTokens (const LoadResult& result) -> std::uint64_t;

/** @returns answers that broke a promise. */
auto countBreaches (const LoadResult& result) -> std::uint64_t;

/** Prints the report for a person. */
auto printReport (const LoadResult& result,
                  const UpstreamCounts& counts,
                  const schema::LoadSettings& workload) -> void;

/** @returns the report as JSON. */
auto reportJson (const LoadResult& result, const UpstreamCounts& counts, const schema::LoadSettings& workload)
    -> boost::json::object;

} // namespace snowrudder
