#pragma once

#include "hornbeamgate/runtime/agent/agent_context.hpp"
#include "hornbeamgate/streams/engine_stream.hpp"
#include "hornbeamgate/streams/run_order.hpp"

#include <functional>
#include <memory>

namespace hornbeamgate {

/// Receives the messages that a run sends to the entry daemon.
class RunSink {
public:
    virtual ~RunSink() = default;
    virtual void sendMessage(const RunMessage& message) = 0;
};

/// Performs the I/O of one EngineStream: issues its HTTP calls, forwards their events and manages its timer.
class EngineRun : private HttpCallObserver {
public:
    /// `order` must outlive the run.
    EngineRun(const AgentContext& context, const RunOrder& order, Incarnation engine, RunSink& sink);

    void start();
    /// Cancels the run at the engine.
    void cancel();
    /// Stops reading the engine's response until `resumeReading` is called.
    void pauseReading();
    void resumeReading();

private:
    void perform(const std::vector<EngineStreamAction>& actions);
    void perform(const StartRun& action);
    void perform(const ResumeRun& action);
    void perform(const CancelRun& action);
    void perform(const SendRunMessage& action);
    void feed(const EngineStreamEvent& event);
    void call(EngineCallNumber number, const HttpRequest& request);

    void responseStarted(const HttpResponseHead& head) override;
    void dataReceived(std::string_view data) override;
    void responseCompleted() override;
    void callFailed(const HttpError& error) override;

    const AgentContext* m_context;
    const RunOrder* m_order;
    RunSink* m_sink;
    EngineStream m_stream;
    EngineCallNumber m_callNumber;
    SseParser m_reader;
    bool m_streaming = false; ///< the response succeeded, so its body is a server-sent event stream
    bool m_paused = false;
    Liveness m_liveness;
    std::unique_ptr<HttpCall> m_call;
    Timer m_timer;
};

/// Asks the engine to cancel a run; the response is ignored.
void cancelAtEngine(const AgentContext& context, const RunId& run);

} // namespace hornbeamgate
