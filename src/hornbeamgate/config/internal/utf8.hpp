#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace hornbeamgate::internal {

/// Index of the first byte of `text` that is not part of a well-formed UTF-8 sequence (RFC 3629), or nothing.
std::optional<std::size_t> findInvalidUtf8(std::string_view text);

} // namespace hornbeamgate::internal
