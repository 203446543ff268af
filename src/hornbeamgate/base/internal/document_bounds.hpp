#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace hornbeamgate::internal {

/// Walks over an encoded document and stops where the parser would nest too deep or take too much memory.
class DocumentBounds : public nlohmann::json_sax<nlohmann::json> {
public:
    DocumentBounds(std::size_t encodedBytes, std::size_t maxDepth);

    /// Why the walk stopped.
    const std::string& fault() const { return m_fault; }

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t& text) override;
    bool string(string_t& value) override;
    bool binary(binary_t& value) override;
    bool key(string_t& value) override;
    bool start_object(std::size_t elements) override;
    bool end_object() override;
    bool start_array(std::size_t elements) override;
    bool end_array() override;
    bool parse_error(std::size_t position, const std::string& token, const nlohmann::detail::exception& error) override;

private:
    bool take(std::size_t bytes);
    /// Takes the memory of a value that holds `contentBytes` outside itself.
    bool takeValue(std::size_t contentBytes);
    bool enter(std::size_t elements);
    bool leave();
    bool stop(std::string fault);

    std::size_t m_encodedBytes;
    std::size_t m_maxDepth;
    std::size_t m_bytesLeft; ///< of the memory that the document may take
    std::size_t m_depth = 0;
    bool m_followsKey = false;
    std::string m_fault;
};

} // namespace hornbeamgate::internal
