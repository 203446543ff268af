#include "hornbeamgate/config/config_state_machine.hpp"

namespace hornbeamgate {

ReplayProgress ConfigStateMachine::handle(const LogReadEvent& event)
{
    ReplayProgress progress;
    if (const auto* trimmed = std::get_if<LogTrimmed>(&event)) {
        if (trimmed->first > nextRead())
            startCheckpointSearch(trimmed->first);
    } else if (const auto* read = std::get_if<LogRecordsRead>(&event)) {
        for (const auto& record : read->records)
            readRecord(record, progress);
        progress.isCaughtUp = !isAwaitingCheckpoint() && nextRead() == read->next;
    }
    return progress;
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
    if (isAwaitingCheckpoint())
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
    if (proposal.base != m_accepted.version)
        return;
    const AcceptedChange change { proposal.base.next(), proposal.id, proposal.author };
    if (advance({ change, proposal.delta, proposal.digest, next }))
        progress.isChanged = true;
}

void ConfigStateMachine::evaluate(const ConfigCheckpoint& checkpoint, LogOffset next, ReplayProgress& progress)
{
    const auto& config = checkpoint.config;
    const bool isSameVersion = config.version == m_accepted.version;
    const bool isConflict = config.version > m_accepted.version || config.position >= next
        || (isSameVersion && config.digest != m_accepted.digest);
    if (isConflict)
        ++progress.conflicts;
    else
        progress.hasCheckpoint = true;
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
    const bool isNext = step.change.version == m_accepted.version.next() && step.position > m_accepted.position;
    if (!isNext || !advance(step))
        return AdoptOutcome::Conflict;
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
