#include "hornbeamgate/keys/keyed_streams.hpp"

#include <algorithm>

namespace hornbeamgate {

void KeyedStreams::start(RequestId request, const KeyId& key)
{
    end(request);
    m_keys.emplace(request, key);
    m_requests[key].insert(request);
}

void KeyedStreams::end(RequestId request)
{
    const auto key = m_keys.find(request);
    if (key == m_keys.end())
        return;
    const auto requests = m_requests.find(key->second);
    requests->second.erase(request);
    if (requests->second.empty())
        m_requests.erase(requests);
    m_keys.erase(key);
}

std::vector<RequestId> KeyedStreams::cut(const std::vector<KeyId>& withdrawn)
{
    std::vector<RequestId> cut;
    for (const auto& key : withdrawn) {
        const auto requests = m_requests.extract(key);
        if (requests.empty())
            continue;
        cut.insert(cut.end(), requests.mapped().begin(), requests.mapped().end());
    }
    for (const auto& request : cut)
        m_keys.erase(request);
    std::sort(cut.begin(), cut.end());
    return cut;
}

std::vector<RequestId> KeyedStreams::cutAll()
{
    std::vector<KeyId> keys;
    for (const auto& [key, requests] : m_requests)
        keys.push_back(key);
    return cut(keys);
}

} // namespace hornbeamgate
