#include "hornbeamgate/config/config_state_machine.hpp"

namespace hornbeamgate {

ReplayProgress ConfigStateMachine::handle(const LogReadEvent& event)
{
    ReplayProgress progress;
    if (const auto* trimmed = std::get_if<LogTrimmed>(&event)) {
        handleTrimmed(trimmed->first);
    } else if (const auto* restarted = std::get_if<LogRestarted>(&event)) {
        restartAt(restarted->first);
    } else if (const auto* read = std::get_if<LogRecordsRead>(&event)) {
        for (const auto& record : read->records)
            readRecord(record, progress);
        progress.isCaughtUp = !isAwaitingCheckpoint() && nextRead() == read->next;
    }
    return progress;
}

void ConfigStateMachine::restartAt(LogOffset first)
{
    if (first <= nextRead())
        return;
    m_checkpointSearch.reset();
    m_accepted.position = first;
    m_isEraOpen = false;
    m_isEraUnchanged = true;
}

void ConfigStateMachine::handleTrimmed(LogOffset first)
{
    if (first <= nextRead())
        return;
    // An era that is not open yet holds nothing beyond what was accepted before.
    const bool isNothingMissing = !m_isEraOpen && m_accepted.version != ConfigVersion {};
    if (isNothingMissing)
        m_accepted.position = first;
    else
        startCheckpointSearch(first);
}

LogOffset ConfigStateMachine::nextRead() const
{
    return m_checkpointSearch ? m_checkpointSearch->next : m_accepted.position;
}

void ConfigStateMachine::readRecord(const LogRecord& record, ReplayProgress& progress)
{
    if (record.offset < nextRead())
        return;
    if (record.offset > nextRead())
        startCheckpointSearch(record.offset);
    if (m_checkpointSearch)
        searchRecord(record, progress);
    else
        evaluate(record, progress);
}

void ConfigStateMachine::startCheckpointSearch(LogOffset first)
{
    m_checkpointSearch = CheckpointSearch { first, {}, 0, first };
}

void ConfigStateMachine::searchRecord(const LogRecord& record, ReplayProgress& progress)
{
    m_checkpointSearch->records.push_back(record);
    m_checkpointSearch->bytes += record.data.size();
    m_checkpointSearch->next = record.offset.next();
    while (m_checkpointSearch->bytes > kMaxSearchBytes) {
        m_checkpointSearch->bytes -= m_checkpointSearch->records.front().data.size();
        m_checkpointSearch->first = m_checkpointSearch->records.front().offset.next();
        m_checkpointSearch->records.pop_front();
    }
    auto decoded = decodeConfigRecord(record.data);
    auto* checkpoint = decoded ? std::get_if<ConfigCheckpoint>(&*decoded) : nullptr;
    if (!checkpoint)
        return;
    auto& config = checkpoint->config;
    const auto era = eraOf(record.offset);
    const bool isOfThisEra = eraOf(config.position) == era;
    config.position = positionInCopy(era, config.position);
    const bool isUsable = config.position >= m_checkpointSearch->first && config.position <= record.offset;
    if (!isUsable)
        return;
    if (config.version < m_accepted.version) {
        ++progress.conflicts;
        return;
    }
    progress.isChanged = progress.isChanged || config.version > m_accepted.version;
    m_accepted = std::move(config);
    m_steps.clear();
    m_isEraOpen = m_isEraOpen || isOfThisEra;
    resumeFromCheckpoint(progress);
}

void ConfigStateMachine::resumeFromCheckpoint(ReplayProgress& progress)
{
    const auto search = std::move(*m_checkpointSearch);
    m_checkpointSearch.reset();
    for (const auto& record : search.records) {
        if (record.offset >= m_accepted.position)
            evaluate(record, progress);
    }
}

void ConfigStateMachine::evaluate(const LogRecord& record, ReplayProgress& progress)
{
    const auto next = record.offset.next();
    const auto decoded = decodeConfigRecord(record.data);
    if (decoded)
        std::visit([&](const auto& content) { evaluate(content, next, progress); }, *decoded);
    else
        ++progress.undecodableRecords;
    m_accepted.position = next;
}

void ConfigStateMachine::evaluate(const ConfigProposal& proposal, LogOffset next, ReplayProgress& progress)
{
    // Before the era is open, the copy's proposals are replayed; afterwards, late ones of earlier eras do not count.
    const bool isOfThisEra = proposal.era == eraOf(next);
    if (isOfThisEra != m_isEraOpen || proposal.base != m_accepted.version)
        return;
    const AcceptedChange change { proposal.base.next(), proposal.id, proposal.author };
    if (!advance({ change, proposal.delta, proposal.digest, next }))
        return;
    progress.isChanged = true;
    m_isEraUnchanged = m_isEraUnchanged && !m_isEraOpen;
}

void ConfigStateMachine::evaluate(const ConfigCheckpoint& checkpoint, LogOffset next, ReplayProgress& progress)
{
    const auto& config = checkpoint.config;
    const bool isOfThisEra = eraOf(config.position) == eraOf(next);
    const bool isNewerOpening = m_isEraUnchanged && config.version > m_accepted.version;
    if (isOfThisEra && (!m_isEraOpen || isNewerOpening)) {
        openEra(config, progress);
        return;
    }
    const bool isSameVersion = config.version == m_accepted.version;
    const bool isConflict = config.version > m_accepted.version || config.position >= next
        || (isSameVersion && config.digest != m_accepted.digest);
    if (isConflict)
        ++progress.conflicts;
    else
        progress.hasCheckpoint = true;
}

void ConfigStateMachine::openEra(const AcceptedConfig& config, ReplayProgress& progress)
{
    m_isEraOpen = true;
    progress.hasCheckpoint = true;
    if (config.version < m_accepted.version) {
        progress.isOpenedOlder = true;
        return;
    }
    if (config.digest == m_accepted.digest)
        return;
    // All readers go on from the checkpoint, also those that had accepted another change as the same version.
    progress.conflicts += config.version == m_accepted.version ? 1 : 0;
    progress.isChanged = config.version > m_accepted.version;
    const auto position = m_accepted.position;
    m_accepted = config;
    m_accepted.position = position;
    m_steps.clear();
}

bool ConfigStateMachine::mayAdoptFrom(StoreEra era) const
{
    const bool isEarlier = era < eraOf(m_accepted.position);
    return !isEarlier || !m_isEraOpen || m_isEraUnchanged;
}

AdoptOutcome ConfigStateMachine::adoptFromOtherEra(AcceptedConfig config)
{
    if (config.version <= m_accepted.version)
        return config.version == m_accepted.version && config.digest != m_accepted.digest ? AdoptOutcome::Conflict : AdoptOutcome::NotNewer;
    if (!mayAdoptFrom(eraOf(config.position)) || config.document.digest(config.version) != config.digest)
        return AdoptOutcome::Conflict;
    config.position = m_accepted.position;
    m_accepted = std::move(config);
    m_steps.clear();
    return AdoptOutcome::Adopted;
}

bool ConfigStateMachine::advance(const AcceptedStep& step)
{
    auto document = m_accepted.document;
    if (!document.apply(step.delta) || document.digest(step.change.version) != step.digest)
        return false;
    m_accepted.version = step.change.version;
    m_accepted.position = step.position;
    m_accepted.document = std::move(document);
    m_accepted.digest = step.digest;
    m_accepted.recent.push_back(step.change);
    if (m_accepted.recent.size() > kMaxRecentChanges)
        m_accepted.recent.erase(m_accepted.recent.begin());
    m_steps.push_back(step);
    if (m_steps.size() > kMaxRetainedSteps)
        m_steps.pop_front();
    return true;
}

AdoptOutcome ConfigStateMachine::adopt(AcceptedConfig config)
{
    if (eraOf(config.position) != eraOf(m_accepted.position))
        return adoptFromOtherEra(std::move(config));
    if (config.version < m_accepted.version)
        return AdoptOutcome::NotNewer;
    const bool isSameVersion = config.version == m_accepted.version;
    if (isSameVersion && config.digest != m_accepted.digest)
        return AdoptOutcome::Conflict;
    if (config.position <= m_accepted.position)
        return isSameVersion ? AdoptOutcome::NotNewer : AdoptOutcome::Conflict;
    if (config.document.digest(config.version) != config.digest)
        return AdoptOutcome::Conflict;
    m_accepted = std::move(config);
    if (!isSameVersion)
        m_steps.clear();
    ReplayProgress progress;
    if (m_checkpointSearch && m_accepted.position >= m_checkpointSearch->first)
        resumeFromCheckpoint(progress);
    return isSameVersion && !progress.isChanged ? AdoptOutcome::NotNewer : AdoptOutcome::Adopted;
}

AdoptOutcome ConfigStateMachine::adopt(const AcceptedStep& step)
{
    if (step.change.version <= m_accepted.version)
        return AdoptOutcome::NotNewer;
    const bool isOfOtherEra = eraOf(step.position) != eraOf(m_accepted.position);
    const bool isLater = isOfOtherEra ? mayAdoptFrom(eraOf(step.position)) : step.position > m_accepted.position;
    const bool isNext = step.change.version == m_accepted.version.next() && isLater;
    auto ownStep = step;
    if (isOfOtherEra)
        ownStep.position = m_accepted.position;
    if (!isNext || !advance(ownStep))
        return AdoptOutcome::Conflict;
    if (isOfOtherEra)
        return AdoptOutcome::Adopted;
    m_isEraUnchanged = false;
    ReplayProgress progress;
    if (m_checkpointSearch && m_accepted.position >= m_checkpointSearch->first)
        resumeFromCheckpoint(progress);
    return AdoptOutcome::Adopted;
}

std::optional<std::vector<AcceptedStep>> ConfigStateMachine::stepsSince(ConfigVersion version) const
{
    if (version >= m_accepted.version)
        return std::vector<AcceptedStep> {};
    if (m_steps.empty() || m_steps.front().change.version > version.next())
        return std::nullopt;
    std::vector<AcceptedStep> steps;
    for (const auto& step : m_steps) {
        if (step.change.version > version)
            steps.push_back(step);
    }
    return steps;
}

} // namespace hornbeamgate
