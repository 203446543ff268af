#pragma once

#include <algorithm>
#include <cstdint>

namespace hornbeamgate {

/// Numbers of requests and tokens, the two rate-limited resources.
struct Amounts {
    std::int64_t requests = 0;
    std::int64_t tokens = 0; ///< prompt and generated tokens together

    bool operator==(const Amounts&) const = default;

    Amounts& operator+=(const Amounts& other)
    {
        requests += other.requests;
        tokens += other.tokens;
        return *this;
    }
    Amounts& operator-=(const Amounts& other)
    {
        requests -= other.requests;
        tokens -= other.tokens;
        return *this;
    }

    bool isZero() const { return requests == 0 && tokens == 0; }
    bool isNonNegative() const { return requests >= 0 && tokens >= 0; }

    /// Returns whether both amounts are at least those of `need`.
    bool covers(const Amounts& need) const { return requests >= need.requests && tokens >= need.tokens; }
};

inline Amounts operator+(Amounts left, const Amounts& right)
{
    return left += right;
}

inline Amounts operator-(Amounts left, const Amounts& right)
{
    return left -= right;
}

inline Amounts elementwiseMin(const Amounts& left, const Amounts& right)
{
    return { std::min(left.requests, right.requests), std::min(left.tokens, right.tokens) };
}

} // namespace hornbeamgate
