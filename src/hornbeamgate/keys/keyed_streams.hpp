#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hornbeamgate {

/// Tracks the running streams of each key so that they can be cut when the key is withdrawn.
class KeyedStreams {
public:
    void start(RequestId request, const KeyId& key);
    void end(RequestId request);

    /// Removes and returns the streams of the withdrawn keys, oldest request first.
    std::vector<RequestId> cut(const std::vector<KeyId>& withdrawn);

    /// Removes and returns all streams, oldest request first. Used when the keys can no longer be trusted.
    std::vector<RequestId> cutAll();

    std::size_t size() const { return m_keys.size(); }

private:
    std::unordered_map<RequestId, KeyId> m_keys;
    std::unordered_map<KeyId, std::unordered_set<RequestId>> m_requests;
};

} // namespace hornbeamgate
