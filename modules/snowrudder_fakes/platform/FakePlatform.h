#pragma once

#include "../common/FakeServer.h"
#include "KeyValueModel.h"

#include "process_settings.pb.h"

#include <deque>
#include <map>
#include <string>
#include <system_error>

namespace snowrudder
{

/** Faults of the platform, switched by `POST /faults`. */
struct PlatformFaults
{
    /** The key-value service does not answer at all. */
    bool keyValueDown = false;
    /** Writes take effect, but their answers are lost. */
    bool loseAnswers = false;
    /** Each answer of the key-value service comes this much later. */
    std::uint32_t delayMilliseconds = 0;
    /** Requests to start VMs are refused. */
    bool refuseStarts = false;
};

/** Calls counted since the start, for the budget. */
struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t vmLists = 0;
    std::uint64_t limited = 0;
};

/** The platform. Paths, all JSON:

    - `POST /kv/get` `{"key"}`; `POST /kv/list` `{"prefix"}`
    - `POST /kv/swap` `{"key", "expected", "value", "lease"}`: 409 with the version when another came first
    - `POST /kv/watch` `{"prefix", "after", "wait_milliseconds"}`: answers once a key of the prefix is newer
    - `POST /lease/grant` `{"milliseconds"}`; `POST /lease/renew` and `/lease/end` `{"lease"}`
    - `GET /vms`: the VM list, as it was some time ago; `POST /vms` replaces it
    - `GET /cloud/prices`; `POST /cloud/start` `{"token", "class", "failure_domain", "reclaimable"}`;
      `POST /cloud/stop` `{"vm"}`; `GET /cloud/notices?vm=NAME`
    - `POST /cloud/reclaim` `{"vm" or "failure_domain", "notice_milliseconds"}`: a test's wave
    - `POST /weights/fetch` `{"bytes"}`: answers when the store's rate has let them through
    - `GET /stats`, `POST /faults`
*/
class FakePlatform
{
public:
    FakePlatform (asio::io_context& eventLoop, const schema::FakePlatformSettings& platformSettings);

    /** Holds the tree and VM list that the settings name.

        @param settingsFile  paths are relative to it
        @returns             an error text, empty when all was read
    */
    auto loadInitialState (const std::string& settingsFile) -> std::string;

    auto start() -> void;
    auto handle (Exchange& exchange) -> Task<void>;

private:
    /** A budget of calls a second that fills evenly. */
    struct CallRateLimiter
    {
        double perSecond = 1e9;
        double available = 0.0;
        TimePoint lastRefill {};

        auto take (TimePoint now) -> bool;
    };

    struct TimedVmList
    {
        TimePoint time;
        boost::json::object list;
    };

    auto handleKeyValue (Exchange& exchange, std::string_view path) -> Task<void>;
    auto handleSwap (Exchange& exchange) -> Task<void>;
    auto handleWatch (Exchange& exchange) -> Task<void>;
    auto handleLease (Exchange& exchange, std::string_view path) -> Task<void>;
    auto handleVms (Exchange& exchange) -> Task<void>;
    auto handleCloud (Exchange& exchange, std::string_view path) -> Task<void>;
    auto handleStart (Exchange& exchange) -> Task<void>;
    auto handleReclaim (Exchange& exchange) -> Task<void>;
    auto handleWeights (Exchange& exchange) -> Task<void>;
    auto handleStats (Exchange& exchange) -> Task<void>;
    auto handleFaults (Exchange& exchange) -> Task<void>;

    auto pause (Duration time) -> Task<void>;
    auto expireLoop() -> Task<void>;
    auto waitWhileDown() -> Task<void>;
    auto admitCall (CallRateLimiter& limiter) -> bool;
    auto setVmList (boost::json::object list) -> void;
    auto removeVm (std::string name, Duration after) -> Task<void>;

    asio::io_context& loop;
    schema::FakePlatformSettings settings;
    KeyValueModel keyValues;
    PlatformFaults faults;
    PlatformCounts counts;
    CallRateLimiter reads;
    CallRateLimiter writes;
    std::deque<TimedVmList> vmLists;
    boost::json::object vmList;
    boost::json::object prices;
    std::map<std::string, std::string> startedByToken;
    std::map<std::string, boost::json::object> notices;
    std::uint64_t nextVm = 1;
    TimePoint weightsFreeAt {};
};

} // namespace snowrudder
