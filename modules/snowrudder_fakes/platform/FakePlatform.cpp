#include "FakePlatform.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto settingsTreeKey = "settings/tree";
constexpr auto watchPollInterval = 20ms;

auto readFile (const std::filesystem::path& file) -> std::string
{
    std::ifstream stream (file, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return stream ? text.str() : std::string();
}

auto valueObject (const std::string& key, const KeyValue& value) -> json::object
{
    return {
        { "key", key }, { "value", value.value }, { "version", value.version }, { "lease", value.lease }
    };
}

} // namespace

FakePlatform::FakePlatform (asio::io_context& eventLoop, const schema::FakePlatformSettings& platformSettings)
    : loop (eventLoop), settings (platformSettings)
{
    if (settings.has_reads_per_second())
        reads.perSecond = settings.reads_per_second();

    if (settings.has_writes_per_second())
        writes.perSecond = settings.writes_per_second();

    setVmList ({ { "vms", json::array() } });
}

auto FakePlatform::loadInitialState (const std::string& settingsFile) -> std::string
{
    const auto folder = std::filesystem::path (settingsFile).parent_path();

    if (! settings.settings_tree().empty())
    {
        const auto text = readFile (folder / settings.settings_tree());

        if (text.empty())
            return "can't read " + settings.settings_tree();

        keyValues.swap (settingsTreeKey, 0, text, 0);
    }

    if (settings.vm_list().empty())
        return {};

    boost::system::error_code error;
    json::parse_options options;
    options.allow_comments = true;
    auto value = json::parse (readFile (folder / settings.vm_list()), error, {}, options);

    if (error || ! value.is_object())
        return "can't read " + settings.vm_list();

    auto list = std::move (value.get_object());

    if (const auto* given = list.if_contains ("prices"); given != nullptr && given->is_object())
        prices = given->get_object();

    vmLists.clear();
    setVmList (std::move (list));
    return {};
}

auto FakePlatform::start() -> void
{
    asio::co_spawn (loop, expireLoop(), asio::detached);
}

auto FakePlatform::handle (Exchange& exchange) -> Task<void>
{
    const auto path = exchange.path();

    if (path.starts_with ("/kv/"))
        return handleKeyValue (exchange, path);

    if (path.starts_with ("/lease/"))
        return handleLease (exchange, path);

    if (path == "/vms")
        return handleVms (exchange);

    if (path.starts_with ("/cloud/"))
        return handleCloud (exchange, path);

    if (path == "/weights/fetch")
        return handleWeights (exchange);

    if (path == "/stats")
        return handleStats (exchange);

    if (path == "/faults")
        return handleFaults (exchange);

    return respondJson (exchange, http::status::not_found, makeObject ("error", "no such path"));
}

auto FakePlatform::CallRateLimiter::take (TimePoint now) -> bool
{
    const auto passed = std::chrono::duration<double> (now - lastRefill).count();
    available = std::min (perSecond, available + passed * perSecond);
    lastRefill = now;

    if (available < 1.0)
        return false;

    available -= 1.0;
    return true;
}

auto FakePlatform::pause (Duration time) -> Task<void>
{
    BootTimer timer (loop, time);
    co_await timer.async_wait (asTuple);
}

auto FakePlatform::expireLoop() -> Task<void>
{
    for (;;)
    {
        co_await pause (100ms);
        keyValues.expireLeases (BootClock::now());
    }
}

auto FakePlatform::waitWhileDown() -> Task<void>
{
    if (faults.delayMilliseconds > 0)
        co_await pause (std::chrono::milliseconds (faults.delayMilliseconds));

    while (faults.keyValueDown)
        co_await pause (50ms);
}

auto FakePlatform::admitCall (CallRateLimiter& limiter) -> bool
{
    if (limiter.take (BootClock::now()))
        return true;

    ++counts.limited;
    return false;
}

auto FakePlatform::handleKeyValue (Exchange& exchange, std::string_view path) -> Task<void>
{
    co_await waitWhileDown();
    const auto isSwap = path == "/kv/swap";

    if (! admitCall (isSwap ? writes : reads))
    {
        co_await respondJson (exchange, http::status::too_many_requests,
                              makeObject ("error", "over the rate"));
        co_return;
    }

    if (isSwap)
    {
        co_await handleSwap (exchange);
        co_return;
    }

    if (path == "/kv/watch")
    {
        co_await handleWatch (exchange);
        co_return;
    }

    ++counts.reads;
    const auto body = jsonBody (exchange);

    if (path == "/kv/get")
    {
        const auto key = textIn (body, "key");
        co_await respondJson (exchange, http::status::ok, valueObject (key, keyValues.read (key)));
        co_return;
    }

    json::array list;

    for (const auto& [key, value] : keyValues.list (textIn (body, "prefix")))
        list.emplace_back (valueObject (key, value));

    co_await respondJson (exchange, http::status::ok, makeObject ("values", std::move (list)));
}

auto FakePlatform::handleSwap (Exchange& exchange) -> Task<void>
{
    ++counts.writes;
    const auto body = jsonBody (exchange);
    const auto result = keyValues.swap (textIn (body, "key"), wholeNumberIn (body, "expected"),
                                        textIn (body, "value"), wholeNumberIn (body, "lease"));

    if (faults.loseAnswers)
        co_return;

    if (! result)
    {
        co_await respondJson (exchange, http::status::bad_request,
                              makeObject ("error", "value too large or lease ended"));
        co_return;
    }

    co_await respondJson (exchange, result->swapped ? http::status::ok : http::status::conflict,
                          makeObject ("version", result->version));
}

auto FakePlatform::handleWatch (Exchange& exchange) -> Task<void>
{
    ++counts.watches;
    const auto body = jsonBody (exchange);
    const auto prefix = textIn (body, "prefix");
    const auto after = wholeNumberIn (body, "after");
    const auto end = BootClock::now() + std::chrono::milliseconds (wholeNumberIn (body, "wait_milliseconds"));

    while (BootClock::now() < end && (keyValues.newestVersion (prefix) <= after || faults.keyValueDown))
        co_await pause (watchPollInterval);

    co_await respondJson (exchange, http::status::ok,
                          makeObject ("version", keyValues.newestVersion (prefix)));
}

auto FakePlatform::handleLease (Exchange& exchange, std::string_view path) -> Task<void>
{
    co_await waitWhileDown();

    if (! admitCall (writes))
    {
        co_await respondJson (exchange, http::status::too_many_requests,
                              makeObject ("error", "over the rate"));
        co_return;
    }

    ++counts.writes;
    const auto body = jsonBody (exchange);
    const auto now = BootClock::now();
    auto lease = wholeNumberIn (body, "lease");
    auto isGood = true;

    if (path == "/lease/grant")
        lease = keyValues.grantLease (std::chrono::milliseconds (wholeNumberIn (body, "milliseconds")), now);
    else if (path == "/lease/renew")
        isGood = keyValues.renewLease (lease, now);
    else
        keyValues.endLease (lease);

    if (faults.loseAnswers)
        co_return;

    co_await respondJson (exchange, isGood ? http::status::ok : http::status::gone,
                          makeObject ("lease", lease));
}

auto FakePlatform::setVmList (json::object list) -> void
{
    vmList = std::move (list);
    vmLists.push_back ({ BootClock::now(), vmList });
}

auto FakePlatform::handleVms (Exchange& exchange) -> Task<void>
{
    if (exchange.request().method() == http::verb::post)
    {
        setVmList (jsonBody (exchange));
        co_await respondJson (exchange, http::status::ok, json::object());
        co_return;
    }

    ++counts.vmLists;
    const auto lag = std::chrono::milliseconds (settings.vm_list_lag_milliseconds());
    const auto now = BootClock::now();

    while (vmLists.size() > 1 && now - vmLists[1].time >= lag)
        vmLists.pop_front();

    co_await respondJson (exchange, http::status::ok, vmLists.front().list);
}

auto FakePlatform::handleCloud (Exchange& exchange, std::string_view path) -> Task<void>
{
    if (path == "/cloud/start")
    {
        co_await handleStart (exchange);
        co_return;
    }

    if (path == "/cloud/reclaim")
    {
        co_await handleReclaim (exchange);
        co_return;
    }

    if (path == "/cloud/stop")
    {
        asio::co_spawn (loop, removeVm (textIn (jsonBody (exchange), "vm"), 0ms), asio::detached);
        co_await respondJson (exchange, http::status::ok, json::object());
        co_return;
    }

    if (path == "/cloud/notices")
    {
        const auto found = notices.find (std::string (exchange.query ("vm")));
        co_await respondJson (exchange, http::status::ok,
                              found == notices.end() ? json::object() : found->second);
        co_return;
    }

    co_await respondJson (exchange, http::status::ok, prices);
}

auto FakePlatform::handleStart (Exchange& exchange) -> Task<void>
{
    const auto body = jsonBody (exchange);
    const auto token = textIn (body, "token");

    if (const auto started = startedByToken.find (token); started != startedByToken.end())
    {
        co_await respondJson (exchange, http::status::ok, makeObject ("vm", started->second));
        co_return;
    }

    if (faults.refuseStarts)
    {
        co_await respondJson (exchange, http::status::service_unavailable,
                              makeObject ("error", "no capacity"));
        co_return;
    }

    const auto name = "vm-" + std::to_string (nextVm++);
    startedByToken[token] = name;

    auto list = vmList;
    list["vms"].get_array().push_back (makeObject (
        "name", name, "failure_domain", textIn (body, "failure_domain"), "class", textIn (body, "class"),
        "reclaimable", flagIn (body, "reclaimable", true), "state", "live", "replicas", json::array()));
    setVmList (std::move (list));

    if (! faults.loseAnswers)
        co_await respondJson (exchange, http::status::ok, makeObject ("vm", name));
}

auto FakePlatform::handleReclaim (Exchange& exchange) -> Task<void>
{
    const auto body = jsonBody (exchange);
    const auto wantedVm = textIn (body, "vm");
    const auto wantedDomain = textIn (body, "failure_domain");
    const auto notice = std::chrono::milliseconds (wholeNumberIn (body, "notice_milliseconds"));
    auto list = vmList;
    json::array noticed;

    for (auto& entry : list["vms"].get_array())
    {
        auto& vm = entry.get_object();
        const auto name = textIn (vm, "name");
        const auto isWanted =
            wantedVm.empty() ? textIn (vm, "failure_domain") == wantedDomain : name == wantedVm;

        if (! isWanted || ! flagIn (vm, "reclaimable", true))
            continue;

        vm["state"] = "leaving";
        vm["leaves_in_milliseconds"] = notice.count();
        notices[name] = makeObject ("vm", name, "milliseconds", notice.count());
        noticed.emplace_back (name);
        asio::co_spawn (loop, removeVm (name, notice), asio::detached);
    }

    setVmList (std::move (list));
    co_await respondJson (exchange, http::status::ok, makeObject ("noticed", std::move (noticed)));
}

auto FakePlatform::removeVm (std::string name, Duration after) -> Task<void>
{
    co_await pause (after);
    auto list = vmList;
    auto& vms = list["vms"].get_array();

    for (auto position = vms.begin(); position != vms.end();)
    {
        if (textIn (position->get_object(), "name") == name)
            position = vms.erase (position);
        else
            ++position;
    }

    setVmList (std::move (list));
}

auto FakePlatform::handleWeights (Exchange& exchange) -> Task<void>
{
    constexpr auto defaultRate = 1e9;
    const auto rate =
        settings.has_weight_store_bytes_per_second() ? settings.weight_store_bytes_per_second() : defaultRate;
    const auto seconds = std::chrono::duration<double> (numberIn (jsonBody (exchange), "bytes", 0) / rate);

    weightsFreeAt =
        std::max (weightsFreeAt, BootClock::now()) + std::chrono::duration_cast<Duration> (seconds);
    co_await pause (weightsFreeAt - BootClock::now());
    co_await respondJson (exchange, http::status::ok, json::object());
}

auto FakePlatform::handleStats (Exchange& exchange) -> Task<void>
{
    co_await respondJson (exchange, http::status::ok,
                          makeObject ("reads", counts.reads, "writes", counts.writes, "watches",
                                      counts.watches, "vm_lists", counts.vmLists, "limited", counts.limited));
}

auto FakePlatform::handleFaults (Exchange& exchange) -> Task<void>
{
    const auto body = jsonBody (exchange);
    faults.keyValueDown = flagIn (body, "key_value_down", faults.keyValueDown);
    faults.loseAnswers = flagIn (body, "lose_answers", faults.loseAnswers);
    faults.refuseStarts = flagIn (body, "refuse_starts", faults.refuseStarts);
    faults.delayMilliseconds =
        static_cast<std::uint32_t> (numberIn (body, "delay_milliseconds", faults.delayMilliseconds));
    co_await respondJson (exchange, http::status::ok,
                          makeObject ("key_value_down", faults.keyValueDown, "lose_answers",
                                      faults.loseAnswers, "refuse_starts", faults.refuseStarts,
                                      "delay_milliseconds", faults.delayMilliseconds));
}

} // namespace snowrudder
