#include "hornbeamgate/base/digest.hpp"

#include <sodium.h>

#include <array>

namespace hornbeamgate {

namespace {

    void update(crypto_generichash_state& state, std::string_view octets)
    {
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(octets.data()), octets.size());
    }

} // namespace

void hashParts(std::span<const std::string_view> parts, std::span<std::uint8_t> digest)
{
    crypto_generichash_state state {};
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    for (const auto part : parts) {
        // The length before each part ensures that different lists of parts are different hash inputs.
        const std::uint64_t size = part.size();
        std::array<char, sizeof(size)> prefix {};
        for (std::size_t i = 0; i < prefix.size(); ++i)
            prefix[i] = static_cast<char>(size >> (8 * i));
        update(state, { prefix.data(), prefix.size() });
        update(state, part);
    }
    crypto_generichash_final(&state, digest.data(), digest.size());
}

void hashParts(std::initializer_list<std::string_view> parts, std::span<std::uint8_t> digest)
{
    hashParts(std::span(parts.begin(), parts.size()), digest);
}

std::string toHex(std::span<const std::uint8_t> octets)
{
    std::string digits(octets.size() * 2 + 1, '\0'); // The last character is the null that sodium writes.
    sodium_bin2hex(digits.data(), digits.size(), octets.data(), octets.size());
    digits.pop_back();
    return digits;
}

} // namespace hornbeamgate
