#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"
#include "hornbeamgate/runtime/http/http_requester.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeamgate {

enum class HostRole { Entry,
    Agent };

enum class HostState { Live,
    Leaving };

/// Host as the platform's list shows it. The list lags, so a live host may be gone and a new one missing.
struct ListedHost {
    HostId host;
    SocketAddress link; ///< where the host's process takes connections of other processes
    DataCenterId dataCenter;
    RegionId region;
    HostRole role = HostRole::Entry;
    HostState state = HostState::Live;

    bool operator==(const ListedHost&) const = default;
};

/// The whole list as it was read last.
struct HostListRead {
    std::vector<ListedHost> hosts;
};

/// The list could not be read; the one read before stays the best knowledge.
struct HostListUnreachable {
    std::string detail;
};

using HostListEvent = std::variant<HostListRead, HostListUnreachable>;

/// Decodes the body of the answer to `GET /hosts`. One malformed host makes the whole list invalid, because a list
/// without it would look as if the host had left.
Result<std::vector<ListedHost>, std::string> parseHostList(std::string_view body);

/// Time between two reads of the list, and the longest wait for one.
struct HostListOptions {
    SocketAddress address;
    Duration interval = std::chrono::seconds(2);
    Duration readTimeout = std::chrono::seconds(2);
};

/// Reads the host list over and over and reports the outcome of each read.
class HostListClient {
public:
    using Observer = std::function<void(const HostListEvent&)>;

    /// The first read begins at once.
    HostListClient(HostListOptions options, Observer observer);
    HostListClient(const HostListClient&) = delete;
    HostListClient& operator=(const HostListClient&) = delete;

private:
    void read();
    void report(const Result<HttpResponse, HttpError>& answer);

    HostListOptions m_options;
    Observer m_observer;
    Timer m_nextRead;
    HttpRequester m_http;
};

} // namespace hornbeamgate
