#include "hornbeamgate/base/internal/document_bounds.hpp"

#include <utility>

namespace hornbeamgate::internal {

namespace {

    /// An eighth of the 64 MB that a daemon may take; a record of the store, of up to 256 KiB, stays below it.
    constexpr std::size_t kFixedBytes = std::size_t { 8 } * 1024 * 1024;
    /// With the fixed part, covers up to 4 MiB of objects with short names and texts, which take some ten times their text.
    constexpr std::size_t kBytesPerEncodedByte = 8;

    /// Memory of the parts of a document on 64-bit machines, with what the allocator adds.
    constexpr std::size_t kValueBytes = 32; // an array doubles its capacity when it grows
    constexpr std::size_t kTextBytes = 48;
    constexpr std::size_t kContainerBytes = 64;
    constexpr std::size_t kMemberBytes = 96; // with its value

    constexpr auto kUnknownLength = static_cast<std::size_t>(-1); // of a CBOR item of indefinite length
    /// Parser errors quote the whole token at which they occur.
    constexpr std::size_t kMaxFaultBytes = 256;

} // namespace

DocumentBounds::DocumentBounds(std::size_t encodedBytes, std::size_t maxDepth)
    : m_encodedBytes(encodedBytes)
    , m_maxDepth(maxDepth)
    , m_bytesLeft(kFixedBytes + kBytesPerEncodedByte * encodedBytes)
{
}

bool DocumentBounds::null()
{
    return takeValue(0);
}

bool DocumentBounds::boolean(bool /*value*/)
{
    return takeValue(0);
}

bool DocumentBounds::number_integer(number_integer_t /*value*/)
{
    return takeValue(0);
}

bool DocumentBounds::number_unsigned(number_unsigned_t /*value*/)
{
    return takeValue(0);
}

bool DocumentBounds::number_float(number_float_t /*value*/, const string_t& /*text*/)
{
    return takeValue(0);
}

bool DocumentBounds::string(string_t& value)
{
    return takeValue(kTextBytes + value.size());
}

bool DocumentBounds::binary(binary_t& value)
{
    return takeValue(kTextBytes + value.size());
}

bool DocumentBounds::key(string_t& value)
{
    m_followsKey = true;
    return take(kMemberBytes + value.size());
}

bool DocumentBounds::start_object(std::size_t elements)
{
    return enter(elements);
}

bool DocumentBounds::end_object()
{
    return leave();
}

bool DocumentBounds::start_array(std::size_t elements)
{
    return enter(elements);
}

bool DocumentBounds::end_array()
{
    return leave();
}

bool DocumentBounds::parse_error(std::size_t /*position*/, const std::string& /*token*/, const nlohmann::detail::exception& error)
{
    return stop(std::string(error.what()).substr(0, kMaxFaultBytes));
}

bool DocumentBounds::take(std::size_t bytes)
{
    if (bytes > m_bytesLeft)
        return stop("a document of " + std::to_string(m_encodedBytes) + " octets would take too much memory");
    m_bytesLeft -= bytes;
    return true;
}

bool DocumentBounds::takeValue(std::size_t contentBytes)
{
    return take(contentBytes + (std::exchange(m_followsKey, false) ? 0 : kValueBytes));
}

bool DocumentBounds::enter(std::size_t elements)
{
    if (++m_depth > m_maxDepth)
        return stop("nested deeper than " + std::to_string(m_maxDepth) + " levels");
    if (elements > m_encodedBytes && elements != kUnknownLength)
        return stop("more elements than octets");
    return takeValue(kContainerBytes);
}

bool DocumentBounds::leave()
{
    --m_depth;
    return true;
}

bool DocumentBounds::stop(std::string fault)
{
    m_fault = std::move(fault);
    return false;
}

} // namespace hornbeamgate::internal
