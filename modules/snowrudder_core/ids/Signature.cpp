#include "Signature.h"

#include "Hex.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>

namespace snowrudder
{

namespace
{

auto signedText (std::string_view name, std::string_view time, std::string_view message) -> std::string
{
    std::string text (name);
    text += ';';
    text += time;
    text += ';';
    text += message;
    return text;
}

} // namespace

auto keyedDigest (std::string_view secret, std::string_view message) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
    auto length = 0U;
    HMAC (EVP_sha256(), secret.data(), static_cast<int> (secret.size()),
          reinterpret_cast<const unsigned char*> (message.data()), message.size(), digest.data(), &length);

    std::string hex;

    for (auto index = 0U; index < length; ++index)
        appendHex (hex, digest[index]);

    return hex;
}

auto isKeyedDigest (std::string_view digest, std::string_view secret, std::string_view message) -> bool
{
    const auto expected = keyedDigest (secret, message);
    return digest.size() == expected.size() &&
           CRYPTO_memcmp (digest.data(), expected.data(), expected.size()) == 0;
}

auto signMessage (std::string_view secret, std::string_view name, WallTime time, std::string_view message)
    -> std::string
{
    const auto timeText = std::to_string (time.time_since_epoch().count());
    return std::string (name) + ";" + timeText + ";" +
           keyedDigest (secret, signedText (name, timeText, message));
}

auto checkSignature (std::string_view secret,
                     std::string_view signature,
                     std::string_view message,
                     WallTime now,
                     std::chrono::milliseconds maxAge) -> std::optional<std::string>
{
    const auto first = signature.find (';');
    const auto second = first == std::string_view::npos ? first : signature.find (';', first + 1);

    if (second == std::string_view::npos)
        return {};

    const auto name = signature.substr (0, first);
    const auto timeText = signature.substr (first + 1, second - first - 1);
    const auto submittedDigest = signature.substr (second + 1);

    if (! isKeyedDigest (submittedDigest, secret, signedText (name, timeText, message)))
        return {};

    auto milliseconds = std::int64_t { 0 };
    std::from_chars (timeText.data(), timeText.data() + timeText.size(), milliseconds);
    const auto age = now - WallTime (std::chrono::milliseconds (milliseconds));

    if (age > maxAge || age < -maxAge)
        return {};

    return std::string (name);
}

} // namespace snowrudder
