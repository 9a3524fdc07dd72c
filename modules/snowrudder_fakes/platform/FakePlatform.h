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

/** Faults of the platform, set by `POST /faults`. */
struct PlatformFaults
{
    /** The key-value service does not respond. */
    bool keyValueDown = false;
    /** Writes take effect, but their responses are lost. */
    bool loseAnswers = false;
    /** Delays each response of the key-value service. */
    std::uint32_t delayMilliseconds = 0;
    /** Requests to start VMs are refused. */
    bool refuseStarts = false;
};

/** The numbers of calls since the start. Tests check the nodes' call budgets by them. */
struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t vmLists = 0;
    std::uint64_t limited = 0;
};

/** A fake of the platform. Paths, all with JSON bodies:

    - `POST /kv/get` `{"key"}`; `POST /kv/list` `{"prefix"}`
    - `POST /kv/swap` `{"key", "expected", "value", "lease"}`: 409 with the current version when it is not the expected one
    - `POST /kv/watch` `{"prefix", "after", "wait_milliseconds"}`: responds as soon as a key with the prefix is newer
    - `POST /lease/grant` `{"milliseconds"}`; `POST /lease/renew` and `/lease/end` `{"lease"}`
    - `GET /vms`: the VM list, delayed by the setting `vm_list_lag_milliseconds`; `POST /vms` replaces it
    - `GET /cloud/prices`; `POST /cloud/start` `{"token", "class", "failure_domain", "reclaimable"}`;
      `POST /cloud/stop` `{"vm"}`; `GET /cloud/notices?vm=NAME`
    - `POST /cloud/reclaim` `{"vm" or "failure_domain", "notice_milliseconds"}`: lets a test reclaim one VM, or all of a
      failure domain at once
    - `POST /weights/fetch` `{"bytes"}`: responds when the bytes are transferred at the rate of the weight store
    - `GET /stats`, `POST /faults`
*/
class FakePlatform
{
public:
    FakePlatform (asio::io_context& eventLoop, const schema::FakePlatformSettings& platformSettings);

    /** Loads the settings tree and the VM list from the files given in the settings.

        @param settingsFile  the paths of the files are relative to it
        @returns             an error message; empty on success
    */
    auto loadInitialState (const std::string& settingsFile) -> std::string;

    auto start() -> void;
    auto handle (Exchange& exchange) -> Task<void>;

private:
    /** A token bucket that limits the calls per second. */
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
