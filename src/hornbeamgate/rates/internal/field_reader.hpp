#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace hornbeamgate::internal {

/// Reads the fields of a decoded array in order. After the first mismatch every read fails and returns an empty
/// value.
class FieldReader {
public:
    explicit FieldReader(const nlohmann::json& array)
        : m_array(array)
        , m_ok(array.is_array())
    {
    }

    std::uint64_t number(std::uint64_t limit)
    {
        const auto* field = next();
        if (field == nullptr || !field->is_number_unsigned() || field->get<std::uint64_t>() > limit)
            return fail<std::uint64_t>();
        return field->get<std::uint64_t>();
    }

    std::string name()
    {
        const auto* field = next();
        if (field == nullptr || !field->is_string())
            return fail<std::string>();
        const auto& text = field->get_ref<const std::string&>();
        return text.empty() || text.size() > kMaxNameSize ? fail<std::string>() : text;
    }

    /// Reads a nested array of at most `limit` elements; returns an empty array on failure.
    const nlohmann::json& array(std::size_t limit)
    {
        static const nlohmann::json empty = nlohmann::json::array();
        const auto* field = next();
        if (field != nullptr && field->is_array() && field->size() <= limit)
            return *field;
        m_ok = false;
        return empty;
    }

    /// Returns whether all reads succeeded and no fields are left.
    bool finished() const { return m_ok && m_index == m_array.size(); }
    bool ok() const { return m_ok; }

private:
    static constexpr std::size_t kMaxNameSize = 255;

    const nlohmann::json* next()
    {
        if (!m_ok || m_index >= m_array.size())
            return nullptr;
        return &m_array[m_index++];
    }

    template <typename T>
    T fail()
    {
        m_ok = false;
        return T {};
    }

    const nlohmann::json& m_array;
    std::size_t m_index = 0;
    bool m_ok;
};

} // namespace hornbeamgate::internal
