#include "ChatChunk.h"

#include <array>

namespace snowrudder
{

namespace json = boost::json;

namespace
{

auto numberOf (const json::object& object, std::string_view name) -> std::uint32_t
{
    const auto* value = object.if_contains (json::string_view (name.data(), name.size()));
    boost::system::error_code error;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint32_t> (error);
    return error ? 0 : number;
}

auto readUsage (const json::object& object) -> std::optional<Usage>
{
    const auto* value = object.if_contains ("usage");

    if (value == nullptr || ! value->is_object())
        return {};

    const auto& counts = value->get_object();
    Usage usage { numberOf (counts, "prompt_tokens"), 0, numberOf (counts, "completion_tokens") };

    if (const auto* details = counts.if_contains ("prompt_tokens_details");
        details != nullptr && details->is_object())
        usage.cachedTokens = numberOf (details->get_object(), "cached_tokens");

    return usage;
}

auto readDelta (const json::object& delta, ChatChunk& chunk) -> bool
{
    auto hasOther = false;

    for (const auto& [name, value] : delta)
    {
        if (name == "content" && value.is_string())
            chunk.content.assign (value.get_string().data(), value.get_string().size());
        else if (name != "role" && ! value.is_null() && name != "content")
            hasOther = true;
    }

    return hasOther;
}

auto readChoice (const json::object& choice, ChatChunk& chunk) -> void
{
    auto hasOther = false;

    if (const auto* delta = choice.if_contains ("delta"); delta != nullptr && delta->is_object())
        hasOther = readDelta (delta->get_object(), chunk);

    if (const auto* probabilities = choice.if_contains ("logprobs"))
        hasOther = hasOther || ! probabilities->is_null();

    if (const auto* reason = choice.if_contains ("finish_reason"); reason != nullptr && reason->is_string())
        chunk.finishReason.assign (reason->get_string().data(), reason->get_string().size());

    if (hasOther)
        chunk.other = json::serialize (choice);
}

} // namespace

auto parseChatEvent (std::string_view data) -> std::optional<ChatEvent>
{
    if (data == "[DONE]")
        return StreamEnd {};

    // Large enough for the objects of a typical chunk, so that parsing it needs no heap allocation.
    std::array<unsigned char, 4096> memory;
    json::monotonic_resource resource (memory.data(), memory.size());
    boost::system::error_code error;
    const auto value = json::parse (json::string_view (data.data(), data.size()), error, &resource);

    if (error || ! value.is_object())
        return {};

    const auto& object = value.get_object();

    if (const auto* failure = object.if_contains ("error"); failure != nullptr && ! failure->is_null())
        return StreamError { json::serialize (*failure) };

    ChatChunk chunk;
    chunk.usage = readUsage (object);

    const auto* choices = object.if_contains ("choices");

    if (choices == nullptr || ! choices->is_array())
        return {};

    if (! choices->get_array().empty() && choices->get_array().front().is_object())
        readChoice (choices->get_array().front().get_object(), chunk);

    return chunk;
}

} // namespace snowrudder
