#include "RequestFingerprint.h"

#include "snowrudder_core/snowrudder_core.h"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <array>
#include <cstring>
#include <memory>

namespace snowrudder
{

namespace
{

constexpr auto keyBytes = std::size_t { 16 };
constexpr auto fingerprintBytes = std::size_t { 16 };

using Context = std::unique_ptr<EVP_MAC_CTX, decltype (&EVP_MAC_CTX_free)>;

/** @returns a new SipHash context whose key is derived from the secret. */
auto keyedContext (std::string_view secret) -> Context
{
    // Fetched once: fetching the algorithm takes longer than hashing a short request.
    static auto* const algorithm = EVP_MAC_fetch (nullptr, "SIPHASH", nullptr);
    requireInvariant (algorithm != nullptr, "OpenSSL provides SipHash");

    std::array<unsigned char, SHA256_DIGEST_LENGTH> key;
    SHA256 (reinterpret_cast<const unsigned char*> (secret.data()), secret.size(), key.data());

    Context context (EVP_MAC_CTX_new (algorithm), EVP_MAC_CTX_free);
    requireInvariant (context && EVP_MAC_init (context.get(), key.data(), keyBytes, nullptr) == 1,
                      "a SipHash context can be created");
    return context;
}

auto hashPart (EVP_MAC_CTX* context, std::string_view part) -> void
{
    // The length comes first, so that bytes can't move from one part to the next without changing the hash.
    const auto length = static_cast<std::uint64_t> (part.size());
    EVP_MAC_update (context, reinterpret_cast<const unsigned char*> (&length), sizeof (length));
    EVP_MAC_update (context, reinterpret_cast<const unsigned char*> (part.data()), part.size());
}

/** Appends a number as 16 hexadecimal digits. */
auto appendDigits (std::string& text, std::uint64_t number) -> void
{
    constexpr auto digits = std::string_view ("0123456789abcdef");
    constexpr auto bitsADigit = 4U;
    constexpr auto digitCount = 16U;

    for (auto place = digitCount; place > 0; --place)
        text += digits[(number >> ((place - 1) * bitsADigit)) & 0xF];
}

} // namespace

auto fingerprintOf (std::string_view secret, const RequestContent& content) -> RequestFingerprint
{
    if (secret.empty())
        return {};

    const auto context = keyedContext (secret);

    for (const auto part : { content.account, content.method, content.host, content.target, content.body })
        hashPart (context.get(), part);

    std::array<unsigned char, fingerprintBytes> bytes {};
    auto length = bytes.size();
    EVP_MAC_final (context.get(), bytes.data(), &length, bytes.size());

    RequestFingerprint fingerprint;
    std::memcpy (&fingerprint.high, bytes.data(), sizeof (fingerprint.high));
    std::memcpy (&fingerprint.low, bytes.data() + sizeof (fingerprint.high), sizeof (fingerprint.low));
    return fingerprint;
}

auto toString (const RequestFingerprint& fingerprint) -> std::string
{
    std::string text;
    appendDigits (text, fingerprint.high);
    appendDigits (text, fingerprint.low);
    return text;
}

auto toString (std::span<const RequestFingerprint> parts) -> std::string
{
    if (parts.empty())
        return "none";

    std::string text;

    for (const auto& part : parts)
    {
        text += text.empty() ? "" : ",";
        appendDigits (text, part.low);
    }

    return text;
}

} // namespace snowrudder
