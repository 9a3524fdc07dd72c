#include "ChatRequest.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

auto memberProblem (std::string_view name, std::string_view rule) -> Problem
{
    return makeProblem (ErrorKind::invalidRequest, "\"" + std::string (name) + "\" " + std::string (rule));
}

/** @returns a member, or nullptr if it is missing or null. */
auto findMember (const json::object& object, std::string_view name) -> const json::value*
{
    const auto* value = object.if_contains (json::string_view (name.data(), name.size()));
    return value == nullptr || value->is_null() ? nullptr : value;
}

auto appendContent (std::string& text, const json::value& content) -> void
{
    if (const auto* plain = content.if_string())
    {
        text.append (plain->data(), plain->size());
        return;
    }

    const auto* parts = content.if_array();

    if (parts == nullptr)
        return;

    for (const auto& part : *parts)
        if (const auto* object = part.if_object())
            if (const auto* partText = findMember (*object, "text");
                partText != nullptr && partText->is_string())
                text.append (partText->get_string().data(), partText->get_string().size());
}

auto checkMessages (const json::object& body) -> std::optional<Problem>
{
    const auto* messages = findMember (body, "messages");

    if (messages == nullptr || ! messages->is_array() || messages->get_array().empty())
        return memberProblem ("messages", "must be a list with at least one message");

    for (const auto& message : messages->get_array())
    {
        const auto* object = message.if_object();
        const auto* role = object == nullptr ? nullptr : findMember (*object, "role");

        if (role == nullptr || ! role->is_string())
            return memberProblem ("messages", "must hold objects with a \"role\"");
    }

    return {};
}

auto checkOptions (const json::object& body) -> std::optional<Problem>
{
    if (const auto* count = findMember (body, "n"); count != nullptr && *count != 1)
        return makeProblem (ErrorKind::unsupported, "\"n\" other than 1 is not offered");

    if (const auto* stream = findMember (body, "stream"); stream != nullptr && ! stream->is_bool())
        return memberProblem ("stream", "must be true or false");

    if (const auto* options = findMember (body, "stream_options");
        options != nullptr && ! options->is_object())
        return memberProblem ("stream_options", "must be an object");

    return {};
}

auto readMaxTokens (const json::object& body, std::uint32_t& target) -> std::optional<Problem>
{
    for (const auto* name : { "max_tokens", "max_completion_tokens" })
    {
        const auto* value = findMember (body, name);

        if (value == nullptr)
            continue;

        boost::system::error_code error;
        const auto number = value->to_number<std::uint32_t> (error);

        if (error || number == 0)
            return memberProblem (name, "must be a whole number above 0");

        target = number;
    }

    return {};
}

} // namespace

auto parseChatRequest (std::string_view text) -> std::variant<ChatRequest, Problem>
{
    boost::system::error_code error;
    auto value = json::parse (json::string_view (text.data(), text.size()), error);

    if (error)
        return makeProblem (ErrorKind::invalidRequest, "the body is not valid JSON: " + error.message());

    if (! value.is_object())
        return makeProblem (ErrorKind::invalidRequest, "the body must be a JSON object");

    ChatRequest request;
    request.body = std::move (value.get_object());

    const auto* model = findMember (request.body, "model");

    if (model == nullptr || ! model->is_string())
        return memberProblem ("model", "must be a text");

    request.model = std::string (model->get_string());

    for (auto problem : { checkMessages (request.body), checkOptions (request.body),
                          readMaxTokens (request.body, request.maxTokens) })
        if (problem)
            return *problem;

    if (const auto* stream = findMember (request.body, "stream"))
        request.stream = stream->get_bool();

    if (const auto* options = findMember (request.body, "stream_options"))
        if (const auto* usage = findMember (options->get_object(), "include_usage"))
            request.includeUsage = usage->is_bool() && usage->get_bool();

    return request;
}

auto promptText (const json::object& body) -> std::string
{
    std::string text;
    const auto* messages = findMember (body, "messages");

    if (messages == nullptr || ! messages->is_array())
        return text;

    for (const auto& message : messages->get_array())
    {
        const auto& object = message.get_object();
        const auto* role = findMember (object, "role");
        text += "\n<|";
        text += role != nullptr && role->is_string() ? std::string_view (role->get_string()) : "";
        text += "|> ";

        if (const auto* content = findMember (object, "content"))
            appendContent (text, *content);
    }

    return text;
}

auto engineRequestBody (const ChatRequest& request,
                        std::uint32_t priority,
                        std::string_view cacheSalt,
                        std::string_view relayed,
                        std::uint32_t relayedTokens) -> std::string
{
    auto body = request.body;
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true }, { "continuous_usage_stats", true } };
    body["priority"] = priority;
    body["cache_salt"] = cacheSalt;

    if (! relayed.empty())
    {
        body["messages"].get_array().push_back (json::object {
            { "role", "assistant" }, { "content", json::string (relayed.data(), relayed.size()) } });
        body["continue_final_message"] = true;
        body["add_generation_prompt"] = false;
    }

    if (request.maxTokens > 0)
    {
        body.erase ("max_completion_tokens");
        body["max_tokens"] = request.maxTokens > relayedTokens ? request.maxTokens - relayedTokens : 1;
    }

    return json::serialize (body);
}

} // namespace snowrudder
