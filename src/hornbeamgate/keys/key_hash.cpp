#include "hornbeamgate/keys/key_hash.hpp"

#include "hornbeamgate/base/digest.hpp"

#include <sodium.h>

namespace hornbeamgate {
namespace {

    constexpr std::string_view kSecretPrefix = "hbg_";
    static_assert(kKeyHashBytes <= crypto_generichash_BYTES_MAX && kMaxPepperBytes <= crypto_generichash_KEYBYTES_MAX);
    static_assert(kMinPepperBytes >= crypto_generichash_KEYBYTES_MIN);

} // namespace

Result<KeyHash, KeyError> KeyHash::fromHex(std::string_view hex)
{
    std::array<std::uint8_t, kKeyHashBytes> octets {};
    std::size_t length = 0;
    const char* end = nullptr;
    const int status = sodium_hex2bin(octets.data(), octets.size(), hex.data(), hex.size(), nullptr, &length, &end);
    if (status != 0 || length != octets.size() || end != hex.data() + hex.size())
        return failure(KeyError { "key hash must be 64 hexadecimal digits" });
    return KeyHash(octets);
}

std::string KeyHash::toHex() const
{
    return hornbeamgate::toHex(m_octets);
}

bool KeyHash::operator==(const KeyHash& other) const
{
    return sodium_memcmp(m_octets.data(), other.m_octets.data(), kKeyHashBytes) == 0;
}

Result<KeyHasher, KeyError> KeyHasher::create(BytesView pepper)
{
    if (pepper.size() < kMinPepperBytes || pepper.size() > kMaxPepperBytes)
        return failure(KeyError { "pepper must be 16 to 64 bytes long" });
    return KeyHasher(pepper);
}

KeyHasher::KeyHasher(BytesView pepper)
    : m_pepper(pepper.begin(), pepper.end())
{
}

KeyHasher::~KeyHasher()
{
    sodium_memzero(m_pepper.data(), m_pepper.size());
}

KeyHash KeyHasher::hash(std::string_view secret) const
{
    std::array<std::uint8_t, kKeyHashBytes> octets {};
    const auto* input = reinterpret_cast<const unsigned char*>(secret.data());
    crypto_generichash(octets.data(), octets.size(), input, secret.size(), m_pepper.data(), m_pepper.size());
    return KeyHash(octets);
}

std::string makeKeySecret(const std::array<std::uint8_t, kKeySecretRandomBytes>& randomOctets)
{
    constexpr auto kVariant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::array<char, sodium_base64_ENCODED_LEN(kKeySecretRandomBytes, kVariant)> text;
    sodium_bin2base64(text.data(), text.size(), randomOctets.data(), randomOctets.size(), kVariant);
    return std::string(kSecretPrefix).append(text.data());
}

} // namespace hornbeamgate
