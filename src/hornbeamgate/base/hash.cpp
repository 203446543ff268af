#include "hornbeamgate/base/hash.hpp"

#include <xxhash.h>

namespace hornbeamgate {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousScore(std::string_view member, std::uint64_t key)
{
    return stableHash(member, key);
}

} // namespace hornbeamgate
