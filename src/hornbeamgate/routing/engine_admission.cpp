#include "hornbeamgate/routing/engine_admission.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

Result<EngineAdmission, std::string> EngineAdmission::create(const EngineAdmissionOptions& options)
{
    if (options.maxPrefills == 0 || options.costs.decodeSlots == 0)
        return failure(std::string("the engine must accept at least one request"));
    auto queue = FairQueue::create(options.queue);
    if (!queue)
        return failure(std::move(queue.error().detail));
    auto index = EngineIndex::create(options.index);
    if (!index)
        return failure(std::move(index.error().detail));
    return EngineAdmission(options, *std::move(queue), *std::move(index));
}

EngineAdmission::EngineAdmission(const EngineAdmissionOptions& options, FairQueue queue, EngineIndex index)
    : m_options(options)
    , m_queue(std::move(queue))
    , m_index(std::move(index))
{
}

std::vector<QueueTicket> EngineAdmission::handle(const EngineIdentified& event, MonotonicTime now)
{
    m_index.handle(event);
    std::vector<QueueTicket> ended;
    if (event.incarnation == m_incarnation)
        return ended;
    m_incarnation = event.incarnation;
    for (const auto& [ticket, waiting] : m_waiting)
        ended.push_back(ticket);
    for (const auto ticket : ended)
        m_queue.remove(ticket);
    m_waiting.clear();
    m_running.clear();
    m_expectedBlocks.clear();
    m_freeAt = now;
    return ended;
}

Result<Admitted, AdmissionRefused> EngineAdmission::admit(const AdmissionRequest& request, MonotonicTime now)
{
    const auto hits = expectedHits(request.blocks);
    const auto refuse = [&](AdmissionRefusalReason reason) {
        return failure(AdmissionRefused { reason, load(now).queuedWork, hits });
    };
    if (!m_index.check(request.expectation))
        return refuse(AdmissionRefusalReason::Mismatch);
    if (request.weight == 0 || m_waiting.contains(request.ticket) || m_running.contains(request.ticket))
        return refuse(AdmissionRefusalReason::Invalid);
    const auto work = prefillTime(request.promptBytes, hits);
    const auto freeAt = engineFreeAt(now);
    const auto firstToken = freeAt + m_queue.costAhead(request.workspace, request.priority) + work;
    if (firstToken > std::min(request.acceptBefore, request.firstTokenDeadline))
        return refuse(AdmissionRefusalReason::TooLate);
    const FairQueueItem item { request.ticket, request.workspace, request.weight, request.priority, work,
        request.firstTokenDeadline - work };
    auto pushed = m_queue.push(item, freeAt, now);
    if (!pushed)
        return refuse(AdmissionRefusalReason::QueueFull);
    for (const auto displaced : pushed->displaced)
        dropWaiting(displaced);
    m_waiting.emplace(request.ticket, Waiting { request.blocks, request.promptBytes });
    addExpectedBlocks(request.blocks);
    return Admitted { hits, firstToken, std::move(pushed->displaced) };
}

std::optional<StartedRequest> EngineAdmission::startNext(MonotonicTime now)
{
    if (prefills() >= m_options.maxPrefills || m_running.size() >= m_options.costs.decodeSlots)
        return std::nullopt;
    const auto next = m_queue.pop(now);
    if (!next)
        return std::nullopt;
    auto waiting = std::move(m_waiting.extract(next->ticket).mapped());
    releaseExpectedBlocks(waiting.blocks);
    const auto hits = expectedHits(waiting.blocks);
    const auto work = prefillTime(waiting.promptBytes, hits);
    m_index.recordRequest(waiting.blocks, now);
    addExpectedBlocks(waiting.blocks);
    m_freeAt = std::max(m_freeAt, now) + work;
    m_running.emplace(next->ticket, Running { std::move(waiting.blocks), work, false });
    return StartedRequest { next->ticket, hits };
}

void EngineAdmission::firstTokenSeen(QueueTicket ticket, MonotonicTime now)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end() || found->second.answered)
        return;
    found->second.answered = true;
    releaseExpectedBlocks(found->second.blocks);
    m_index.storeComputed(found->second.blocks);
    found->second.blocks = {};
    if (prefills() == 0)
        m_freeAt = now;
}

void EngineAdmission::finished(QueueTicket ticket, MonotonicTime now)
{
    if (m_queue.remove(ticket)) {
        dropWaiting(ticket);
        return;
    }
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    if (!found->second.answered)
        releaseExpectedBlocks(found->second.blocks);
    m_running.erase(found);
    if (prefills() == 0)
        m_freeAt = now;
}

std::vector<QueueTicket> EngineAdmission::removeExpired(MonotonicTime now)
{
    std::vector<QueueTicket> expired;
    for (const auto& item : m_queue.removeExpired(now)) {
        dropWaiting(item.ticket);
        expired.push_back(item.ticket);
    }
    return expired;
}

EngineLoad EngineAdmission::load(MonotonicTime now) const
{
    return { static_cast<std::uint32_t>(m_running.size()), engineFreeAt(now) - now + m_queue.queuedCost() };
}

nlohmann::json EngineAdmission::dump(MonotonicTime now) const
{
    const auto queued = std::chrono::duration<double, std::milli>(load(now).queuedWork);
    return { { "running", m_running.size() }, { "prefills", prefills() }, { "queued_ms", queued.count() },
        { "queue", m_queue.dump() }, { "index", m_index.dump() } };
}

std::uint32_t EngineAdmission::expectedHits(const std::vector<BlockHash>& blocks) const
{
    auto known = m_index.leadingBlocks(blocks);
    while (known < blocks.size() && m_expectedBlocks.contains(blocks[known]))
        ++known;
    return known;
}

Duration EngineAdmission::prefillTime(std::size_t promptBytes, std::uint32_t hitBlocks) const
{
    const std::size_t hitBytes = hitBlocks * kBytesPerBlock;
    const auto missedBytes = static_cast<double>(promptBytes - std::min(promptBytes, hitBytes));
    const auto recompute = m_options.costs.prefillPerBlock * (missedBytes / static_cast<double>(kBytesPerBlock));
    return m_options.costs.firstTokenOverhead + std::chrono::duration_cast<Duration>(recompute);
}

Duration EngineAdmission::decodeSlotWait() const
{
    const std::uint32_t slots = m_options.costs.decodeSlots;
    return m_running.size() < slots ? Duration::zero() : m_options.costs.slotTurnover;
}

MonotonicTime EngineAdmission::engineFreeAt(MonotonicTime now) const
{
    return std::max(m_freeAt, now) + decodeSlotWait();
}

std::uint32_t EngineAdmission::prefills() const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_running.begin(), m_running.end(), [](const auto& entry) { return !entry.second.answered; }));
}

void EngineAdmission::addExpectedBlocks(const std::vector<BlockHash>& blocks)
{
    for (const auto block : blocks)
        ++m_expectedBlocks[block];
}

void EngineAdmission::releaseExpectedBlocks(const std::vector<BlockHash>& blocks)
{
    for (const auto block : blocks) {
        const auto found = m_expectedBlocks.find(block);
        if (found != m_expectedBlocks.end() && --found->second == 0)
            m_expectedBlocks.erase(found);
    }
}

void EngineAdmission::dropWaiting(QueueTicket ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return;
    releaseExpectedBlocks(found->second.blocks);
    m_waiting.erase(found);
}

} // namespace hornbeamgate
