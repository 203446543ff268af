#include "hornbeamgate/runtime/http/http_fetch.hpp"

namespace hornbeamgate {

HttpFetch::HttpFetch(std::size_t maxBytes, Done done)
    : m_maxBytes(maxBytes)
    , m_done(std::move(done))
    , m_timer([this] { end(failure(HttpError { HttpErrorKind::DeadlinePassed, "no answer before the deadline" })); })
{
}

std::unique_ptr<HttpFetch> HttpFetch::start(HttpClient& client, const HttpRequest& request, std::size_t maxBytes, MonotonicTime deadline, Done done)
{
    std::unique_ptr<HttpFetch> fetch(new HttpFetch(maxBytes, std::move(done)));
    fetch->m_call = client.start(request, *fetch);
    fetch->m_timer.set(deadline);
    return fetch;
}

void HttpFetch::responseStarted(const HttpResponseHead& head)
{
    m_answer.status = head.status();
    m_answer.contentType = head.header("Content-Type");
    m_answer.retryAfter = head.header("Retry-After");
}

void HttpFetch::dataReceived(std::string_view data)
{
    if (m_answer.body.size() + data.size() > m_maxBytes) {
        end(failure(HttpError { HttpErrorKind::TooLarge, "the answer is too large" }));
        return;
    }
    m_answer.body += data;
}

void HttpFetch::responseCompleted()
{
    end(std::move(m_answer));
}

void HttpFetch::callFailed(const HttpError& error)
{
    end(failure(error));
}

void HttpFetch::end(Result<HttpResponse, HttpError> result)
{
    m_timer.clear();
    m_call.reset();
    // The callback may destroy this object, so it must come last.
    if (auto done = std::exchange(m_done, {}))
        done(std::move(result));
}

} // namespace hornbeamgate
