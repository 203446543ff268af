#pragma once

#include <tl/expected.hpp>

namespace hornbeamgate {

/// Value of type `T`, or the error `E` of the layer that failed.
template <typename T, typename E>
using Result = tl::expected<T, E>;

/// Wraps `error` so that it converts to any Result with that error type.
template <typename E>
auto failure(E&& error)
{
    return tl::make_unexpected(std::forward<E>(error));
}

} // namespace hornbeamgate
