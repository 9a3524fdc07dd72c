#include "StreamMessages.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** The first byte of a datagram; those of other messages begin with a hexadecimal digit. */
enum class MessageKind : std::uint8_t
{
    begun = 1,
    handedOver,
    query,
    response
};

/** Length of the shortened signature in hexadecimal digits before it is packed, and in bytes. Guessing one takes 2^39
    datagrams on average.
*/
constexpr auto signatureBytes = std::size_t { 5 };

constexpr auto bitsPerByte = 8U;
constexpr auto headLength = 1 + signatureBytes;

template <typename Number>
auto append (std::string& text, Number number) -> void
{
    for (auto shift = bitsPerByte * sizeof (Number); shift > 0; shift -= bitsPerByte)
        text += static_cast<char> (number >> (shift - bitsPerByte));
}

/** Reads numbers from the front of a text. */
class NumberReader
{
public:
    explicit NumberReader (std::string_view bytes) : rest (bytes) {}

    template <typename Number>
    auto read() -> Number
    {
        isComplete = isComplete && rest.size() >= sizeof (Number);

        if (! isComplete)
            return {};

        auto number = std::uint64_t { 0 };

        for (auto index = std::size_t { 0 }; index < sizeof (Number); ++index)
            number = number << bitsPerByte | static_cast<unsigned char> (rest[index]);

        rest.remove_prefix (sizeof (Number));
        return static_cast<Number> (number);
    }

    [[nodiscard]] auto isAtEnd() const -> bool { return rest.empty(); }
    [[nodiscard]] auto hasFailed() const -> bool { return ! isComplete; }

private:
    std::string_view rest;
    bool isComplete = true;
};

auto appendOrigin (std::string& text, const StreamOrigin& origin) -> void
{
    append (text, origin.version);
    append (text, origin.replica);
}

auto readOrigin (NumberReader& reader) -> StreamOrigin
{
    StreamOrigin origin;
    origin.version = reader.read<std::uint32_t>();
    origin.replica = reader.read<std::uint16_t>();
    return origin;
}

/** The state of a stream: its age in whole seconds, rounded up, with one value for a conflict. */
constexpr auto conflictMark = std::uint8_t { 255 };

auto stateOf (const KnownStream& stream, TimePoint now) -> std::uint8_t
{
    if (stream.isConflicting)
        return conflictMark;

    const auto seconds = std::chrono::ceil<std::chrono::seconds> (now - stream.begun).count();
    return static_cast<std::uint8_t> (std::clamp<std::int64_t> (seconds, 0, conflictMark - 1));
}

auto applyState (KnownStream& stream, std::uint8_t state, TimePoint now) -> void
{
    stream.isConflicting = state == conflictMark;
    stream.begun = now - std::chrono::seconds (stream.isConflicting ? 0 : state);
}

auto packedSignature (std::string_view secret, std::string_view text) -> std::string
{
    const auto digest = keyedDigest (secret, text);
    std::string packed;

    for (auto index = std::size_t { 0 }; index < signatureBytes; ++index)
    {
        constexpr auto digitBits = 4U;
        const auto digit = [&digest] (std::size_t place)
        {
            const auto character = digest[place];
            return character <= '9' ? character - '0' : character - 'a' + 10;
        };
        packed += static_cast<char> (digit (2 * index) << digitBits | digit (2 * index + 1));
    }

    return packed;
}

auto writeBody (const StreamNotice& notice, TimePoint now, std::string& body) -> MessageKind
{
    const auto isNew = [now] (const KnownStream& stream) { return stateOf (stream, now) == 0; };
    const auto kind =
        std::ranges::all_of (notice.streams, isNew) ? MessageKind::begun : MessageKind::handedOver;

    for (const auto& stream : notice.streams)
    {
        append (body, stream.key);
        appendOrigin (body, stream.origin);

        if (kind == MessageKind::handedOver)
            append (body, stateOf (stream, now));
    }

    return kind;
}

auto writeBody (const StreamQuery& query, TimePoint, std::string& body) -> MessageKind
{
    append (body, query.number);
    append (body, query.key);
    return MessageKind::query;
}

auto writeBody (const StreamQueryResponse& response, TimePoint now, std::string& body) -> MessageKind
{
    append (body, response.number);

    if (response.stream)
    {
        append (body, response.stream->key);
        appendOrigin (body, response.stream->origin);
        append (body, stateOf (*response.stream, now));
    }

    return MessageKind::response;
}

auto readNotice (NumberReader& reader, bool hasStates, TimePoint now) -> StreamNotice
{
    StreamNotice notice;

    while (! reader.isAtEnd() && ! reader.hasFailed())
    {
        KnownStream stream;
        stream.key = reader.read<StreamKey>();
        stream.origin = readOrigin (reader);
        stream.begun = now;

        if (hasStates)
            applyState (stream, reader.read<std::uint8_t>(), now);

        notice.streams.push_back (stream);
    }

    return notice;
}

auto readResponse (NumberReader& reader, TimePoint now) -> StreamQueryResponse
{
    StreamQueryResponse response;
    response.number = reader.read<std::uint32_t>();

    if (reader.isAtEnd())
        return response;

    KnownStream stream;
    stream.key = reader.read<StreamKey>();
    stream.origin = readOrigin (reader);
    applyState (stream, reader.read<std::uint8_t>(), now);
    response.stream = stream;
    return response;
}

} // namespace

auto isStreamMessage (std::string_view datagram) -> bool
{
    return ! datagram.empty() && datagram.front() >= static_cast<char> (MessageKind::begun) &&
           datagram.front() <= static_cast<char> (MessageKind::response);
}

auto encodeStreamMessage (const StreamMessage& message, std::string_view secret, TimePoint now) -> std::string
{
    std::string body;
    const auto kind =
        std::visit ([&] (const auto& content) { return writeBody (content, now, body); }, message);
    body.insert (body.begin(), static_cast<char> (kind));
    return body.substr (0, 1) + packedSignature (secret, body) + body.substr (1);
}

auto decodeStreamMessage (std::string_view datagram, std::string_view secret, TimePoint now)
    -> std::optional<StreamMessage>
{
    if (datagram.size() < headLength || ! isStreamMessage (datagram))
        return {};

    const auto content = datagram.substr (headLength);
    const auto signedText = std::string (datagram.substr (0, 1)).append (content);

    if (datagram.substr (1, signatureBytes) != packedSignature (secret, signedText))
        return {};

    NumberReader reader (content);
    StreamMessage message;
    const auto kind = static_cast<MessageKind> (datagram.front());

    if (kind == MessageKind::query)
        message = StreamQuery { reader.read<std::uint32_t>(), reader.read<StreamKey>() };
    else if (kind == MessageKind::response)
        message = readResponse (reader, now);
    else
        message = readNotice (reader, kind == MessageKind::handedOver, now);

    if (reader.hasFailed() || ! reader.isAtEnd())
        return {};

    return message;
}

} // namespace snowrudder
