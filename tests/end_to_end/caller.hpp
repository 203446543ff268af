#pragma once

#include "end_to_end/child_process.hpp"
#include "hornbeamgate/runtime/http/http_requester.hpp"
#include "stream_check.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace hornbeamgate::testing {

/// Sends a request and waits for the whole answer.
Result<HttpResponse, HttpError> call(const HttpRequest& request);

/// Sends a request whose answer must come, and must be JSON.
nlohmann::json callForJson(const HttpRequest& request);

/// Asks the stand-in at `address` for `fault`.
void askForFault(const SocketAddress& address, const std::string& fault);

/// Prompt, model and length of a streamed completion as tests send it.
standins::CompletionRequest completion(const std::string& prompt, std::uint64_t maxTokens);
HttpRequest completionRequest(const SocketAddress& address, const std::string& key, const standins::CompletionRequest& completion);

/// Streamed answer on its way, checked event by event.
class StreamedAnswer : private HttpCallObserver {
public:
    StreamedAnswer(const HttpRequest& request, const standins::CompletionRequest& completion);
    ~StreamedAnswer() override = default;

    bool ended() const { return m_ended; }
    bool began() const { return m_events > 0; }
    std::size_t events() const { return m_events; }
    unsigned status() const { return m_status; }
    loadgen::StreamVerdict verdict() const { return m_check.verdict(); }

    /// Waits for the end of the answer.
    loadgen::StreamVerdict wait();

    /// What arrived, for messages of failed checks.
    const std::string& body() const { return m_body; }

private:
    void responseStarted(const HttpResponseHead& head) override;
    void dataReceived(std::string_view data) override;
    void responseCompleted() override { m_ended = true; }
    void callFailed(const HttpError&) override { m_ended = true; }

    loadgen::StreamCheck m_check;
    HttpClient m_client;
    unsigned m_status = 0;
    std::size_t m_events = 0;
    std::string m_body;
    bool m_ended = false;
    std::unique_ptr<HttpCall> m_call;
};

} // namespace hornbeamgate::testing
