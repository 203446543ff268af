#include "engine/run_table.hpp"

#include <algorithm>

namespace hornbeamgate::standins {

RunTable::RunTable(RunTableOptions options, BlockCache& cache)
    : m_options(options)
    , m_cache(cache)
{
}

bool RunTable::add(Run run, MonotonicTime now)
{
    run.arrival = m_nextArrival++;
    run.forgetAt = now + m_options.unwantedLifetime;
    const std::string id = run.id;
    return m_runs.emplace(id, std::move(run)).second;
}

Run* RunTable::find(const std::string& id)
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : &found->second;
}

void RunTable::cancel(const std::string& id)
{
    Run* run = find(id);
    if (run && run->state != RunState::Finished)
        run->state = RunState::Cancelled;
}

void RunTable::keep(const std::string& id, MonotonicTime now)
{
    if (Run* run = find(id); run && run->state != RunState::Finished)
        run->forgetAt = now + m_options.unwantedLifetime;
}

void RunTable::step(MonotonicTime now)
{
    forgetOld(now);
    for (std::size_t free = m_options.slots - std::min(m_options.slots, running()); free > 0; --free) {
        Run* run = nextQueued();
        if (!run)
            break;
        start(*run, now);
    }
    for (auto& [id, run] : m_runs) {
        if (run.state == RunState::Running && run.resumesAt <= now)
            produce(run, now);
    }
}

void RunTable::clear()
{
    m_runs.clear();
}

std::size_t RunTable::running() const
{
    return count(RunState::Running);
}

std::size_t RunTable::queued() const
{
    return count(RunState::Queued);
}

std::size_t RunTable::count(RunState state) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& item) { return item.second.state == state; }));
}

Run* RunTable::nextQueued()
{
    Run* best = nullptr;
    for (auto& [id, run] : m_runs) {
        if (run.state != RunState::Queued)
            continue;
        const bool first = !best || run.priority > best->priority
            || (run.priority == best->priority && run.arrival < best->arrival);
        if (first)
            best = &run;
    }
    return best;
}

void RunTable::start(Run& run, MonotonicTime now)
{
    run.cachedBlocks = m_cache.use(run.blocks, now);
    const auto missing = static_cast<std::int64_t>(run.blocks.size() - run.cachedBlocks);
    run.resumesAt = now + m_options.prefillPerBlock * missing;
    run.state = RunState::Running;
}

void RunTable::produce(Run& run, MonotonicTime now)
{
    ++run.producedEvents;
    if (run.producedEvents + 1 < run.answer.eventCount())
        return;
    run.producedEvents = run.answer.eventCount();
    run.state = RunState::Finished;
    run.forgetAt = now + m_options.finishedLifetime;
}

void RunTable::forgetOld(MonotonicTime now)
{
    std::erase_if(m_runs, [&](const auto& item) {
        return item.second.state == RunState::Cancelled || item.second.forgetAt <= now;
    });
}

} // namespace hornbeamgate::standins
