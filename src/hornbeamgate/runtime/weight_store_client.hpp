#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/runtime/http/http_requester.hpp"

#include <functional>
#include <optional>
#include <string>

namespace hornbeamgate {

enum class WeightStoreErrorKind {
    Missing, ///< the store does not have this version
    RateLimited, ///< too many reads; see `retryAt`
    Unreachable,
};

struct WeightStoreError {
    WeightStoreErrorKind kind = WeightStoreErrorKind::Unreachable;
    std::optional<MonotonicTime> retryAt; ///< set when the store named a time
    std::string detail;
};

/// Asks the platform's weight store whether the weights of a model version are there.
class WeightStoreClient {
public:
    using Reply = std::function<void(Result<void, WeightStoreError>)>;

    explicit WeightStoreClient(SocketAddress address);

    /// Calls `reply` once, at the latest at `deadline`.
    void check(const ModelId& model, WeightsVersion version, MonotonicTime deadline, Reply reply);

private:
    SocketAddress m_address;
    HttpRequester m_http;
};

} // namespace hornbeamgate
