#include "hornbeamgate/bookings/booking_index.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

BookingIndex::BookingIndex(BookingIndexOptions options)
    : m_options(options)
{
}

std::vector<BookingId> BookingIndex::apply(LogOffset offset, const BookingRecord& record, MonotonicTime now)
{
    std::vector<BookingId> affected;
    m_offset = offset;
    m_writer = record.writer;
    m_unresolvedAt = now + m_options.unresolvedAfter;
    for (const auto& entry : record.entries) {
        std::visit([this](const auto& typed) { applyEntry(typed); }, entry);
        affected.push_back(std::visit([](const auto& typed) { return typed.booking; }, entry));
    }
    evictResultBodies();
    evictOldIntents();
    return affected;
}

void BookingIndex::restart(LogOffset from)
{
    m_claims.clear();
    m_intents.clear();
    m_results.clear();
    m_resultBytes = 0;
    m_coverageFrom = from;
}

void BookingIndex::dropBefore(LogOffset offset)
{
    while (!m_intents.empty() && m_intents.front().offset < offset) {
        const auto oldest = m_intents.front();
        m_intents.pop_front();
        const auto claim = m_claims.find(oldest.booking);
        if (claim == m_claims.end() || claim->second.offset != oldest.offset)
            continue;
        m_resultBytes -= claim->second.result.body.size();
        m_claims.erase(claim);
    }
    m_coverageFrom = std::max(m_coverageFrom, offset);
}

const BookingClaim* BookingIndex::find(const BookingId& booking) const
{
    const auto claim = m_claims.find(booking);
    return claim == m_claims.end() ? nullptr : &claim->second;
}

nlohmann::json BookingIndex::dump() const
{
    const auto count = [this](ClaimState state) {
        return std::count_if(
            m_claims.begin(), m_claims.end(), [state](const auto& claim) { return claim.second.state == state; });
    };
    return {
        { "coverage_from", m_coverageFrom.value() },
        { "claimed", count(ClaimState::Claimed) },
        { "answered", count(ClaimState::Answered) },
        { "outcome_unknown", count(ClaimState::OutcomeUnknown) },
        { "result_bytes", m_resultBytes },
    };
}

void BookingIndex::applyEntry(const IntentEntry& entry)
{
    const AttemptId owner { m_writer, entry.attempt };
    const BookingClaim claim { owner, entry.fingerprint, m_offset, ClaimState::Claimed, m_unresolvedAt, {} };
    if (m_claims.try_emplace(entry.booking, claim).second)
        m_intents.push_back({ m_offset, entry.booking });
}

void BookingIndex::applyEntry(const ReleaseEntry& entry)
{
    if (findUnsettledClaim(entry.booking, entry.attempt) != nullptr)
        m_claims.erase(entry.booking);
}

void BookingIndex::applyEntry(const ResultEntry& entry)
{
    auto* claim = findUnsettledClaim(entry.booking, entry.attempt);
    if (claim == nullptr)
        return;
    claim->state = ClaimState::Answered;
    claim->result = entry.result;
    m_resultBytes += entry.result.body.size();
    m_results.push_back(entry.booking);
}

void BookingIndex::applyEntry(const OutcomeUnknownEntry& entry)
{
    if (auto* claim = findUnsettledClaim(entry.booking, entry.attempt))
        claim->state = ClaimState::OutcomeUnknown;
}

BookingClaim* BookingIndex::findUnsettledClaim(const BookingId& booking, std::uint64_t attempt)
{
    const auto found = m_claims.find(booking);
    if (found == m_claims.end() || found->second.state != ClaimState::Claimed)
        return nullptr;
    return found->second.owner == AttemptId { m_writer, attempt } ? &found->second : nullptr;
}

void BookingIndex::evictResultBodies()
{
    while (m_resultBytes > m_options.maxResultBytes && !m_results.empty()) {
        const auto claim = m_claims.find(m_results.front());
        m_results.pop_front();
        if (claim == m_claims.end())
            continue;
        m_resultBytes -= claim->second.result.body.size();
        claim->second.result.body = {};
        claim->second.result.bodyKept = false;
    }
    while (m_results.size() > m_options.maxIntents)
        m_results.pop_front();
}

void BookingIndex::evictOldIntents()
{
    if (m_intents.size() > m_options.maxIntents)
        dropBefore(m_intents[m_intents.size() - m_options.maxIntents - 1].offset.next());
}

} // namespace hornbeamgate
