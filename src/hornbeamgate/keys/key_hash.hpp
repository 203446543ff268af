#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/result.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hornbeamgate {

inline constexpr std::size_t kKeyHashBytes = 32;
inline constexpr std::size_t kKeySecretRandomBytes = 32;
inline constexpr std::size_t kMinPepperBytes = 16;
inline constexpr std::size_t kMaxPepperBytes = 64;

/// Maximum length of a secret; longer ones are rejected without being hashed.
inline constexpr std::size_t kMaxKeySecretBytes = 256;

/// Reason why a pepper or a hash was rejected. Never contains the secret.
struct KeyError {
    std::string detail;
};

/// Keyed hash of a key's secret.
class KeyHash {
public:
    /// Parses 64 hexadecimal digits, which toHex() writes in lower case.
    static Result<KeyHash, KeyError> fromHex(std::string_view hex);

    explicit KeyHash(const std::array<std::uint8_t, kKeyHashBytes>& octets)
        : m_octets(octets)
    {
    }

    std::string toHex() const;
    const std::array<std::uint8_t, kKeyHashBytes>& octets() const { return m_octets; }

    /// Compares in constant time, independent of the contents.
    bool operator==(const KeyHash& other) const;

private:
    std::array<std::uint8_t, kKeyHashBytes> m_octets;
};

/// Hashes secrets with keyed BLAKE2b. The key is a pepper shared by all hosts of a fleet, so a leaked rules file alone
/// is not sufficient to test guessed secrets.
class KeyHasher {
public:
    /// Fails unless `pepper` has kMinPepperBytes to kMaxPepperBytes bytes.
    static Result<KeyHasher, KeyError> create(BytesView pepper);

    KeyHasher(const KeyHasher&) = default;
    KeyHasher(KeyHasher&&) = default;
    KeyHasher& operator=(const KeyHasher&) = default;
    KeyHasher& operator=(KeyHasher&&) = default;
    /// Overwrites the pepper.
    ~KeyHasher();

    KeyHash hash(std::string_view secret) const;

private:
    explicit KeyHasher(BytesView pepper);

    Bytes m_pepper;
};

/// Creates the secret of a new key: `hbg_` followed by the unpadded base64url encoding of `randomOctets`, which must
/// come from a cryptographically secure random number generator.
std::string makeKeySecret(const std::array<std::uint8_t, kKeySecretRandomBytes>& randomOctets);

} // namespace hornbeamgate
