#pragma once

#include "hornbeamgate/runtime/agent/agent_context.hpp"
#include "hornbeamgate/runtime/agent/booking_task.hpp"
#include "hornbeamgate/runtime/agent/run_stream.hpp"
#include "hornbeamgate/runtime/http/http_fetch.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <vector>

namespace hornbeamgate {

/// Time limits of service calls. Callers wait longer than a call takes, so that they usually receive its outcome.
struct ServiceTimeouts {
    Duration call = std::chrono::seconds(20); ///< for the service's response
    Duration booking = std::chrono::seconds(25); ///< for the answer to the caller of a booking
};

/// Forwards calls to the local HTTP service. Non-idempotent calls with an idempotency key are deduplicated by the booking
/// partitions; all other calls are sent to the service once.
class ServiceDispatcher : public RunDispatcher {
public:
    static Result<std::unique_ptr<ServiceDispatcher>, std::string> create(const AgentContext& context, WriterId writer, const ServiceTimeouts& timeouts = {});
    ~ServiceDispatcher() override;

    void add(std::unique_ptr<LinkStream> stream);
    void startLeaving() { m_leaving = true; }
    /// Returns the number of calls that are unanswered or running, including those whose entry daemon has disconnected.
    std::size_t activeRuns() const { return m_calls.size(); }
    nlohmann::json dump() const;

private:
    struct Call;
    using Calls = std::map<RequestId, std::unique_ptr<Call>>;

    ServiceDispatcher(const AgentContext& context, const ServiceTimeouts& timeouts);

    Result<void, std::string> createPartitions(WriterId writer);
    void handleOrder(RunStream& stream, const RunOrder& order) override;
    void streamDrained(RunStream& stream) override;
    void streamCancelled(RunStream& stream) override;
    void streamLost(RunStream& stream) override;
    void streamDone(RunStream& stream) override;

    std::optional<RunFailed> findRefusal(const RunOrder& order) const;
    void startBooking(Call& call);
    void callOnce(Call& call);
    void callForBooking(std::size_t partition, const CallService& action);
    void handleBookingResult(std::size_t partition, RequestId request, std::uint64_t attempt, const Result<HttpResponse, HttpError>& result);
    void replyToBooking(const BookingReply& action);
    void answer(RequestId request, const RunMessage& message);
    Calls::iterator find(const RunStream& stream);
    /// Removes the call, unless it runs a booking: then only its stream, and the call when its outcome is known.
    void remove(Calls::iterator call);
    void releaseStream(Call& call);

    AgentContext m_context;
    ServiceTimeouts m_timeouts;
    PlatformLogClient m_log;
    std::vector<std::unique_ptr<BookingTask>> m_partitions;
    Calls m_calls;
    RequestId m_lastCall;
    bool m_leaving = false;
};

} // namespace hornbeamgate
