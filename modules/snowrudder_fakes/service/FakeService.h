#pragma once

#include "../common/FakeServer.h"

#include "process_settings.pb.h"

#include <map>
#include <string>

namespace snowrudder
{

/** Faults of one plain service, set by `POST /faults`. */
struct ServiceFaults
{
    /** Calls are answered with 503 and not run. */
    bool refuse = false;
    /** Calls run, then the connection is closed without an answer. */
    bool loseAnswers = false;
    /** Calls run, but no answer is sent until the fault is cleared. */
    bool stall = false;
};

/** A fake of a plain service. A request to any path counts as a run of the key in its `Call-Key` header, except for the
    first three of these paths:

    - `GET /stats`    the number of runs of each key
    - `GET /load`     the number of calls that are running
    - `POST /faults`  see ServiceFaults
    - `GET /status/N` responds with status N
    - `GET /bytes/N`  responds with N bytes
    - `/echo`         responds with the body of the request
*/
class FakeService
{
public:
    FakeService (asio::io_context& eventLoop, const schema::FakeServiceSettings& serviceSettings)
        : loop (eventLoop), settings (serviceSettings)
    {
    }

    auto handle (Exchange& exchange) -> Task<void>;

private:
    auto run (Exchange& exchange) -> Task<void>;
    auto respondStats (Exchange& exchange) -> Task<void>;
    auto switchFaults (Exchange& exchange) -> Task<void>;

    asio::io_context& loop;
    schema::FakeServiceSettings settings;
    ServiceFaults faults;
    std::map<std::string, std::uint64_t> runs;
    std::uint64_t total = 0;
    std::uint32_t running = 0;
};

} // namespace snowrudder
