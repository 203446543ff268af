#pragma once

#include "hornbeamgate/base/time.hpp"

#include <cstdint>

namespace hornbeamgate {

/// Bounds the lines that a process logs in a second.
///
/// Lines about what went well may use half of the bound, so that refusals, failures and changes of belief still find
/// room when requests flood the process.
class LineBudget {
public:
    /// Lines a second; at a few microseconds each they take well under a hundredth of the smallest host's processor.
    static constexpr int kLinesPerSecond = 200;

    bool takeLine(bool isRoutine, MonotonicTime now);

    /// Lines left out since the last call.
    std::uint64_t takeDropped();
    /// Notes a line that was within the bound and could not be written.
    void noteUnwritten() { ++m_dropped; }

private:
    MonotonicTime m_windowEnd {};
    int m_lines = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace hornbeamgate
