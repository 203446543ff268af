#include "hornbeamgate/routing/digest_writer.hpp"

#include <array>

namespace hornbeamgate {

DigestWriter::DigestWriter(DigestOptions options)
    : m_options(options)
{
}

PrefixDigest DigestWriter::next(const EndpointId& endpoint, const EngineIndex& index, MonotonicTime now)
{
    if (index.incarnation() != m_incarnation)
        m_repeatAt.clear();
    m_incarnation = index.incarnation();
    PrefixDigest digest { endpoint, m_incarnation, {}, {} };
    for (auto announced = m_repeatAt.begin(); announced != m_repeatAt.end();) {
        const bool cached = index.leadingBlocks(std::array { announced->first }) == 1;
        if (cached || digest.evicted.size() >= m_options.maxEntries) {
            ++announced;
            continue;
        }
        digest.evicted.push_back(announced->first);
        announced = m_repeatAt.erase(announced);
    }
    for (const auto& prefix : index.digest(m_options.maxAnnounced, now)) {
        if (digest.prefixes.size() + digest.evicted.size() >= m_options.maxEntries)
            break;
        const auto known = m_repeatAt.find(prefix.block);
        if (known != m_repeatAt.end() && known->second > now)
            continue;
        m_repeatAt[prefix.block] = now + m_options.refreshAfter;
        digest.prefixes.push_back(prefix);
    }
    return digest;
}

} // namespace hornbeamgate
