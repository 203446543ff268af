#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <cstdint>

namespace hornbeamgate {

/// Counts how often the store has come back from an older copy of itself.
///
/// After such a return the store lacks what it acknowledged last, and gives the same offsets and generations out again. They
/// are therefore ordered by their era first: everything of a later era is newer. A store that does not count its returns
/// is always in era 0.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// Eras are counted modulo 2^20, so that a token takes at most 52 bits and is exact as a JSON number everywhere.
inline constexpr unsigned kEraBits = 20;
inline constexpr unsigned kOffsetBits = 40;
inline constexpr unsigned kGenerationBits = 32;

constexpr StoreEra storeEra(std::uint64_t count)
{
    return StoreEra(count & ((std::uint64_t { 1 } << kEraBits) - 1));
}

/// Position of the record that the store numbers `offset` in `era`.
constexpr LogOffset positionInEra(StoreEra era, std::uint64_t offset)
{
    return LogOffset(era.value() << kOffsetBits | offset);
}

constexpr StoreEra eraOf(LogOffset position)
{
    return StoreEra(position.value() >> kOffsetBits);
}

/// Position of a record of an earlier era in a copy that `era` began with: a copy keeps the offsets of its records.
constexpr LogOffset positionInCopy(StoreEra era, LogOffset position)
{
    return eraOf(position) < era ? positionInEra(era, position.value() & ((std::uint64_t { 1 } << kOffsetBits) - 1)) : position;
}

/// Number by which the store knows `position` in its era.
constexpr std::uint64_t offsetInEra(LogOffset position)
{
    return position.value() & ((std::uint64_t { 1 } << kOffsetBits) - 1);
}

/// Position after all records of the eras before `era`, and before all records of `era`, which must not be the first.
constexpr LogOffset lastBefore(StoreEra era)
{
    return LogOffset(positionInEra(era, 0).value() - 1);
}

/// Token of the leadership that the store numbers `generation` in `era`.
constexpr FencingToken tokenInEra(StoreEra era, std::uint64_t generation)
{
    return FencingToken(era.value() << kGenerationBits | generation);
}

/// Token whose number is the position of a record.
constexpr FencingToken tokenAt(LogOffset position)
{
    return tokenInEra(eraOf(position), offsetInEra(position));
}

constexpr StoreEra eraOf(FencingToken token)
{
    return StoreEra(token.value() >> kGenerationBits);
}

} // namespace hornbeamgate
