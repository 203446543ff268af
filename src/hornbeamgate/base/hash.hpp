#pragma once

#include <cstdint>
#include <string_view>

namespace hornbeamgate {

/// 64-bit hash (XXH3) of `bytes`, equal on every host. Not for secrets.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/// Score of `member` for `key` in rendezvous hashing; the member with the highest score owns the key.
std::uint64_t rendezvousScore(std::string_view member, std::uint64_t key);

} // namespace hornbeamgate
