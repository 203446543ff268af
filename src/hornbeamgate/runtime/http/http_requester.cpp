#include "hornbeamgate/runtime/http/http_requester.hpp"

namespace hornbeamgate {

namespace {

    constexpr std::size_t kMaxResponseBytes = std::size_t { 64 } * 1024 * 1024;

} // namespace

void HttpRequester::send(const HttpRequest& request, MonotonicTime deadline, Reply reply)
{
    const auto id = ++m_lastFetch;
    m_fetches[id] = HttpFetch::start(m_client, request, kMaxResponseBytes, deadline,
        [this, id, reply = std::move(reply)](Result<HttpResponse, HttpError> result) {
            // The fetch must outlive this callback although `reply` may destroy this object, so its destruction is posted.
            post([fetch = std::shared_ptr<HttpFetch>(std::move(m_fetches[id]))] {});
            m_fetches.erase(id);
            reply(std::move(result));
        });
}

} // namespace hornbeamgate
