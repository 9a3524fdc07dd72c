#include "PlatformClient.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

constexpr auto defaultTimeout = 2s;

auto readStored (const json::object& object) -> StoredValue
{
    return { textIn (object, "key"), textIn (object, "value"), wholeNumberIn (object, "version"),
             wholeNumberIn (object, "lease") };
}

/** @returns the outcome of a write, derived from its response or the lack of one. */
auto writeOutcome (const SimpleResponse& response) -> WriteOutcome
{
    if (response.hasSucceeded())
        return WriteOutcome::done;

    if (response.stage == CallStage::notSent)
        return WriteOutcome::refused;

    if (response.error)
        return WriteOutcome::unknown;

    constexpr auto conflictStatus = 409U;
    constexpr auto firstServerError = 500U;

    if (response.status == conflictStatus)
        return WriteOutcome::conflict;

    return response.status >= firstServerError ? WriteOutcome::unknown : WriteOutcome::refused;
}

} // namespace

auto PlatformClient::call (http::verb method,
                           std::string_view target,
                           json::object body,
                           std::string_view purpose,
                           Duration timeout) -> Task<SimpleResponse>
{
    const auto label = "purpose=\"" + std::string (purpose) + "\"";
    metrics.counter ("snowrudder_platform_calls_total", label).add();

    CallTimeouts timeouts;
    timeouts.connect = 1s;
    timeouts.firstByte = timeout;
    timeouts.idle = timeout;

    auto text = method == http::verb::get ? std::string() : json::serialize (body);
    auto response =
        co_await callOnce (pool, endpoint, makeRequest (method, target, std::move (text)), timeouts);

    if (! response.hasSucceeded())
        metrics.counter ("snowrudder_platform_failed_calls_total", label).add();

    co_return response;
}

auto PlatformClient::read (std::string key, std::string_view purpose) -> Task<std::optional<StoredValue>>
{
    json::object body;
    body["key"] = key;
    const auto response =
        co_await call (http::verb::post, "/kv/get", std::move (body), purpose, defaultTimeout);
    const auto object = response.hasSucceeded() ? parseObject (response.body) : std::nullopt;

    if (! object)
        co_return std::nullopt;

    co_return readStored (*object);
}

auto PlatformClient::list (std::string prefix, std::string_view purpose)
    -> Task<std::optional<std::vector<StoredValue>>>
{
    json::object body;
    body["prefix"] = prefix;
    const auto response =
        co_await call (http::verb::post, "/kv/list", std::move (body), purpose, defaultTimeout);
    const auto object = response.hasSucceeded() ? parseObject (response.body) : std::nullopt;
    const auto* values = object ? object->if_contains ("values") : nullptr;

    if (values == nullptr || ! values->is_array())
        co_return std::nullopt;

    std::vector<StoredValue> stored;

    for (const auto& value : values->get_array())
        if (value.is_object())
            stored.push_back (readStored (value.get_object()));

    co_return stored;
}

auto PlatformClient::swap (std::string key,
                           std::uint64_t expected,
                           std::string value,
                           std::uint64_t lease,
                           std::string_view purpose) -> Task<WriteResult>
{
    json::object body;
    body["key"] = key;
    body["expected"] = expected;
    body["value"] = value;
    body["lease"] = lease;
    const auto response =
        co_await call (http::verb::post, "/kv/swap", std::move (body), purpose, defaultTimeout);
    const auto object = parseObject (response.body);

    WriteResult result;
    result.outcome = writeOutcome (response);
    result.version = object ? wholeNumberIn (*object, "version") : 0;
    co_return result;
}

auto PlatformClient::watch (std::string prefix, std::uint64_t after, Duration wait, std::string_view purpose)
    -> Task<std::optional<std::uint64_t>>
{
    json::object body;
    body["prefix"] = prefix;
    body["after"] = after;
    body["wait_milliseconds"] = std::chrono::duration_cast<std::chrono::milliseconds> (wait).count();
    const auto response =
        co_await call (http::verb::post, "/kv/watch", std::move (body), purpose, wait + defaultTimeout);
    const auto object = response.hasSucceeded() ? parseObject (response.body) : std::nullopt;

    if (! object)
        co_return std::nullopt;

    co_return wholeNumberIn (*object, "version");
}

auto PlatformClient::grantLease (Duration length) -> Task<std::optional<std::uint64_t>>
{
    json::object body;
    body["milliseconds"] = std::chrono::duration_cast<std::chrono::milliseconds> (length).count();
    const auto response =
        co_await call (http::verb::post, "/lease/grant", std::move (body), "lease", defaultTimeout);
    const auto object = response.hasSucceeded() ? parseObject (response.body) : std::nullopt;

    if (! object)
        co_return std::nullopt;

    co_return wholeNumberIn (*object, "lease");
}

auto PlatformClient::renewLease (std::uint64_t lease) -> Task<WriteOutcome>
{
    json::object body;
    body["lease"] = lease;
    const auto response =
        co_await call (http::verb::post, "/lease/renew", std::move (body), "lease", defaultTimeout);
    co_return writeOutcome (response);
}

auto PlatformClient::endLease (std::uint64_t lease) -> Task<WriteOutcome>
{
    json::object body;
    body["lease"] = lease;
    const auto response =
        co_await call (http::verb::post, "/lease/end", std::move (body), "lease", defaultTimeout);
    co_return writeOutcome (response);
}

auto PlatformClient::vmList() -> Task<std::optional<std::string>>
{
    auto response = co_await call (http::verb::get, "/vms", {}, "vm_list", defaultTimeout);

    if (! response.hasSucceeded())
        co_return std::nullopt;

    co_return std::move (response.body);
}

} // namespace snowrudder
