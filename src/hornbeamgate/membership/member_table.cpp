#include "hornbeamgate/membership/member_table.hpp"

#include "hornbeamgate/base/hash.hpp"

namespace hornbeamgate {

namespace {

    std::uint64_t memberHash(const Member& member)
    {
        if (member.status.state == MemberState::Dead)
            return 0;
        const auto& status = member.status;
        const auto version = status.incarnation.value() * 31 + status.revision;
        return stableHash(member.host.value(), version * 4 + static_cast<std::uint64_t>(status.state));
    }

    bool differsInLoadOnly(const MemberStatus& a, const MemberStatus& b)
    {
        return a.incarnation == b.incarnation && a.revision == b.revision && a.state == b.state;
    }

} // namespace

bool MemberTable::apply(const MemberUpdate& update, const HostId& source)
{
    const auto known = m_entries.find(update.host);
    const bool isNew = known == m_entries.end();
    if (isNew && (!update.identity || update.status.state == MemberState::Dead || m_entries.size() >= kMaxMembers))
        return false;
    if (!isNew && !supersedes(update.status, known->second.member.status))
        return false;
    const bool sameIncarnation = !isNew && update.status.incarnation == known->second.member.status.incarnation;
    if (!update.identity && !sameIncarnation)
        return false;
    auto& entry = m_entries[update.host];
    const auto urgent = isNew || !differsInLoadOnly(update.status, entry.member.status);
    m_stateHash ^= isNew ? 0 : memberHash(entry.member);
    entry.member.host = update.host;
    entry.member.status = update.status;
    if (update.identity)
        entry.member.identity = *update.identity;
    m_stateHash ^= memberHash(entry.member);
    recordChange(entry, source);
    if (urgent)
        recordUrgentChange(entry);
    if (!sameIncarnation)
        entry.identityChanged = entry.changed;
    return true;
}

void MemberTable::markChanged(const HostId& host)
{
    const auto known = m_entries.find(host);
    if (known == m_entries.end())
        return;
    recordChange(known->second, HostId());
    recordUrgentChange(known->second);
    known->second.identityChanged = known->second.changed;
}

void MemberTable::remove(const HostId& host)
{
    const auto known = m_entries.find(host);
    if (known == m_entries.end())
        return;
    m_stateHash ^= memberHash(known->second.member);
    m_byChange.erase(known->second.changed);
    m_entries.erase(known);
}

const Member* MemberTable::find(const HostId& host) const
{
    const auto known = m_entries.find(host);
    return known == m_entries.end() ? nullptr : &known->second.member;
}

MemberUpdates MemberTable::changesSince(
    std::uint64_t cursor, const HostId& receiver, std::size_t maxBytes, EchoPolicy echoPolicy) const
{
    MemberUpdates result { {}, cursor };
    const auto* known = find(receiver);
    std::size_t bytes = 0;
    for (auto change = m_byChange.upper_bound(cursor); change != m_byChange.end(); ++change) {
        const auto& entry = *change->second;
        const bool echoes = entry.source == receiver && echoPolicy == EchoPolicy::Exclude;
        if (!echoes && entry.member.host != receiver && isRelevantTo(entry, cursor, known)) {
            MemberUpdate update { entry.member.host, entry.member.status, std::nullopt };
            if (entry.identityChanged > cursor)
                update.identity = entry.member.identity;
            bytes += encodedSizeBound(update);
            if (bytes > maxBytes && !result.updates.empty())
                return result;
            result.updates.push_back(std::move(update));
        }
        result.upToChange = change->first;
    }
    result.upToChange = std::max(result.upToChange, m_lastChange);
    return result;
}

bool MemberTable::isRelevantTo(const Entry& entry, std::uint64_t cursor, const Member* receiver)
{
    if (entry.urgentChanged > cursor)
        return true;
    return receiver != nullptr && receiver->identity.dataCenter == entry.member.identity.dataCenter;
}

void MemberTable::recordUrgentChange(Entry& entry)
{
    entry.urgentChanged = entry.changed;
    m_lastUrgentChange = entry.changed;
}

void MemberTable::recordChange(Entry& entry, const HostId& source)
{
    m_byChange.erase(entry.changed);
    entry.changed = allocateChangeNumber();
    entry.source = source;
    m_byChange[entry.changed] = &entry;
}

} // namespace hornbeamgate
