#pragma once

#include "hornbeamgate/runtime/http/http_requester.hpp"
#include "platform/platform_server.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <optional>

namespace hornbeamgate::testing {

/// Platform stand-in that runs in the main loop of the test.
struct Platform {
    explicit Platform(const standins::PlatformOptions& options = {})
        : platform(options)
    {
        auto listening = standins::HttpServer::create(0, [this](standins::ExchangePtr exchange) { platform.serve(std::move(exchange)); });
        REQUIRE(listening);
        server.emplace(std::move(*listening));
    }

    SocketAddress address() const { return { "127.0.0.1", server->port() }; }

    standins::PlatformServer platform;
    std::optional<standins::HttpServer> server;
};

constexpr std::chrono::seconds kDefaultTimeout { 10 };
constexpr std::chrono::milliseconds kSilentFaultTimeout { 100 };

inline MonotonicTime defaultDeadline()
{
    return MonotonicClock::now() + kDefaultTimeout;
}

/// Short for the fault `silent`, since only a server that does not respond makes the test wait for the whole timeout.
inline Duration timeoutForFault(std::string_view fault)
{
    return fault.find("silent") == std::string_view::npos ? Duration(kDefaultTimeout) : Duration(kSilentFaultTimeout);
}

inline Result<HttpResponse, HttpError> sendRequest(const HttpRequest& request, MonotonicTime deadline)
{
    HttpRequester client;
    std::optional<Result<HttpResponse, HttpError>> answer;
    client.send(request, deadline, [&](auto result) { answer = std::move(result); });
    REQUIRE(runUntil([&] { return answer.has_value(); }));
    return *answer;
}

inline void injectFault(const SocketAddress& address, const std::string& fault)
{
    const auto answer = sendRequest({ "POST", address, "/faults", "application/json", fault }, defaultDeadline());
    REQUIRE(answer);
    REQUIRE(answer->status == 200);
}

/// Address on which no server listens.
inline SocketAddress unusedAddress()
{
    const auto server = standins::HttpServer::create(0, [](const auto&) {});
    return { "127.0.0.1", server->port() };
}

} // namespace hornbeamgate::testing
