#include "platform/log_store.hpp"

#include <algorithm>

namespace hornbeamgate::standins {

LogStore::LogStore(LogLimits limits)
    : m_limits(limits)
    , m_appendRate(limits.appendsPerSecond, limits.appendBurst)
{
}

std::optional<std::uint64_t> LogStore::append(const std::string& stream, std::string data, MonotonicTime now)
{
    if (!m_appendRate.take(now))
        return std::nullopt;
    Stream& target = m_streams[stream];
    const std::uint64_t offset = target.next++;
    target.records.push_back({ offset, now + m_limits.keptFor, std::move(data) });
    trim(target, now);
    return offset;
}

LogSlice LogStore::read(const std::string& stream, std::uint64_t from, std::size_t max, MonotonicTime now)
{
    Stream& source = m_streams[stream];
    trim(source, now);
    LogSlice slice;
    slice.next = source.next;
    slice.first = source.next - source.records.size();
    slice.trimmed = from < slice.first;
    if (slice.trimmed)
        return slice;
    for (std::uint64_t offset = from; offset < slice.next && slice.records.size() < max; ++offset)
        slice.records.push_back(source.records[offset - slice.first]);
    return slice;
}

void LogStore::returnFromCopy(std::uint64_t lost)
{
    ++m_era;
    for (auto& [name, stream] : m_streams) {
        const auto count = std::min<std::uint64_t>(lost, stream.records.size());
        stream.records.resize(stream.records.size() - count);
        stream.next -= count;
    }
}

void LogStore::trim(Stream& stream, MonotonicTime now) const
{
    while (!stream.records.empty()
        && (stream.records.size() > m_limits.keptRecords || stream.records.front().expiresAt <= now))
        stream.records.pop_front();
}

} // namespace hornbeamgate::standins
