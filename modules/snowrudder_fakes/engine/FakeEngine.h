#pragma once

#include "../common/FakeServer.h"
#include "EngineModel.h"

#include "process_settings.pb.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace snowrudder
{

/** Faults of one engine, set by `POST /faults`. */
struct EngineFaults
{
    /** Requests are answered with 503 and never run. */
    bool refuse = false;
    /** Streams stop sending but stay open. */
    bool stall = false;
    /** Streams are closed before their end. */
    bool cut = false;
    /** Chunks are not valid JSON. */
    bool sendsMalformed = false;
    /** The engine is shutting down: /load reports it, and new requests are refused. */
    bool leaving = false;
};

/** The HTTP server of a fake model engine. Paths:

    - `POST /v1/chat/completions`  with `priority`, `continue_final_message`, `stream_options.continuous_usage_stats`;
                                   `X-Request-Id` identifies the request in the paths below
    - `POST /abort`                `{"request_id"}`
    - `POST /kv/export`            `{"request_id"}` returns `{"blocks"}`; `POST /kv/import` expects `{"blocks"}`
    - `GET /load`                  running and waiting requests and pending prompt tokens, delayed by the setting
                                   `load_lag_milliseconds`
    - `GET /cache_events?after=N`  blocks that the cache stored and evicted; a share of the events is missing
    - `POST /orders`               `{"fence", "model", "version", "role"}`; an outdated fence is refused with 409
    - `GET /stats`                 counts since the start
    - `POST /faults`               see EngineFaults
*/
class FakeEngine
{
public:
    FakeEngine (asio::io_context& eventLoop, const schema::FakeEngineSettings& engineSettings);

    /** Starts stepping the engine model in real time. */
    auto start() -> void;

    /** Handles one HTTP request. */
    auto handle (Exchange& exchange) -> Task<void>;

private:
    /** The steps of one open request that are not yet sent to its caller. */
    struct Stream
    {
        std::deque<EngineStep> steps;
        std::shared_ptr<Signal> signal;
        std::string name;
    };

    struct LoadReport
    {
        TimePoint time;
        boost::json::object figures;
    };

    struct NumberedEvent
    {
        std::uint64_t number = 0;
        CacheEvent event;
    };

    auto stepLoop() -> Task<void>;
    auto deliver (std::vector<EngineStep> steps) -> void;
    auto recordReports() -> void;

    auto handleChat (Exchange& exchange) -> Task<void>;
    auto streamAnswer (Exchange& exchange,
                       const std::shared_ptr<Stream>& stream,
                       std::uint64_t id,
                       bool includeUsage,
                       bool continuousUsage) -> Task<void>;
    auto wholeAnswer (Exchange& exchange, const std::shared_ptr<Stream>& stream) -> Task<void>;
    auto handleAbort (Exchange& exchange) -> Task<void>;
    auto handleExport (Exchange& exchange) -> Task<void>;
    auto handleImport (Exchange& exchange) -> Task<void>;
    auto handleLoad (Exchange& exchange) -> Task<void>;
    auto handleCacheEvents (Exchange& exchange) -> Task<void>;
    auto handleOrder (Exchange& exchange) -> Task<void>;
    auto handleStats (Exchange& exchange) -> Task<void>;
    auto handleFaults (Exchange& exchange) -> Task<void>;

    auto findByName (const std::string& name) const -> std::uint64_t;
    auto chunkText (const EngineStep& step, bool withUsage) const -> std::string;

    asio::io_context& loop;
    schema::FakeEngineSettings settings;
    EngineLimits limits;
    EngineModel model;
    EngineFaults faults;
    std::map<std::uint64_t, std::shared_ptr<Stream>> streams;
    std::uint64_t nextId = 1;
    std::deque<LoadReport> reports;
    std::deque<NumberedEvent> cacheEvents;
    std::uint64_t nextEvent = 1;
    std::uint64_t gapHash = 1;
    std::uint64_t fence = 0;
    std::string loadedVersion;
    std::string role = "serving";
    std::shared_ptr<Signal> workSignal;
};

} // namespace snowrudder
