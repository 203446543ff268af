#pragma once

#include <string>
#include <vector>

namespace hornbeamgate::testing {

/// JSON texts that would take many times their size as documents.
inline std::vector<std::string> amplifyingTexts(std::size_t bytes)
{
    const auto repeat = [bytes](const std::string& start, const std::string& part, const std::string& end) {
        std::string text = start;
        while (text.size() < bytes)
            text += part;
        return text + end;
    };
    return {
        repeat("", "[", ""),
        repeat("", R"({"":)", ""),
        repeat("[0", ",{}", "]"),
        repeat("[0", ",[0]", "]"),
        repeat("{\"a\":[0", ",[[[[0]]]]", "]}"),
    };
}

} // namespace hornbeamgate::testing
