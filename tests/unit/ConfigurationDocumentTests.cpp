#include "platform/ConfigurationDocument.h"
#include "snowrudder_serving/gateway/RoutedGateway.h"
#include "snowrudder_serving/store/ConfigurationFollower.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace snowrudder;

namespace
{

namespace json = boost::json;

constexpr auto validText = R"({"version":7,
    "routes":[{"name":"r","host":"one.example","path_prefix":"/a/","kind":"streaming","timeout_ms":15000,
        "latency_slo_ms":1200,"gap_target_ms":600,"priority":1,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],
        "max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true},
        {"name":"q","host":"one.example","path_prefix":"/b/","kind":"non_idempotent","timeout_ms":800,"service":"t"},
        {"name":"p","host":"one.example","path_prefix":"/open/","kind":"idempotent","service":"t","public":true}],
    "services":[{"name":"s","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":12},
        "scaling":{"min":1,"max":6,"boot_s":4.5,"spot_price":0.18,"zone_prices":{"a":1.0,"b":0.8}}},{"name":"t"}],
    "limits":{"max_header_bytes":9000,"max_body_bytes":70000,"header_timeout_ms":3000,"idle_timeout_ms":7000},
    "tenants":[{"name":"alpha","api_keys":["key-1","key-2"],"priority":1,"unit":"token_stream","rate_per_s":0,"burst":0,
        "plain_tokens":200},{"name":"beta","api_keys":["key-3"]}]})";

auto read (const json::value& document, std::uint64_t revision = 12) -> ConfigurationReading
{
    StoredItem item;
    item.revision = revision;
    item.value = json::serialize (document);
    return platform::readConfiguration (item);
}

/** Sets the value at a JSON pointer, also of a member that is new. */
auto setValue (json::value& document, const std::string& pointer, const json::value& value) -> void
{
    const auto slash = pointer.rfind ('/');
    auto& parent = document.at_pointer (pointer.substr (0, slash));
    const auto name = pointer.substr (slash + 1);

    if (auto* list = parent.if_array())
        (*list)[std::stoul (name)] = value;
    else
        parent.as_object()[name] = value;
}

/** @returns the valid document with the value at a JSON pointer replaced. */
auto withValue (const char* pointer, const char* value) -> json::value
{
    auto document = json::parse (validText);
    setValue (document, pointer, json::parse (value));
    return document;
}

/** @returns the valid document without a member of its root. */
auto without (const char* member) -> json::value
{
    auto document = json::parse (validText);
    document.as_object().erase (member);
    return document;
}

/** A node that follows a store whose configuration the test sets. */
struct FollowingNode
{
    FollowingNode() : state (loop, ServingSettings())
    {
        formats.configurationKey = "config";
        state.storeUpdates.domainMembers = 1;
        formats.readConfiguration = platform::readConfiguration;
        store.read = [this] (std::string, ReadFreshness) -> Task<ReadItems> {
            co_return ReadItems { StoreOutcome::done, { stored }, stored.revision };
        };
        store.commit = [this] (StoreTransaction transaction) -> Task<TransactionResult>
        {
            if (transaction.conditions.front().revision == stored.revision)
                co_return TransactionResult { StoreOutcome::done, stored.revision, {} };

            co_return TransactionResult { StoreOutcome::refused, 0, { stored } };
        };
    }

    /** Stores a configuration, and lets the node check for it once. */
    auto follow (const std::string& text) -> void
    {
        stored = { "config", text, stored.revision + 1, 0, false };
        asio::co_spawn (loop, followConfiguration (state, store, formats, [] {}), asio::detached);
        loop.restart();
        loop.run_for (5ms);
    }

    /** @returns the error of a request, or nothing if it is admitted. */
    auto request (const std::string& path, const std::string& key) -> std::optional<ErrorKind>
    {
        CallerRequest caller;
        caller.host = "one.example";
        caller.path = path;
        caller.key = key;
        const auto now = BootClock::now();
        const auto admitted = admit (state, caller, now, false, now);
        const auto* problem = std::get_if<Problem> (&admitted);
        return problem != nullptr ? std::optional (problem->kind) : std::nullopt;
    }

    asio::io_context loop;
    ServingState state;
    StoreFormats formats;
    StateStore store;
    StoredItem stored;
};

/** @returns all values of a document, by JSON pointer. */
auto pointersOf (const json::value& value, const std::string& prefix, std::vector<std::string>& found) -> void
{
    if (! prefix.empty())
        found.push_back (prefix);

    if (const auto* object = value.if_object())
        for (const auto& member : *object)
            pointersOf (member.value(), prefix + "/" + std::string (member.key()), found);
    else if (const auto* list = value.if_array())
        for (auto index = std::size_t { 0 }; index < list->size(); ++index)
            pointersOf ((*list)[index], prefix + "/" + std::to_string (index), found);
}

} // namespace

TEST_CASE ("a valid configuration is taken, and members that are not known are ignored")
{
    CHECK (read (json::parse (validText)).configuration);
    CHECK (read (withValue ("/later", R"({"any":["thing"]})")).configuration);
    CHECK (read (withValue ("/routes/0/later", "-1")).configuration);
    CHECK (read (withValue ("/routes/0/public", "null")).configuration);
}

TEST_CASE ("a configuration with a member at fault is refused whole, and the fault is named")
{
    struct Case
    {
        const char* pointer;
        const char* value;
        const char* path;
    };

    for (const auto& [pointer, value, path] : std::vector<Case> {
             { "/version", R"("7")", "version" },
             { "/version", "-7", "version" },
             { "/version", "1.5", "version" },
             { "/routes", "{}", "routes" },
             { "/routes", "[]", "routes" },
             { "/routes/1", R"("/a/")", "routes[1]" },
             { "/routes/1/host", "3", "routes[1].host" },
             { "/routes/1/path_prefix", R"("/b")", "routes[1].path_prefix" },
             { "/routes/1/path_prefix", R"("/a/")", "routes[1].path_prefix" },
             { "/routes/1/kind", R"("sometimes")", "routes[1].kind" },
             { "/routes/1/timeout_ms", "-800", "routes[1].timeout_ms" },
             { "/routes/1/timeout_ms", "1e300", "routes[1].timeout_ms" },
             { "/routes/0/latency_slo_ms", "0", "routes[0].latency_slo_ms" },
             { "/routes/0/gap_target_ms", "[]", "routes[0].gap_target_ms" },
             { "/routes/0/priority", "-1", "routes[0].priority" },
             { "/routes/0/max_attempts", "0", "routes[0].max_attempts" },
             { "/routes/0/max_attempts", "1.5", "routes[0].max_attempts" },
             { "/routes/0/public", R"("yes")", "routes[0].public" },
             { "/routes/0/stream_resume", "1", "routes[0].stream_resume" },
             { "/routes/0/backends", R"("s")", "routes[0].backends" },
             { "/routes/0/backends/0/weight", "-1", "routes[0].backends[0].weight" },
             { "/routes/0/backends/0/service", R"("nowhere")", "routes[0].backends[0].service" },
             { "/routes/1/service", R"("nowhere")", "routes[1].service" },
             { "/routes/0/backends", R"([{"service":"s","weight":0}])", "routes[0].backends" },
             { "/services", R"("s")", "services" },
             { "/services/1/name", R"("s")", "services[1].name" },
             { "/services/0/max_conns", "5000000000", "services[0].max_conns" },
             { "/services/0/scaling", "[]", "services[0].scaling" },
             { "/services/0/scaling/max", "0", "services[0].scaling.max" },
             { "/services/0/scaling/boot_s", "-1", "services[0].scaling.boot_s" },
             { "/services/0/scaling/zone_prices/a", R"("1")", "services[0].scaling.zone_prices.a" },
             { "/limits", "[]", "limits" },
             { "/limits/max_header_bytes", "0", "limits.max_header_bytes" },
             { "/limits/idle_timeout_ms", R"("7000")", "limits.idle_timeout_ms" },
             { "/tenants", R"({"alpha":{}})", "tenants" },
             { "/tenants", R"("alpha")", "tenants" },
             { "/tenants/0", "7", "tenants[0]" },
             { "/tenants/0/name", R"("")", "tenants[0].name" },
             { "/tenants/1/name", R"("alpha")", "tenants[1].name" },
             { "/tenants/1/name", R"("a\r\nX-Priority: 9")", "tenants[1].name" },
             { "/tenants/1/name", R"("a\u0000")", "tenants[1].name" },
             { "/tenants/1/name", R"("a\u007f")", "tenants[1].name" },
             { "/tenants/0/api_keys", R"("key-1")", "tenants[0].api_keys" },
             { "/tenants/0/api_keys", R"(["key-1",""])", "tenants[0].api_keys" },
             { "/tenants/1/api_keys", R"(["key-1"])", "tenants[1].api_keys" },
             { "/tenants/0/rate_per_s", "-1", "tenants[0].rate_per_s" },
         })
    {
        INFO (pointer << " " << value);
        const auto reading = read (withValue (pointer, value));
        CHECK_FALSE (reading.configuration);
        CHECK (reading.faultCount >= 1);
        CHECK (reading.firstFault.path == path);
        CHECK_FALSE (reading.firstFault.allowed.empty());
        CHECK (reading.firstFault.found.find ("key-") == std::string::npos);
    }

    const auto nameOf = [] (std::size_t bytes) { return "\"" + std::string (bytes, 'x') + "\""; };
    CHECK (read (withValue ("/services/0/name", nameOf (257).c_str())).firstFault.path == "services[0].name");
    CHECK (read (withValue ("/tenants/1/name", nameOf (1025).c_str())).firstFault.path == "tenants[1].name");
    CHECK (read (withValue ("/tenants/1/name", nameOf (1024).c_str())).configuration);

    for (const auto* member : { "version", "routes", "services" })
    {
        INFO (member);
        CHECK_FALSE (read (without (member)).configuration);
    }
}

// Guards against a configuration without accounts that opened every route to any key, and to none.
TEST_CASE ("no configuration without accounts opens a route that needs a key")
{
    std::vector<json::value> documents { without ("tenants") };

    for (const auto* accounts :
         { "[]", "null", "{}", "0", "false", R"("")", R"([{"name":"alpha"}])",
           R"([{"name":"alpha","api_keys":[]}])", R"([{"name":"alpha","api_keys":[""]}])", "[null]" })
        documents.push_back (withValue ("/tenants", accounts));

    for (const auto& document : documents)
    {
        FollowingNode node;
        node.follow (json::serialize (document));
        INFO (json::serialize (document));

        for (const auto* key : { "", "key-1", "unknown" })
        {
            CHECK (node.request ("/a/x", key).has_value());
            CHECK (node.request ("/b/x", key).has_value());
        }

        if (node.state.configuration.current)
        {
            CHECK (node.request ("/a/x", "key-1") == ErrorKind::unauthorized);
            CHECK_FALSE (node.request ("/open/x", "").has_value());
        }
    }
}

TEST_CASE ("a configuration that is refused leaves the one before in force, and its proof ages")
{
    FollowingNode node;
    node.follow (validText);
    REQUIRE (node.state.configuration.current);
    CHECK_FALSE (node.request ("/a/x", "key-1").has_value());
    const auto provenAt = node.state.configuration.provenAt;

    const auto refused = json::serialize (withValue ("/routes/1/timeout_ms", "-5"));
    node.follow (refused);
    CHECK (node.state.configuration.current->version == 7);
    CHECK (node.state.configuration.refusedRevision == 2);
    CHECK (node.state.configuration.provenAt == provenAt);
    CHECK (node.state.metrics.counter ("snowrudder_configurations_refused_total").value() == 1);
    CHECK (node.state.metrics.gauge ("snowrudder_refused_configuration_revision").value() == 2);

    node.follow (validText);
    CHECK (node.state.configuration.current->revision == 3);
    CHECK (node.state.configuration.refusedRevision == 0);
    CHECK (node.state.configuration.provenAt > provenAt);
    CHECK (node.state.metrics.gauge ("snowrudder_refused_configuration_revision").value() == 0);
}

TEST_CASE ("the store's revision decides which configuration is in force, whatever its version")
{
    FollowingNode node;
    node.follow (validText);

    for (const auto* version : { "3", "3", "9" })
    {
        node.follow (json::serialize (withValue ("/version", version)));
        CHECK (node.state.configuration.current->revision == node.stored.revision);
    }
}

TEST_CASE ("mutated configurations are taken whole or not at all, and admit only keys that they hold")
{
    constexpr auto documents = 3000;
    const std::vector<std::string> values {
        "null",   "true",       "-1",       "0",  "1.5", "1e300", "18446744073709551615", R"("")",
        R"("s")", R"("key-1")", R"("/a/")", "[]", "{}",  "[[]]",  R"([{"service":"t"}])"
    };
    std::vector<std::string> pointers;
    pointersOf (json::parse (validText), "", pointers);
    std::mt19937_64 random (47);
    auto taken = 0;

    for (auto number = 0; number < documents; ++number)
    {
        auto document = json::parse (validText);

        for (auto mutations = 1 + random() % 3; mutations > 0; --mutations)
        {
            boost::system::error_code error;
            const auto& pointer = pointers[random() % pointers.size()];

            if (document.find_pointer (pointer, error) != nullptr)
                setValue (document, pointer, json::parse (values[random() % values.size()]));
        }

        const auto reading = read (document);
        INFO (json::serialize (document));
        REQUIRE ((reading.configuration != nullptr) == (reading.faultCount == 0));

        if (! reading.configuration)
            continue;

        ++taken;
        FollowingNode node;
        node.state.configuration.current = reading.configuration;
        node.state.configuration.provenAt = BootClock::now();

        for (const auto& [host, routes] : reading.configuration->routes)
            for (const auto& route : routes)
                REQUIRE ((route.isPublic || node.request (route.pathPrefix + "x", "unknown").has_value()));
    }

    CHECK (taken > documents / 20);
    CHECK (taken < documents);
}

TEST_CASE ("a configuration of 300 accounts and 500 routes is read in 20 ms")
{
    auto document = json::parse (validText);
    auto& routes = document.as_object().at ("routes").as_array();
    auto& accounts = document.as_object().at ("tenants").as_array();

    for (auto number = 0; number < 500; ++number)
    {
        auto route = routes[0];
        route.as_object()["path_prefix"] = "/more-" + std::to_string (number) + "/";
        routes.push_back (std::move (route));
    }

    for (auto number = 0; number < 300; ++number)
        accounts.push_back (json::value { { "name", "account-" + std::to_string (number) },
                                          { "api_keys", { "more-" + std::to_string (number) } } });

    StoredItem item;
    item.value = json::serialize (document);
    auto best = Duration::max();

    for (auto repeat = 0; repeat < 20; ++repeat)
    {
        const auto began = BootClock::now();
        REQUIRE (platform::readConfiguration (item).configuration);
        best = std::min (best, BootClock::now() - began);
    }

    CHECK (best < 20ms);
}

TEST_CASE ("a request whose time is over is refused without a run, and one that isn't allowed is denied all "
           "the same")
{
    FollowingNode node;
    node.follow (validText);
    CallerRequest caller;
    caller.host = "one.example";
    caller.path = "/a/";
    caller.key = "key-1";
    caller.timeLimit = Duration::zero();
    const auto now = BootClock::now();
    const auto admitted = admit (node.state, caller, now, false, now);
    const auto* problem = std::get_if<Problem> (&admitted);
    REQUIRE (problem != nullptr);
    CHECK (errorDescription (problem->kind).status == 503);
    CHECK (problem->ran == Ran::no);

    caller.key = "forged";
    const auto forged = admit (node.state, caller, now, false, now);
    REQUIRE (std::holds_alternative<Problem> (forged));
    CHECK (std::get<Problem> (forged).kind == ErrorKind::unauthorized);
}

// Guards against proper requests that are turned away as wrong by a node that doesn't have the newest configuration.
TEST_CASE ("a node whose configuration may be out of date says neither that a route isn't there nor that a "
           "key is unknown")
{
    FollowingNode node;
    node.follow (validText);
    REQUIRE (node.request ("/never/", "key-1") == ErrorKind::notFound);
    REQUIRE (node.request ("/a/", "forged") == ErrorKind::unauthorized);

    SECTION ("its proof is older than the time in which a configuration must be in force")
    {
        node.state.configuration.provenAt = BootClock::now() - 2100ms;
        CHECK_FALSE (node.request ("/a/", "key-1"));
        CHECK_FALSE (node.request ("/open/", ""));
        CHECK (node.request ("/never/", "key-1") == ErrorKind::noReplica);
        CHECK (node.request ("/a/", "forged") == ErrorKind::noReplica);
    }

    SECTION ("its limits on what it reads may be out of date as well")
    {
        const auto kindOf = [&node] (ErrorKind kind) {
            return problemOfInput (node.state, { kind, {}, 0, 0, {} }, BootClock::now()).kind;
        };
        CHECK (kindOf (ErrorKind::bodyTooLarge) == ErrorKind::bodyTooLarge);
        CHECK (kindOf (ErrorKind::headerTooLarge) == ErrorKind::headerTooLarge);
        node.state.configuration.provenAt = BootClock::now() - 2100ms;
        CHECK (kindOf (ErrorKind::bodyTooLarge) == ErrorKind::noReplica);
        CHECK (kindOf (ErrorKind::headerTooLarge) == ErrorKind::noReplica);
        CHECK (kindOf (ErrorKind::callerTimeout) == ErrorKind::noReplica);
        CHECK (kindOf (ErrorKind::invalidRequest) == ErrorKind::invalidRequest);
    }

    SECTION ("it has heard of a newer one")
    {
        node.state.storeUpdates.newestConfigurationRevision = node.stored.revision + 1;
        CHECK_FALSE (node.request ("/a/", "key-1"));
        CHECK (node.request ("/never/", "key-1") == ErrorKind::noReplica);
        CHECK (node.request ("/a/", "forged") == ErrorKind::noReplica);
    }
}
