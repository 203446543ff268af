#include "hornbeamgate/gateway/directory_replica.hpp"

#include <algorithm>
#include <set>

namespace hornbeamgate::gateway {

std::string_view topicName(DirectoryTopic topic)
{
    constexpr std::array<std::string_view, kDirectoryTopics> kNames { "operators", "endpoints", "daemons", "status" };
    return kNames[static_cast<std::size_t>(topic)];
}

bool DirectoryReplica::isNewer(DirectoryTopic topic, const DirectoryRecord& record) const
{
    const auto& known = m_topics[static_cast<std::size_t>(topic)];
    const auto found = known.find(record.key);
    return found == known.end() || record.offset > found->second.offset;
}

bool DirectoryReplica::isRestated(DirectoryTopic topic, const DirectoryRecord& record) const
{
    const auto& known = m_topics[static_cast<std::size_t>(topic)];
    const auto found = known.find(record.key);
    return found != known.end() && eraOf(found->second.offset) < eraOf(record.offset) && found->second.value == record.value;
}

bool DirectoryReplica::apply(DirectoryTopic topic, const DirectoryRecord& record)
{
    if (!isNewer(topic, record))
        return false;
    const auto index = static_cast<std::size_t>(topic);
    m_topics[index].insert_or_assign(record.key, Known { record.offset, record.value });
    m_ends[index] = std::max(m_ends[index], record.offset.next());
    return true;
}

void DirectoryReplica::keepAt(DirectoryTopic topic, const std::string& key, LogOffset offset)
{
    const auto index = static_cast<std::size_t>(topic);
    m_topics[index][key].offset = offset;
    m_ends[index] = std::max(m_ends[index], offset.next());
}

std::vector<DirectoryRecord> DirectoryReplica::findWithdrawn(DirectoryTopic topic, const std::vector<DirectoryRecord>& listing, LogOffset end) const
{
    std::set<std::string> listed;
    for (const auto& record : listing)
        listed.insert(record.key);
    std::vector<DirectoryRecord> missing;
    for (const auto& [key, known] : m_topics[static_cast<std::size_t>(topic)]) {
        if (!known.value || known.offset >= end || listed.contains(key))
            continue;
        // Other daemons ask for records from their own end, which may lie behind the record's offset in its era.
        const bool isOfEarlierEra = eraOf(known.offset) < eraOf(end);
        missing.push_back({ key, std::nullopt, isOfEarlierEra ? lastBefore(eraOf(end)) : known.offset.next() });
    }
    return missing;
}

std::vector<DirectoryRecord> DirectoryReplica::recordsFrom(DirectoryTopic topic, LogOffset from) const
{
    std::vector<std::pair<std::string_view, const Known*>> found;
    for (const auto& [key, known] : m_topics[static_cast<std::size_t>(topic)]) {
        if (known.offset >= from)
            found.emplace_back(key, &known);
    }
    std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) { return left.second->offset < right.second->offset; });
    std::vector<DirectoryRecord> records;
    std::size_t bytes = 0;
    for (const auto& [key, known] : found) {
        bytes += key.size() + (known->value ? known->value->size() : 0);
        // Several withdrawals may have one offset.
        if (bytes > kMaxReturnedBytes && !records.empty() && records.back().offset < known->offset)
            break;
        records.push_back({ std::string(key), known->value, known->offset });
    }
    return records;
}

bool ReplicaLag::isBehind(LogOffset ownEnd, LogOffset peerEnd, MonotonicTime now)
{
    m_newestEnd = std::max(m_newestEnd, peerEnd);
    if (ownEnd >= m_newestEnd) {
        m_behindSince.reset();
        return false;
    }
    if (!m_behindSince)
        m_behindSince = now;
    return ownEnd < peerEnd && now >= *m_behindSince + kGrace;
}

} // namespace hornbeamgate::gateway
