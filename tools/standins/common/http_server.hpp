#pragma once

#include "hornbeamgate/base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamgate::standins {

/// One HTTP request and the answer to it, which may be given later or in pieces.
/// An exchange destroyed without an answer answers 500.
class Exchange {
public:
    struct Impl;

    explicit Exchange(std::unique_ptr<Impl>);
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    ~Exchange();

    std::string method() const;
    std::string path() const;
    std::string body() const;
    std::optional<std::string> header(const char* name) const;
    std::optional<std::string> queryValue(const char* name) const;

    /// Value of the query parameter `name` as a number; `fallback` when it is missing or no number.
    std::uint64_t queryNumber(const char* name, std::uint64_t fallback) const;

    /// Adds a header to the answer; must precede answer() or startStream().
    void setHeader(const char* name, const std::string& value);

    void answer(unsigned status, const nlohmann::json& body);
    void answer(unsigned status, const std::string& contentType, std::string_view body);

    /// Answers with the service's usual error shape: `{"error":{"code":..,"message":..}}`.
    void answerError(unsigned status, const std::string& code, const std::string& message);

    void startStream(const std::string& contentType);
    void write(std::string_view piece);
    void finishStream();

    /// Closes the connection without the rest of the answer.
    void drop();

    /// Keeps the connection open and never sends anything more on it.
    void fallSilent();

    /// From now on answer() closes the connection in place of answering.
    void loseAnswer();

    /// Whether the answer was sent whole or its connection is gone.
    bool finished() const;

private:
    std::unique_ptr<Impl> m_impl;
};

using ExchangePtr = std::unique_ptr<Exchange>;

/// HTTP server on loopback that hands every request to one handler on the main loop. It answers `GET /seen` itself with
/// `{"requests":N,"with_authorization":M}`, so that a test can tell whether a caller's key came through.
class HttpServer {
public:
    using Handler = std::function<void(ExchangePtr)>;
    struct Impl;

    /// Listens on 127.0.0.1:`port`; the kernel chooses the port when it is 0.
    static Result<HttpServer, std::string> create(std::uint16_t port, Handler handler);

    HttpServer(HttpServer&&) noexcept;
    HttpServer& operator=(HttpServer&&) noexcept;
    ~HttpServer();

    std::uint16_t port() const;

private:
    explicit HttpServer(std::unique_ptr<Impl>);

    std::unique_ptr<Impl> m_impl;
};

} // namespace hornbeamgate::standins
