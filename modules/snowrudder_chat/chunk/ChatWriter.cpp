#include "ChatWriter.h"

namespace snowrudder
{

namespace json = boost::json;

namespace
{

auto usageObject (const Usage& usage) -> json::object
{
    return { { "prompt_tokens", usage.promptTokens },
             { "completion_tokens", usage.completionTokens },
             { "total_tokens", usage.promptTokens + usage.completionTokens },
             { "prompt_tokens_details", { { "cached_tokens", usage.cachedTokens } } } };
}

auto appendQuoted (std::string& target, std::string_view text) -> void
{
    target += json::serialize (json::string_view (text.data(), text.size()));
}

} // namespace

ChatWriter::ChatWriter (CompletionMetadata completionMetadata) : head (std::move (completionMetadata))
{
    json::object object { { "id", "chatcmpl-" + head.id },
                          { "object", "chat.completion.chunk" },
                          { "created", head.created.time_since_epoch().count() },
                          { "model", head.model } };
    chunkHead = json::serialize (object);
    chunkHead.pop_back();
}

auto ChatWriter::appendHead (std::string& target, std::uint64_t eventId) const -> void
{
    target += "id: ";
    target += std::to_string (eventId);
    target += "\ndata: ";
    target += chunkHead;
}

auto ChatWriter::appendText (std::string& target, std::uint64_t eventId, std::string_view text) const -> void
{
    appendHead (target, eventId);
    target += R"(,"choices":[{"index":0,"delta":{"content":)";
    appendQuoted (target, text);
    target += R"(},"logprobs":null,"finish_reason":null}]})";
    target += "\n\n";
}

auto ChatWriter::appendChoice (std::string& target, std::uint64_t eventId, std::string_view choice) const
    -> void
{
    appendHead (target, eventId);
    target += R"(,"choices":[)";
    target += choice;
    target += "]}\n\n";
}

auto ChatWriter::appendFinish (std::string& target, std::uint64_t eventId, std::string_view reason) const
    -> void
{
    appendHead (target, eventId);
    target += R"(,"choices":[{"index":0,"delta":{},"logprobs":null,"finish_reason":)";
    appendQuoted (target, reason);
    target += "}]}\n\n";
}

auto ChatWriter::appendUsage (std::string& target, std::uint64_t eventId, const Usage& usage) const -> void
{
    appendHead (target, eventId);
    target += R"(,"choices":[],"usage":)";
    target += json::serialize (usageObject (usage));
    target += "}\n\n";
}

auto ChatWriter::appendProblem (std::string& target, std::string_view problem) -> void
{
    target += "data: ";
    target += problem;
    target += "\n\n";
}

auto ChatWriter::appendDone (std::string& target) -> void
{
    target += "data: [DONE]\n\n";
}

auto ChatWriter::wholeAnswer (std::string_view text,
                              std::string_view reason,
                              const Usage& usage,
                              const json::array& toolCalls) const -> std::string
{
    json::object message { { "role", "assistant" },
                           { "content", json::string_view (text.data(), text.size()) } };

    if (! toolCalls.empty())
        message["tool_calls"] = toolCalls;

    json::object choice { { "index", 0 },
                          { "message", std::move (message) },
                          { "logprobs", nullptr },
                          { "finish_reason", json::string_view (reason.data(), reason.size()) } };

    json::object answer { { "id", "chatcmpl-" + head.id },
                          { "object", "chat.completion" },
                          { "created", head.created.time_since_epoch().count() },
                          { "model", head.model },
                          { "choices", json::array { std::move (choice) } },
                          { "usage", usageObject (usage) } };
    return json::serialize (answer);
}

namespace
{

auto mergeToolCall (json::object& existing, const json::object& part) -> void
{
    for (const auto& [name, value] : part)
    {
        if (name == "function" && value.is_object() && existing.contains ("function"))
        {
            auto& function = existing["function"].get_object();

            for (const auto& [member, added] : value.get_object())
            {
                if (function.contains (member) && function[member].is_string() && added.is_string())
                    function[member].get_string().append (added.get_string());
                else
                    function[member] = added;
            }
        }
        else
        {
            existing[name] = value;
        }
    }
}

} // namespace

auto mergeToolCalls (json::array& collected, std::string_view choice) -> void
{
    boost::system::error_code error;
    const auto value = json::parse (json::string_view (choice.data(), choice.size()), error);
    const auto* calls = error ? nullptr : value.find_pointer ("/delta/tool_calls", error);

    if (calls == nullptr || ! calls->is_array())
        return;

    for (const auto& call : calls->get_array())
    {
        if (! call.is_object())
            continue;

        const auto& part = call.get_object();
        const auto* index = part.if_contains ("index");
        auto* existing = static_cast<json::object*> (nullptr);

        for (auto& entry : collected)
            if (index != nullptr && entry.get_object().contains ("index") &&
                entry.get_object()["index"] == *index)
                existing = &entry.get_object();

        if (existing == nullptr)
            collected.emplace_back (part);
        else
            mergeToolCall (*existing, part);
    }
}

} // namespace snowrudder
