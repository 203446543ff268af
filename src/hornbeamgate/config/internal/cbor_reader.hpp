#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/strong_id.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate::internal {

/// Reads the items of a CBOR array sequentially. After the first missing item or item of the wrong type, ok() stays
/// false and all further reads return empty values.
class CborReader {
public:
    explicit CborReader(const nlohmann::json& array)
        : m_array(array)
        , m_ok(array.is_array())
    {
    }

    /// Whether every read succeeded.
    bool ok() const { return m_ok; }

    /// Whether every read succeeded and all items have been consumed.
    bool isComplete() const { return m_ok && m_next == m_array.size(); }

    /// Marks the message as malformed.
    void fail() { m_ok = false; }

    std::uint64_t number()
    {
        const auto& item = next();
        if (!item.is_number_unsigned()) {
            fail();
            return 0;
        }
        return item.get<std::uint64_t>();
    }

    std::string text(std::size_t maxBytes)
    {
        const auto& item = next();
        if (!item.is_string() || item.get_ref<const std::string&>().size() > maxBytes) {
            fail();
            return {};
        }
        return item.get<std::string>();
    }

    /// Reads an array of at most `maxItems` items.
    const nlohmann::json& array(std::size_t maxItems)
    {
        const auto& item = next();
        if (item.is_array() && item.size() <= maxItems)
            return item;
        fail();
        return emptyArray();
    }

    std::vector<std::string> texts(std::size_t maxItems, std::size_t maxBytes)
    {
        CborReader reader(array(maxItems));
        std::vector<std::string> values;
        while (reader.m_ok && reader.m_next < reader.m_array.size())
            values.push_back(reader.text(maxBytes));
        if (!reader.ok())
            fail();
        return values;
    }

    /// Consumes the next item if it is null; returns whether it was.
    bool skipNull()
    {
        const bool isNull = m_ok && m_next < m_array.size() && m_array[m_next].is_null();
        if (isNull)
            ++m_next;
        return isNull;
    }

private:
    static const nlohmann::json& emptyArray()
    {
        static const nlohmann::json kEmpty = nlohmann::json::array();
        return kEmpty;
    }

    const nlohmann::json& next()
    {
        if (!m_ok || m_next >= m_array.size()) {
            fail();
            return emptyArray();
        }
        return m_array[m_next++];
    }

    const nlohmann::json& m_array;
    std::size_t m_next = 0;
    bool m_ok;
};

} // namespace hornbeamgate::internal
