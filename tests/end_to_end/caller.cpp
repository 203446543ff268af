#include "end_to_end/caller.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace hornbeamgate::testing {

namespace {

    constexpr std::uint64_t kWeights = 1;
    constexpr unsigned kOk = 200;

} // namespace

Result<HttpResponse, HttpError> call(const HttpRequest& request)
{
    HttpRequester requester;
    std::optional<Result<HttpResponse, HttpError>> answer;
    requester.send(request, MonotonicClock::now() + kHangLimit, [&](auto result) { answer = std::move(result); });
    REQUIRE(waitFor([&] { return answer.has_value(); }));
    return *answer;
}

nlohmann::json callForJson(const HttpRequest& request)
{
    const auto answer = call(request);
    REQUIRE_MESSAGE(answer, request.target);
    auto json = nlohmann::json::parse(answer->body, nullptr, false);
    REQUIRE_MESSAGE(!json.is_discarded(), answer->body);
    return json;
}

void askForFault(const SocketAddress& address, const std::string& fault)
{
    HttpRequest request { "POST", address, "/faults", "application/json", fault };
    const auto answer = call(request);
    REQUIRE(answer);
    REQUIRE_MESSAGE(answer->status == kOk, answer->body);
}

standins::CompletionRequest completion(const std::string& prompt, std::uint64_t maxTokens)
{
    standins::CompletionRequest request;
    request.model = "karst";
    request.prompt = prompt;
    request.maxTokens = maxTokens;
    request.stream = true;
    return request;
}

HttpRequest completionRequest(const SocketAddress& address, const std::string& key, const standins::CompletionRequest& completion)
{
    const nlohmann::json body { { "model", completion.model }, { "prompt", completion.prompt },
        { "max_tokens", completion.maxTokens }, { "stream", completion.stream } };
    HttpRequest request { "POST", address, "/v1/completions", "application/json", body.dump() };
    if (!key.empty())
        request.headers.push_back({ "Authorization", "Bearer " + key });
    return request;
}

StreamedAnswer::StreamedAnswer(const HttpRequest& request, const standins::CompletionRequest& completion)
    : m_check({ completion, kWeights })
{
    m_call = m_client.start(request, *this);
}

loadgen::StreamVerdict StreamedAnswer::wait()
{
    REQUIRE_MESSAGE(waitFor([&] { return m_ended; }), m_body);
    return m_check.verdict();
}

void StreamedAnswer::responseStarted(const HttpResponseHead& head)
{
    m_status = head.status();
}

void StreamedAnswer::dataReceived(std::string_view data)
{
    m_body += data;
    if (m_status == kOk)
        m_events += m_check.feed(data);
}

} // namespace hornbeamgate::testing
