#pragma once

#include "hornbeamgate/membership/member.hpp"
#include "hornbeamgate/membership/membership_message.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace hornbeamgate {

/// Updates for one neighbor, and the change number that they reach.
struct MemberUpdates {
    std::vector<MemberUpdate> updates;
    std::uint64_t upToChange = 0;
};

/// Members that a table takes; news of further hosts is ignored.
constexpr std::size_t kMaxMembers = 8192;

/// Whether a neighbor is sent what it reported itself.
enum class EchoPolicy : std::uint8_t {
    Exclude,
    Include,
};

/// Members known to this process. Every change gets the next local change number, by which a neighbor is sent what it
/// has not seen.
class MemberTable {
public:
    MemberTable() = default;
    MemberTable(const MemberTable&) = delete;
    MemberTable& operator=(const MemberTable&) = delete;
    MemberTable(MemberTable&&) = default;
    MemberTable& operator=(MemberTable&&) = default;
    ~MemberTable() = default;

    /// Takes news learned from `source`. Returns whether it changed the table. News of an unknown incarnation without
    /// an identity, and of the death of an unknown host, is ignored.
    bool apply(const MemberUpdate& update, const HostId& source);

    /// Counts the member as changed now, so that neighbors are sent it again.
    void markChanged(const HostId& host);

    void remove(const HostId& host);

    const Member* find(const HostId& host) const;

    /// Changes after `cursor` that do not concern `receiver`, in order, up to `maxBytes` of updates. What `receiver`
    /// reported itself is left out unless `echo` asks for it; a restarted receiver no longer knows what it reported.
    /// A change of load only is for receivers in the member's data centre.
    MemberUpdates changesSince(std::uint64_t cursor, const HostId& receiver, std::size_t maxBytes, EchoPolicy echoPolicy) const;

    /// Number of the last change.
    std::uint64_t lastChange() const { return m_lastChange; }

    /// Number of the last change of more than a load.
    std::uint64_t lastUrgentChange() const { return m_lastUrgentChange; }

    /// Next change number, for news that is kept outside the table.
    std::uint64_t allocateChangeNumber() { return ++m_lastChange; }

    /// Equal on two processes that hold the same members for other than dead; loads do not count.
    std::uint64_t stateHash() const { return m_stateHash; }

    std::size_t size() const { return m_entries.size(); }

    template <typename F>
    void forEach(F function) const
    {
        for (const auto& [host, entry] : m_entries)
            function(entry.member);
    }

private:
    struct Entry {
        Member member;
        HostId source;
        std::uint64_t changed = 0;
        std::uint64_t urgentChanged = 0; // last change of more than the load
        std::uint64_t identityChanged = 0;
    };

    static bool isRelevantTo(const Entry& entry, std::uint64_t cursor, const Member* receiver);
    void recordUrgentChange(Entry& entry);
    void recordChange(Entry& entry, const HostId& source);

    std::map<HostId, Entry> m_entries;
    std::map<std::uint64_t, const Entry*> m_byChange;
    std::uint64_t m_lastChange = 0;
    std::uint64_t m_lastUrgentChange = 0;
    std::uint64_t m_stateHash = 0;
};

} // namespace hornbeamgate
