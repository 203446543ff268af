#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamgate::internal {

/// Description of what is wrong with a value; empty if it was parsed successfully.
using ValueFault = std::string;

/// Parses a name that consists of letters, digits, '.', '_' and '-', at most 64 bytes.
ValueFault readName(std::string_view text, std::string& name);

/// Parses a path prefix that starts with '/' and contains only printable ASCII characters.
ValueFault readPath(std::string_view text, std::string& path);

ValueFault readCount(std::string_view text, std::uint32_t& count);
ValueFault readPositiveCount(std::string_view text, std::uint32_t& count);
ValueFault readAmount(std::string_view text, double& amount);

/// Parses a rate of the form `20/s`.
ValueFault readPerSecond(std::string_view text, double& perSecond);

/// Parses one of two keywords; sets `value` to true for `yes` and to false otherwise.
ValueFault readChoice(std::string_view text, std::string_view yes, std::string_view no, bool& value);

/// Parses a 32-byte hash in lower-case hexadecimal.
ValueFault readHash(std::string_view text, std::string& hash);

/// Parses a comma-separated list of model names without duplicates.
ValueFault readModels(std::string_view text, std::vector<ModelId>& models);

template <typename Tag>
ValueFault readId(std::string_view text, StrongName<Tag>& id)
{
    std::string name;
    auto fault = readName(text, name);
    id = StrongName<Tag>(std::move(name));
    return fault;
}

template <typename Tag>
ValueFault readNumber(std::string_view text, StrongNumber<Tag>& number)
{
    std::uint32_t count = 0;
    auto fault = readPositiveCount(text, count);
    number = StrongNumber<Tag>(count);
    return fault;
}

} // namespace hornbeamgate::internal
