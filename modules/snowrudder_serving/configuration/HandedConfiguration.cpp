#include "HandedConfiguration.h"

#include "snowrudder_core/snowrudder_core.h"

#include <zlib.h>

namespace snowrudder
{

namespace
{

/** Length of the number that precedes the compressed text: the text's size, as eight bytes, the lowest first. */
constexpr auto sizeLength = std::size_t { 8 };
constexpr auto bitsPerByte = std::size_t { 8 };

auto writeSize (std::size_t size) -> std::string
{
    std::string written;

    for (auto index = std::size_t { 0 }; index < sizeLength; ++index)
        written.push_back (static_cast<char> (std::uint64_t { size } >> (index * bitsPerByte)));

    return written;
}

auto readSize (std::string_view bytes) -> std::uint64_t
{
    std::uint64_t size = 0;

    for (auto index = std::size_t { 0 }; index < sizeLength; ++index)
        size |= std::uint64_t { static_cast<unsigned char> (bytes[index]) } << (index * bitsPerByte);

    return size;
}

} // namespace

auto packConfiguration (std::string_view text, std::uint64_t revision) -> HandedConfiguration
{
    HandedConfiguration packed { revision, {}, 0 };

    if (text.size() > maxHandedText)
        return packed;

    auto length = compressBound (text.size());
    packed.bytes = writeSize (text.size());
    packed.bytes.resize (sizeLength + length);

    // zlib's interface takes unsigned bytes.
    const auto outcome =
        compress (reinterpret_cast<Bytef*> (packed.bytes.data() + sizeLength), &length,
                  reinterpret_cast<const Bytef*> (text.data()), static_cast<uLong> (text.size()));

    packed.bytes.resize (outcome == Z_OK ? sizeLength + length : 0);
    packed.hash = hashBytes (packed.bytes);
    return packed;
}

auto unpackConfiguration (std::string_view bytes) -> std::optional<std::string>
{
    if (bytes.size() < sizeLength || readSize (bytes) > maxHandedText)
        return {};

    std::string text (readSize (bytes), '\0');
    auto length = static_cast<uLongf> (text.size());
    const auto packed = bytes.substr (sizeLength);
    const auto outcome =
        uncompress (reinterpret_cast<Bytef*> (text.data()), &length,
                    reinterpret_cast<const Bytef*> (packed.data()), static_cast<uLong> (packed.size()));

    if (outcome != Z_OK || length != text.size())
        return {};

    return text;
}

} // namespace snowrudder
