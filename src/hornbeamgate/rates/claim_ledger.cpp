#include "hornbeamgate/rates/claim_ledger.hpp"

#include "hornbeamgate/event_log/store_era.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

std::vector<ClaimChange> ClaimLedger::apply(const LogRecordsRead& read, MonotonicTime now)
{
    std::vector<ClaimChange> changes;
    for (const auto& record : read.records) {
        if (record.offset < m_position)
            continue;
        if (record.offset > m_position)
            skipTo(record.offset, now);
        applyRecord(record, now, changes);
        m_position = record.offset.next();
    }
    m_caughtUp = m_position >= read.next;
    return changes;
}

void ClaimLedger::skipTo(LogOffset first, MonotonicTime now)
{
    if (first <= m_position)
        return;
    m_position = first;
    m_contiguousFrom = first;
    m_gapReadAt = now;
    m_caughtUp = false;
    for (auto& [shard, entry] : m_entries) {
        if (!entry.claim)
            continue;
        entry.claim->certain = false;
        entry.claim->readAt = now; // a trimmed record may be a claim that was appended just now
    }
}

void ClaimLedger::restartAt(LogOffset first, MonotonicTime now)
{
    if (first <= m_position)
        return;
    m_entries.clear();
    skipTo(first, now);
}

void ClaimLedger::applyRecord(const LogRecord& record, MonotonicTime now, std::vector<ClaimChange>& changes)
{
    const auto decoded = decodeClaimRecord(record.data);
    if (!decoded || eraOf(decoded->readTo) < eraOf(record.offset))
        return;
    for (const auto number : decoded->shards) {
        const ShardId shard { decoded->region, number };
        auto& entry = m_entries[shard];
        const bool superseded = entry.lastRecordOffset && *entry.lastRecordOffset >= decoded->readTo;
        entry.lastRecordOffset = record.offset;
        if (superseded || decoded->readTo > record.offset)
            continue;
        ShardClaim claim { decoded->holder, record.offset, decoded->sequence, decoded->lifetime, now,
            decoded->kind == ClaimKind::Release, decoded->readTo >= m_contiguousFrom, {} };
        if (claim.released)
            claim.accounts = decoded->accounts;
        changes.push_back({ shard, std::exchange(entry.claim, claim), std::move(claim) });
    }
}

const ShardClaim* ClaimLedger::find(const ShardId& shard) const
{
    const auto found = m_entries.find(shard);
    return found == m_entries.end() || !found->second.claim ? nullptr : &*found->second.claim;
}

nlohmann::json ClaimLedger::dump() const
{
    auto shards = nlohmann::json::array();
    for (const auto& [shard, entry] : m_entries) {
        if (!entry.claim)
            continue;
        const auto& claim = *entry.claim;
        shards.push_back({ { "region", shard.region.value() }, { "shard", shard.number },
            { "host", claim.holder.host.value() }, { "offset", claim.offset.value() }, { "released", claim.released },
            { "certain", claim.certain } });
    }
    return { { "position", m_position.value() }, { "caught_up", m_caughtUp }, { "shards", std::move(shards) } };
}

} // namespace hornbeamgate
