#include "engine/reader.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate::standins {

Reader::Reader(ExchangePtr exchange, std::string runId, bool stream, std::uint64_t from, std::optional<Fault> fault)
    : m_exchange(std::move(exchange))
    , m_runId(std::move(runId))
    , m_stream(stream)
    , m_next(from)
    , m_fault(std::move(fault))
{
}

bool Reader::ended() const
{
    return m_ended || m_exchange->finished();
}

void Reader::send(const Run& run)
{
    if (ended() || run.state == RunState::Queued)
        return;
    if (!m_begun)
        begin(run);
    if (!m_stream) {
        sendWhole(run);
        return;
    }
    while (m_next < run.producedEvents) {
        if (applyConnectionFault())
            return;
        const bool swapped = due(FaultKind::Late) && m_next + 1 < run.answer.eventCount();
        if (swapped && m_next + 1 >= run.producedEvents)
            return;
        if (swapped) {
            sendEvent(run, m_next + 1);
            m_fault.reset();
            sendEvent(run, m_next);
            m_next += 2;
            continue;
        }
        sendEvent(run, m_next++);
    }
    if (run.state != RunState::Finished)
        return;
    m_exchange->finishStream();
    m_ended = true;
}

void Reader::abandon()
{
    if (!ended())
        m_exchange->drop();
    m_ended = true;
}

std::optional<Fault> Reader::takeDueFault()
{
    if (!due(FaultKind::Crash) && !due(FaultKind::Stall))
        return std::nullopt;
    auto fault = m_fault;
    m_fault.reset();
    return fault;
}

void Reader::begin(const Run& run)
{
    m_begun = true;
    m_exchange->setHeader("X-Request-Id", run.id);
    m_exchange->setHeader("X-Cached-Blocks", std::to_string(run.cachedBlocks));
    m_exchange->setHeader("X-Weights-Version", std::to_string(run.weightsVersion));
    if (m_stream)
        m_exchange->startStream("text/event-stream");
}

void Reader::sendWhole(const Run& run)
{
    if (run.state != RunState::Finished)
        return;
    m_exchange->answer(200, run.answer.whole());
    m_ended = true;
}

void Reader::sendEvent(const Run& run, std::uint64_t index)
{
    const std::string event = run.answer.event(index);
    m_exchange->write(event);
    if (due(FaultKind::Duplicate))
        m_exchange->write(event);
    ++m_sent;
}

bool Reader::applyConnectionFault()
{
    if (due(FaultKind::Drop))
        m_exchange->drop();
    else if (due(FaultKind::Silent))
        m_exchange->fallSilent();
    else
        return false;
    m_ended = true;
    return true;
}

bool Reader::due(FaultKind kind) const
{
    return m_fault && m_fault->kind == kind && m_sent >= m_fault->afterEvents;
}

} // namespace hornbeamgate::standins
