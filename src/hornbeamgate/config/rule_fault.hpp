#pragma once

#include <cstddef>
#include <string>

namespace hornbeamgate {

/// Error in a rules file. Line and column start at 1; the column is a byte offset within the line.
struct RuleFault {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string text; ///< one sentence without a full stop, suitable for display to an operator

    bool operator==(const RuleFault&) const = default;
};

} // namespace hornbeamgate
