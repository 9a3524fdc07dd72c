#include "platform/BootSettings.h"
#include "platform/ConfigurationDocument.h"
#include "platform/Documents.h"
#include "platform/Requests.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace snowrudder;

namespace
{

/** A settings file that is deleted by the destructor. */
class SettingsFile
{
public:
    explicit SettingsFile (const std::string& text)
    {
        std::ofstream stream (path);
        stream << text;
    }

    ~SettingsFile() { std::remove (path.c_str()); }

    SettingsFile (const SettingsFile&) = delete;
    auto operator= (const SettingsFile&) -> SettingsFile& = delete;

    /** Contains the process id, as tests run in parallel processes that share one working directory. */
    const std::string path = "platform-face-tests-" + std::to_string (getpid()) + ".conf";
};

const auto validSettings = std::string ("node_name=front-a-1\n"
                                        "zone=a\n"
                                        "ip=127.0.0.1\n"
                                        "listen.front=127.0.0.1:8221\n"
                                        "listen.readiness=127.0.0.1:8224\n"
                                        "port_range=7600,7615\n"
                                        "platform.address=127.0.0.1:8225\n"
                                        "cloud.address=127.0.0.1:8226\n"
                                        "cloud.duties=metered\n"
                                        "bounds.revoke_ms=4000\n"
                                        "bounds.config_apply_ms=3000\n"
                                        "some.new_field=kept out\n");

auto callerMessage() -> HttpRequest
{
    HttpRequest message (http::verb::post, "/a/b?c=d", 11);
    message.set (http::field::host, "one.example");
    message.set ("X-Request-Id", "9c41");
    message.set ("X-Api-Key", "key-one");
    message.set ("X-Deadline-Ms", "1500");
    message.set ("X-Tenant", "forged");
    message.set ("X-Target-Instance", "forged");
    message.set ("X-Own", "kept");
    message.set ("Connection", "X-Hop");
    message.set ("X-Hop", "dropped");
    message.body() = "body";
    message.prepare_payload();
    return message;
}

auto decode (HttpRequest message) -> std::variant<CallerRequest, Problem>
{
    return platform::readRequest (message);
}

auto isRejected (HttpRequest message) -> bool
{
    return std::holds_alternative<Problem> (decode (std::move (message)));
}

} // namespace

TEST_CASE ("the platform's settings are read, and unknown fields are ignored")
{
    const SettingsFile file (validSettings);
    ServingSettings settings;
    CHECK (platform::readBootSettings (file.path, settings).empty());
    CHECK (settings.node == "front-a-1");
    CHECK (settings.listenPeers == "127.0.0.1:7600");
    CHECK (settings.reportsUsage);
    CHECK_FALSE (settings.ordersReplicas);
    CHECK (settings.revocationTime == 4s);
    CHECK (settings.configurationApplyTime == 3s);
}

TEST_CASE ("errors in the platform's settings are reported with file, line and field")
{
    ServingSettings settings;
    const SettingsFile file (
        "node_name=n\nzone=a\nip=127.0.0.1\nlisten.front=nowhere\nlisten.readiness=127.0.0.1:1\n"
        "port_range=7600,7615\nbounds.revoke_ms=soon\n");
    const auto errors = platform::readBootSettings (file.path, settings);
    REQUIRE (errors.size() == 3);
    CHECK (toString (errors[0]) == file.path + ":4: listen.front: must be IP-NUMBER:PORT");
    CHECK (toString (errors[1]) == file.path + ": platform.address: is missing");
    CHECK (toString (errors[2]) == file.path + ":7: bounds.revoke_ms: must be a number that is not negative");
    CHECK (platform::readBootSettings ("not-there.conf", settings).size() == 1);
}

TEST_CASE ("no node starts with a name that breaks a header or a message between nodes apart")
{
    for (const auto* name : { "a\rb", "a\tb", "a\x7f", "a\xff", "a\xed\xa0\x80" })
        for (const auto& [text, line] : { std::pair (std::string ("node_name=") + name + "\nzone=a\n", 1),
                                          std::pair (std::string ("node_name=n\nzone=") + name + "\n", 2) })
        {
            ServingSettings settings;
            const SettingsFile file (text);
            const auto errors = platform::readBootSettings (file.path, settings);
            REQUIRE_FALSE (errors.empty());
            INFO (toString (errors[0]));
            CHECK (toString (errors[0]).find (":" + std::to_string (line) + ": ") != std::string::npos);
            CHECK (toString (errors[0]).find ("without control characters") != std::string::npos);
        }

    ServingSettings settings;
    const SettingsFile file ("node_name=%&/é\nzone=a b\n");

    for (const auto& error : platform::readBootSettings (file.path, settings))
        CHECK (toString (error).find ("control") == std::string::npos);

    CHECK (settings.node == "%&/é");
    CHECK (settings.failureDomain == "a b");
}

TEST_CASE ("a caller's request is decoded without its API key and the headers reserved for nodes")
{
    const auto decoded = decode (callerMessage());
    REQUIRE (std::holds_alternative<CallerRequest> (decoded));
    const auto& request = std::get<CallerRequest> (decoded);
    CHECK (request.id == "9c41");
    CHECK (request.host == "one.example");
    CHECK (request.path == "/a/b");
    CHECK (request.key == "key-one");
    CHECK (request.timeLimit == Duration (1500ms));
    CHECK (request.message.target() == "/a/b?c=d");
    CHECK (request.message.body() == "body");
    CHECK (request.message["X-Own"] == "kept");
    CHECK (request.message["X-Request-Id"] == "9c41");

    for (const auto* name : { "X-Api-Key", "X-Tenant", "X-Target-Instance", "X-Hop", "X-Deadline-Ms" })
        CHECK (request.message.count (name) == 0);
}

TEST_CASE ("a request to a replica has the target incarnation, the account, the deadline and the priority")
{
    auto message = std::get<CallerRequest> (decode (callerMessage())).message;
    const auto protocol = platform::upstreamProtocol();
    protocol.setFields (message, { "i-1", "alpha", 700ms, 4, "" });
    CHECK (message["X-Target-Instance"] == "i-1");
    CHECK (message["X-Tenant"] == "alpha");
    CHECK (message["X-Deadline-Ms"] == "700");
    CHECK (message["X-Request-Priority"] == "4");
    CHECK (message.count ("Last-Event-Id") == 0);
}

TEST_CASE ("an account's priority takes precedence over its route's")
{
    Route route;
    route.priority = 2;
    auto account = std::make_shared<RoutedAccount>();
    RoutedRequest request;
    request.route = &route;
    CHECK (urgencyOf (request) == 2);
    request.account = account;
    account->priority = 1;
    CHECK (urgencyOf (request) == 5);
    route.priority = 0;
    CHECK (urgencyOf (request) == 3);
    account->priority = 7;
    CHECK (urgencyOf (request) == 9);
}

TEST_CASE ("a part of a prompt has the same fingerprint wherever it stands, at its service and model")
{
    const auto partsOf = [] (std::string_view list, std::string_view model, std::string_view service)
    {
        auto message = callerMessage();
        message.set ("X-Model", toBeast (model));
        message.set ("X-Prompt-Prefix", toBeast (list));
        return sharedParts (std::get<CallerRequest> (decode (message)), service);
    };
    const auto parts = partsOf ("5c1e:800,91bd:410,e440:250", "m", "svc");

    // The last part belongs to one session.
    REQUIRE (parts.size() == 2);
    CHECK (partsOf ("91bd:410,5c1e:800,e441:250", "m", "svc")[0] == parts[1]);
    CHECK (partsOf ("5c1e:800,e440:250", "n", "svc")[0] != parts[0]);
    CHECK (partsOf ("5c1e:800,e440:250", "m", "other")[0] != parts[0]);
    CHECK (partsOf ("5c1e:800", "m", "svc").empty());

    std::string many;

    for (auto part = 0; part < 100; ++part)
        many += std::to_string (part) + ":1,";

    CHECK (partsOf (many + "e440:250", "m", "svc").size() == maxPartsWatched);
}

TEST_CASE ("prompts have the same chain of hashes up to the first part that differs")
{
    auto first = callerMessage();
    first.set ("X-Model", "m");
    first.set ("X-Token-Count", "1460,80");
    first.set ("X-Prompt-Prefix", "5c1e:800,91bd:410,e440:250");
    auto second = first;
    second.set ("X-Prompt-Prefix", "5c1e:800,91bd:410,ffff:250");
    auto otherModel = first;
    otherModel.set ("X-Model", "n");

    const auto one = std::get<CallerRequest> (decode (first));
    const auto two = std::get<CallerRequest> (decode (second));
    const auto three = std::get<CallerRequest> (decode (otherModel));
    CHECK (one.promptTokens == 1460.0);
    CHECK (one.answerTokens == 80.0);
    REQUIRE (one.parts.size() == 3);
    CHECK (one.parts[1].prefixTokens == 1210.0);
    CHECK (one.parts[1].prefixHash == two.parts[1].prefixHash);
    CHECK (one.parts[2].prefixHash != two.parts[2].prefixHash);
    CHECK (one.parts[0].prefixHash != three.parts[0].prefixHash);
}

TEST_CASE ("requests with malformed headers are rejected")
{
    const auto with = [] (const char* name, const char* value)
    {
        auto message = callerMessage();
        message.set (name, value);
        return message;
    };

    auto withoutId = callerMessage();
    withoutId.erase ("X-Request-Id");
    CHECK (isRejected (withoutId));
    auto withTwoIds = callerMessage();
    withTwoIds.insert ("X-Request-Id", "second");
    CHECK (isRejected (withTwoIds));
    CHECK (isRejected (with ("X-Deadline-Ms", "soon")));
    CHECK (isRejected (with ("X-Deadline-Ms", "-5")));
    CHECK (isRejected (with ("X-Token-Count", "many,80")));
    CHECK (isRejected (with ("X-Token-Count", "10,")));
    CHECK (isRejected (with ("X-Prompt-Prefix", "5c1e")));
    CHECK (isRejected (with ("X-Prompt-Prefix", "5c1e:x")));
}

TEST_CASE ("a request whose time is over is well formed")
{
    auto message = callerMessage();
    message.set ("X-Deadline-Ms", "0");
    const auto decoded = decode (message);
    REQUIRE (std::holds_alternative<CallerRequest> (decoded));
    CHECK (std::get<CallerRequest> (decoded).timeLimit == Duration::zero());
}

TEST_CASE ("a response belongs to a request only with its request id and a signature")
{
    const auto protocol = platform::upstreamProtocol();
    http::response_header<> head;
    head.result (200);
    head.set ("X-Request-Id", "9c41");
    head.set ("X-Response-Signature", "signed");
    head.set ("X-Server-Load", "3,1,8");

    const auto own = protocol.readAnswer (head, "9c41");
    CHECK (own.belongsToRequest);
    CHECK (own.isSuccess);
    REQUIRE (own.load);
    CHECK (own.load->running == 3);
    CHECK (own.load->waiting == 1);
    CHECK_FALSE (protocol.readAnswer (head, "other").belongsToRequest);

    head.erase ("X-Response-Signature");
    CHECK_FALSE (protocol.readAnswer (head, "9c41").belongsToRequest);
}

TEST_CASE ("a replica's limit of requests a second is a decimal number, and anything else is reported and "
           "changes nothing")
{
    const auto protocol = platform::upstreamProtocol();
    const auto read = [&protocol] (const std::vector<std::string>& values)
    {
        http::response_header<> head;
        head.result (200);
        head.set ("X-Request-Id", "9c41");
        head.set ("X-Response-Signature", "signed");

        for (const auto& value : values)
            head.insert ("Server-Limit", value);

        auto answer = protocol.readAnswer (head, "9c41");
        CHECK (answer.belongsToRequest);
        return answer;
    };

    CHECK (read ({ "1.25" }).rateLimit == Approx (1.25));
    CHECK (read ({ " 0 " }).rateLimit == Approx (0.0));
    CHECK_FALSE (read ({}).rateLimit);
    CHECK (read ({}).unreadableRateLimit.empty());

    const std::vector<std::vector<std::string>> unreadable {
        { "" },         { "-1" },     { "nan" },
        { "inf" },      { "1e3" },    { "1,2" },
        { "10000000" }, { "1", "2" }, { std::string (9000, '9') }
    };

    for (const auto& values : unreadable)
    {
        CHECK_FALSE (read (values).rateLimit);
        CHECK_FALSE (read (values).unreadableRateLimit.empty());
        CHECK (read (values).unreadableRateLimit.size() <= 64);
    }
}

TEST_CASE (
    "the rejections a second that a replica bears are a decimal number, and anything else is reported and "
    "changes nothing")
{
    const auto protocol = platform::upstreamProtocol();
    const auto read = [&protocol] (const std::vector<std::string>& values)
    {
        http::response_header<> head;
        head.result (200);
        head.set ("X-Request-Id", "9c41");
        head.set ("X-Response-Signature", "signed");
        head.set ("Server-Limit", "3");

        for (const auto& value : values)
            head.insert ("Server-Brittle", value);

        auto answer = protocol.readAnswer (head, "9c41");
        CHECK (answer.belongsToRequest);
        CHECK (answer.rateLimit == Approx (3.0));
        return answer;
    };

    CHECK (read ({ "5" }).rejectionLimit == Approx (5.0));
    CHECK (read ({ " 0.5 " }).rejectionLimit == Approx (0.5));
    CHECK_FALSE (read ({}).rejectionLimit);
    CHECK (read ({}).unreadableRejectionLimit.empty());

    const std::vector<std::vector<std::string>> unreadable { { "" },       { "-1" },
                                                             { "nan" },    { "1e3" },
                                                             { "5", "5" }, { std::string (9000, '9') } };

    for (const auto& values : unreadable)
    {
        CHECK_FALSE (read (values).rejectionLimit);
        CHECK_FALSE (read (values).unreadableRejectionLimit.empty());
        CHECK (read (values).unreadableRejectionLimit.size() <= 64);
    }
}

TEST_CASE (
    "a replica states that it is leaving by a single 1, and anything else is reported and changes nothing")
{
    const auto protocol = platform::upstreamProtocol();
    const auto read = [&protocol] (unsigned status, const std::vector<std::string>& values)
    {
        http::response_header<> head;
        head.result (status);
        head.set ("X-Request-Id", "9c41");
        head.set ("X-Response-Signature", "signed");

        for (const auto& value : values)
            head.insert ("Server-Leaving", value);

        return protocol.readAnswer (head, "9c41");
    };

    for (const auto status : { 200U, 404U, 500U, 503U })
    {
        CHECK (read (status, { "1" }).statesLeaving);
        CHECK (read (status, { " 1 " }).unreadableLeaving.empty());
    }

    CHECK_FALSE (read (200, {}).statesLeaving);
    CHECK (read (200, {}).unreadableLeaving.empty());

    const std::vector<std::vector<std::string>> unreadable {
        { "" },     { "0" },   { "2" },
        { "true" }, { "1.0" }, { "1", "1" },
        { "1, 1" }, { "-1" },  { std::string (9000, '1') }
    };

    for (const auto& values : unreadable)
    {
        CHECK_FALSE (read (200, values).statesLeaving);
        CHECK_FALSE (read (200, values).unreadableLeaving.empty());
        CHECK (read (200, values).unreadableLeaving.size() <= 64);
    }
}

TEST_CASE (
    "a replica asks for rest as it rejects a request with 503, in seconds, and anything else changes nothing")
{
    const auto protocol = platform::upstreamProtocol();
    const auto read = [&protocol] (unsigned status, const std::vector<std::string>& values)
    {
        http::response_header<> head;
        head.result (status);
        head.set ("X-Request-Id", "9c41");
        head.set ("X-Not-Executed", "1");

        for (const auto& value : values)
            head.insert ("Retry-After", value);

        return protocol.readAnswer (head, "9c41");
    };

    CHECK (read (503, { "3" }).rest == Duration (3s));
    CHECK (read (503, { " 0.25 " }).rest == Duration (250ms));
    CHECK (read (503, { "0" }).rest == Duration (0s));
    CHECK (read (503, { "3600" }).rest == Duration (1h));
    CHECK_FALSE (read (503, {}).rest);
    CHECK (read (503, {}).unreadableRest.empty());

    for (const auto status : { 200U, 404U, 421U, 429U, 500U })
    {
        CHECK_FALSE (read (status, { "3" }).rest);
        CHECK (read (status, { "x" }).unreadableRest.empty());
    }

    const std::vector<std::vector<std::string>> unreadable {
        { "" },       { "-1" },
        { "nan" },    { "inf" },
        { "1e3" },    { "1,2" },
        { "100000" }, { "1", "2" },
        { "3 s" },    { "Fri, 04 Dec 2026 10:00:00 GMT" },
        { "0x10" },   { std::string (9000, '9') }
    };

    for (const auto& values : unreadable)
    {
        CHECK_FALSE (read (503, values).rest);
        CHECK_FALSE (read (503, values).unreadableRest.empty());
        CHECK (read (503, values).unreadableRest.size() <= 64);
    }
}

TEST_CASE ("a load's parts that can't be read leave the others valid")
{
    const auto protocol = platform::upstreamProtocol();
    const auto readLoad = [&protocol] (std::string_view text)
    {
        http::response_header<> head;
        head.result (200);
        head.set ("X-Request-Id", "9c41");
        head.set ("X-Server-Load", toBeast (text));
        return protocol.readAnswer (head, "9c41");
    };

    const auto whole = readLoad ("3, 1, 8, 140");
    REQUIRE (whole.load);
    CHECK (whole.load->running == 3);
    CHECK (whole.load->waiting == 1);
    CHECK (whole.load->slots == 8U);
    CHECK (whole.unreadableLoad.empty());

    CHECK_FALSE (readLoad ("3,1").load->slots);
    CHECK (readLoad ("3,1").unreadableLoad.empty());
    CHECK (readLoad ("3,1,8").load->slots == 8U);

    for (const auto text : { "3,1,8,fast", "3,1,8,", "3,1,8,99999999999", "3,1,8,-5" })
    {
        CAPTURE (text);
        const auto answer = readLoad (text);
        REQUIRE (answer.load);
        CHECK (answer.load->running == 3);
        CHECK (answer.load->slots == 8U);
    }

    for (const auto text : { "3,1,0", "3,1,x,100", "3,1,99999999999" })
    {
        CAPTURE (text);
        const auto answer = readLoad (text);
        REQUIRE (answer.load);
        CHECK_FALSE (answer.load->slots);
        CHECK (answer.unreadableLoad == text);
    }

    for (const auto text : { "x,1,8", "3", "3,,8", "-1,2,8", "99999999999,1,8" })
    {
        CAPTURE (text);
        CHECK_FALSE (readLoad (text).load);
        CHECK (readLoad (text).unreadableLoad == text);
    }

    CHECK_FALSE (readLoad ("").load);
    CHECK (readLoad ("").unreadableLoad.empty());
    CHECK (readLoad (std::string (1000, 'x')).unreadableLoad.size() < 100);
}

TEST_CASE ("a request counts as not run only when the replica's response states it")
{
    const auto protocol = platform::upstreamProtocol();
    http::response_header<> head;
    head.result (503);
    head.set ("X-Request-Id", "9c41");
    CHECK_FALSE (protocol.readAnswer (head, "9c41").wasNotRun);

    head.set ("X-Not-Executed", "1");
    CHECK (protocol.readAnswer (head, "9c41").wasNotRun);

    http::response_header<> elsewhere;
    elsewhere.result (421);
    CHECK (protocol.readAnswer (elsewhere, "9c41").wasNotRun);
    CHECK (protocol.readAnswer (elsewhere, "9c41").isAddressReassigned);
}

TEST_CASE ("Retry-After is in fractions of a second and only sent for requests that did not run")
{
    const auto protocol = platform::upstreamProtocol();
    CHECK (protocol.problem (withRetry (makeProblem (ErrorKind::overloaded), 1050ms),
                             "9c41")["Retry-After"] == "1.050");
    CHECK (protocol.problem (withRetry (makeProblem (ErrorKind::overloaded), 20ms), "9c41")["X-Request-Id"] ==
           "9c41");
    CHECK (protocol.problem (withRetry (makeProblem (ErrorKind::upstreamFailed), 1s), "9c41")
               .count ("Retry-After") == 0);
}

TEST_CASE ("the operators' configuration and a replica's entry are decoded")
{
    StoredItem item;
    item.key = "op/config";
    item.revision = 12;
    item.value =
        R"({"version":7,"routes":[{"name":"r","host":"one.example","path_prefix":"/a/","kind":"streaming",
        "timeout_ms":15000,"latency_slo_ms":1200,"priority":1,"backends":[{"service":"s","weight":90},
        {"service":"t","weight":10}],"max_attempts":2,"stream_resume":true}],
        "services":[{"name":"s","max_conns":370,"engine":{"kv_capacity":569286},
        "scaling":{"min":1,"max":6,"boot_s":4.5,"spot_price":0.18,"zone_prices":{"a":1.0,"b":0.8}}},{"name":"t"}],
        "limits":{"max_header_bytes":9000,"idle_timeout_ms":7000},
        "tenants":[{"name":"alpha","api_keys":["k1","k2"],"rate_per_s":100,"burst":50,"plain_tokens":200}]})";

    const auto configuration = platform::readConfiguration (item).configuration;
    REQUIRE (configuration);
    CHECK (configuration->version == 7);
    const auto* route = findRoute (*configuration, "one.example", "/a/x");
    REQUIRE (route != nullptr);
    CHECK (route->kind == RouteKind::stream);
    CHECK (route->isRepeatable());
    CHECK (route->services.size() == 2);
    CHECK (configuration->services.at ("s").maxConnections == 370);
    CHECK (configuration->services.at ("s").scaling->bootTime == 4500ms);
    CHECK (configuration->services.at ("s").scaling->domainPrices.at ("b") == 0.8);
    CHECK (configuration->bounds.headerBytes == 9000);
    CHECK (configuration->bounds.idleTimeout == 7s);
    CHECK (findAccount (*configuration, "k2")->name == "alpha");
    CHECK (findAccount (*configuration, "k3") == nullptr);

    item.value = "not json";
    CHECK (platform::readConfiguration (item).configuration == nullptr);

    StoredItem replica;
    replica.key = "servers/i-1";
    replica.revision = 5;
    replica.value =
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":64,"state":"draining","spot":true})";
    const auto entry = platform::readReplica (replica);
    REQUIRE (entry);
    CHECK (entry->info.name == "i-1");
    CHECK (entry->isLeaving);
    CHECK (entry->isReclaimable);
    CHECK (entry->info.born == 0);
    replica.value = "{}";
    CHECK_FALSE (platform::readReplica (replica));
}

TEST_CASE ("a rollout is decoded, and its status is unchanged after encoding and decoding")
{
    StoredItem order;
    order.key = "op/rollout/s";
    order.revision = 41;
    order.value = R"({"service":"s","target_version":"v2","period_s":12.5})";
    const auto rollout = platform::readRollout (order);
    REQUIRE (rollout);
    CHECK (rollout->service == "s");
    CHECK (rollout->targetVersion == "v2");
    CHECK (rollout->number == 41);
    CHECK (rollout->period == 12500ms);
    CHECK (rollout->stage == RolloutStage::proving);

    for (const auto* bytes :
         { "", "[]", R"({"service":"s"})", R"({"service":"s","target_version":"v2","period_s":0})",
           R"({"service":7,"target_version":"v2","period_s":12})" })
    {
        order.value = bytes;
        CHECK_FALSE (platform::readRollout (order));
    }

    for (const auto stage : { RolloutStage::proving, RolloutStage::completed, RolloutStage::rolledBack })
    {
        const auto item = platform::writeRolloutStatus ({ "s", "v2", stage, 0 });
        CHECK (item.key == "status/rollout/s");
        const auto status = platform::readRolloutStatus (item);
        REQUIRE (status);
        CHECK (status->service == "s");
        CHECK (status->targetVersion == "v2");
        CHECK (status->stage == stage);
    }
}

TEST_CASE ("a replica's entry that does not follow the platform's format is rejected")
{
    const std::string validEntry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":64,"state":"ready","spot":false,"born":1700000000123})";
    StoredItem replica;
    replica.key = "servers/i-1";
    replica.value = validEntry;
    const auto entry = platform::readReplica (replica);
    REQUIRE (entry);
    CHECK (entry->info.born == 1700000000123);

    // Each member with a wrong type, a value out of range or one that the platform does not define, and each required
    // member missing.
    const std::vector<std::pair<std::string, std::vector<std::string>>> invalidMembers {
        { R"("service":"s")", { R"("service":7)", R"("service":"")", R"("x":1)" } },
        { R"("address":"10.0.0.1:80")",
          { R"("address":"10.0.0.1")", R"("address":"host:80")", R"("address":null)", R"("x":1)" } },
        { R"("zone":"a")", { R"("zone":["a"])", R"("x":1)" } },
        { R"("slots":64)",
          { R"("slots":"64")", R"("slots":-1)", R"("slots":0)", R"("slots":1.5)", R"("slots":99999999999)",
            R"("x":1)" } },
        { R"("state":"ready")", { R"("state":"serving")", R"("state":true)", R"("x":1)" } },
        { R"("spot":false)", { R"("spot":"no")" } },
        { R"("born":1700000000123)", { R"("born":"1")", R"("born":1.5)", R"("born":-1)" } }
    };

    for (const auto& [member, replacements] : invalidMembers)
        for (const auto& replacement : replacements)
        {
            INFO (replacement);
            replica.value = validEntry;
            replica.value.replace (validEntry.find (member), member.size(), replacement);
            CHECK_FALSE (platform::readReplica (replica));
        }

    for (const auto* bytes : { "", "\xff\xfe", "[]", "{\"service\":", "null" })
    {
        replica.value = bytes;
        CHECK_FALSE (platform::readReplica (replica));
    }
}
