#include "hornbeamgate/config/internal/utf8.hpp"

#include <cstdint>

namespace hornbeamgate::internal {
namespace {

    struct SequencePattern {
        std::uint8_t mask;
        std::uint8_t lead;
        std::size_t length;
        std::uint32_t smallest; ///< smaller code points are overlong in this encoding and therefore invalid
    };

    constexpr SequencePattern kPatterns[] = {
        { 0x80, 0x00, 1, 0 },
        { 0xe0, 0xc0, 2, 0x80 },
        { 0xf0, 0xe0, 3, 0x800 },
        { 0xf8, 0xf0, 4, 0x10000 },
    };
    constexpr std::uint32_t kLastCodePoint = 0x10ffff;

    const SequencePattern* findPattern(std::uint8_t lead)
    {
        for (const auto& pattern : kPatterns) {
            if ((lead & pattern.mask) == pattern.lead)
                return &pattern;
        }
        return nullptr;
    }

    bool isSurrogate(std::uint32_t codePoint) { return codePoint >= 0xd800 && codePoint <= 0xdfff; }

    /// Length of the well-formed sequence at the start of `text`, or 0 if there is none.
    std::size_t sequenceLength(std::string_view text)
    {
        const auto lead = static_cast<std::uint8_t>(text[0]);
        const auto* pattern = findPattern(lead);
        if (!pattern || text.size() < pattern->length)
            return 0;
        std::uint32_t codePoint = lead & static_cast<std::uint8_t>(~pattern->mask);
        for (std::size_t index = 1; index < pattern->length; ++index) {
            const auto byte = static_cast<std::uint8_t>(text[index]);
            if ((byte & 0xc0) != 0x80)
                return 0;
            codePoint = (codePoint << 6) | (byte & 0x3fu);
        }
        const bool isValid = codePoint >= pattern->smallest && codePoint <= kLastCodePoint && !isSurrogate(codePoint);
        return isValid ? pattern->length : 0;
    }

} // namespace

std::optional<std::size_t> findInvalidUtf8(std::string_view text)
{
    std::size_t index = 0;
    while (index < text.size()) {
        const auto length = sequenceLength(text.substr(index));
        if (length == 0)
            return index;
        index += length;
    }
    return std::nullopt;
}

} // namespace hornbeamgate::internal
