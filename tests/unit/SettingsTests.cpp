#include "snowrudder_settings/snowrudder_settings.h"

#include "process_settings.pb.h"

#include <catch2/catch.hpp>

using namespace snowrudder;

namespace
{

constexpr auto validRouterSettings = R"({
  // comments are allowed
  "node": { "name": "a", "vm": "b", "failure_domain": "c", "region": "d" },
  "listen": "127.0.0.1:1", "platform": "127.0.0.1:2", "node_secret": "s" /* here too */
})";

auto errorsOf (std::string_view text) -> std::vector<std::string>
{
    schema::RouterSettings settings;
    std::vector<std::string> texts;

    for (const auto& error : readMessage (text, "router.json", settings))
        texts.push_back (toString (error));

    return texts;
}

auto replaced (std::string text, const std::string& from, const std::string& to) -> std::string
{
    return text.replace (text.find (from), from.size(), to);
}

} // namespace

TEST_CASE ("settings with comments are read")
{
    schema::RouterSettings settings;
    REQUIRE (readMessage (validRouterSettings, "router.json", settings).empty());
    CHECK (settings.node().name() == "a");
    CHECK (settings.platform() == "127.0.0.1:2");
}

TEST_CASE ("settings errors name file, line and path")
{
    const auto unknown = errorsOf (replaced (validRouterSettings, "\"vm\"", "\"wm\""));
    REQUIRE (unknown.size() == 2);
    CHECK (unknown[0] ==
           "router.json:3: node.wm: is not a known setting (known: name, vm, failure_domain, region)");
    CHECK (unknown[1] == "router.json:3: node: lacks the setting \"vm\"");

    const auto wrongType = errorsOf (replaced (validRouterSettings, "\"127.0.0.1:1\"", "17"));
    REQUIRE (wrongType.size() == 1);
    CHECK (wrongType[0] == "router.json:4: listen: must be a text in quotes");

    const auto badEndpoint = errorsOf (replaced (validRouterSettings, "127.0.0.1:2", "localhost:2"));
    REQUIRE (badEndpoint.size() == 1);
    CHECK (badEndpoint[0] == "router.json:4: platform: must be IP-NUMBER:PORT");
}

TEST_CASE ("errors of malformed JSON name the line")
{
    const auto broken = errorsOf ("{\n  \"listen\": \"127.0.0.1:1\",\n  \"workers\" 2\n}");
    REQUIRE (broken.size() == 1);
    CHECK (broken[0].starts_with ("router.json:3: not valid JSON"));

    const auto trailing = errorsOf (std::string (validRouterSettings) + "\n{}");
    REQUIRE (trailing.size() == 1);
    CHECK (trailing[0].starts_with ("router.json:6: not valid JSON"));
}

TEST_CASE ("a setting given twice is refused")
{
    const auto twice = errorsOf (
        replaced (validRouterSettings, "\"platform\"", "\"listen\": \"127.0.0.1:9\", \"platform\""));
    REQUIRE (twice.size() == 1);
    CHECK (twice[0] == "router.json:4: listen: is given twice");
}

TEST_CASE ("settings outside their range are refused")
{
    for (const auto* workers : { "0", "65", "1.5", "-1", "true", "1e99" })
    {
        const auto errors = errorsOf (replaced (validRouterSettings, "\"platform\"",
                                                std::string ("\"workers\": ") + workers + ", \"platform\""));
        INFO (workers);
        REQUIRE (errors.size() == 1);
        CHECK (errors[0].starts_with ("router.json:4: workers: must be"));
    }
}

TEST_CASE ("accounts inherit policies from the levels above and override them")
{
    const auto key = sha256Hex ("secret");
    const auto text = R"({ "policy": { "services": ["a", "b"], "weight": 3, "priority": 4 },
      "accounts": { "city": { "policy": { "priority": 2 }, "accounts": { "desk": {
        "policy": { "services": ["b"] }, "keys": [{ "sha256": ")" +
                      key + R"(" }] } } } },
      "services": { "a": {}, "b": {} } })";

    schema::FleetSettings tree;
    REQUIRE (readMessage (text, "tree", tree).empty());
    REQUIRE (checkTree (tree, "tree").empty());

    const FleetView view (tree, 7);
    const auto account = view.accountForKey ("secret");
    REQUIRE (account != nullptr);
    CHECK (account->name == "city/desk");
    CHECK (account->weight == 3);
    CHECK (account->priority == 2);
    CHECK (account->services == std::set<std::string, std::less<>> { "b" });
    CHECK (view.accountForKey ("other") == nullptr);
}

TEST_CASE ("inconsistencies within a tree are refused with their path")
{
    schema::FleetSettings tree;
    const auto key = sha256Hex ("secret");
    const auto text = R"({ "policy": { "services": ["none"] },
      "accounts": { "x": { "keys": [{ "sha256": ")" +
                      key + R"(" }] }, "y": { "keys": [{ "sha256": ")" + key + R"(" }] } },
      "services": { "a": { "models": ["m"] }, "b": { "models": ["m"] } } })";
    REQUIRE (readMessage (text, "tree", tree).empty());

    const auto errors = checkTree (tree, "tree");
    REQUIRE (errors.size() == 3);
    CHECK (toString (errors[0]).find (".models: \"m\" is offered by service") != std::string::npos);
    CHECK (toString (errors[1]) == "tree: policy.services: names \"none\", which is not among the services");
    CHECK (toString (errors[2]).find ("a key stands at") != std::string::npos);
}

TEST_CASE ("repeatability follows the first rule that matches")
{
    schema::Service service;
    REQUIRE (readMessage (R"({ "repeat_rules": [
        { "methods": ["PUT"], "path_prefix": "/send/draft", "repeatable": true },
        { "path_prefix": "/send", "repeatable": false } ] })",
                          "service", service)
                 .empty());

    CHECK (isRepeatable (service, "PUT", "/send/draft/1"));
    CHECK_FALSE (isRepeatable (service, "POST", "/send/draft/1"));
    CHECK_FALSE (isRepeatable (service, "GET", "/send"));
    CHECK (isRepeatable (service, "GET", "/other"));
    CHECK_FALSE (isRepeatable (service, "POST", "/other"));
}
