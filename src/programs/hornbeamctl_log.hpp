#pragma once

#include "hornbeamgate/config/config_publisher.hpp"
#include "hornbeamgate/runtime/http/http_requester.hpp"
#include "hornbeamgate/runtime/platform_log_client.hpp"

#include <string>

namespace hornbeamgate::ctl {

/// Reads the stream to its end and returns the accepted configuration. Fails with a text at `deadline`.
Result<AcceptedConfig, std::string> readAcceptedConfig(const SocketAddress& log, MonotonicTime deadline);

/// Publishes and waits for the outcome, at the latest until the request's deadline.
PublishOutcome publish(const SocketAddress& log, PublishRequest request);

/// State dump of the daemon with the admin address `address`. Fails with a text.
Result<std::string, std::string> fetchDump(const SocketAddress& address, MonotonicTime deadline);

} // namespace hornbeamgate::ctl
