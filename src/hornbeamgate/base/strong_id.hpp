#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hornbeamgate {

/// Name that cannot be mixed up with names of another kind. `Tag` sets the kind apart.
template <typename Tag>
class StrongName {
public:
    StrongName() = default;
    explicit StrongName(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }
    auto operator<=>(const StrongName&) const = default;

private:
    std::string m_value;
};

/// Number that cannot be mixed up with numbers of another kind. `Tag` sets the kind apart.
template <typename Tag>
class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }
    constexpr auto operator<=>(const StrongNumber&) const = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace hornbeamgate

template <typename Tag>
struct std::hash<hornbeamgate::StrongName<Tag>> {
    std::size_t operator()(const hornbeamgate::StrongName<Tag>& name) const noexcept
    {
        return std::hash<std::string> {}(name.value());
    }
};

template <typename Tag>
struct std::hash<hornbeamgate::StrongNumber<Tag>> {
    std::size_t operator()(const hornbeamgate::StrongNumber<Tag>& number) const noexcept
    {
        return std::hash<std::uint64_t> {}(number.value());
    }
};
