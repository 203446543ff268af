#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace hornbeamgate {

/// Writes the BLAKE2b hash of `parts` to `digest`, which has 16 to 64 bytes. Different lists of parts are different inputs,
/// also if their concatenations are equal.
void hashParts(std::span<const std::string_view> parts, std::span<std::uint8_t> digest);
void hashParts(std::initializer_list<std::string_view> parts, std::span<std::uint8_t> digest);

/// Returns two lower-case hexadecimal digits for each of `octets`.
std::string toHex(std::span<const std::uint8_t> octets);

} // namespace hornbeamgate
