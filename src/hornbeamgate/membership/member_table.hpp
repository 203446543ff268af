#pragma once

#include "hornbeamgate/membership/member.hpp"
#include "hornbeamgate/membership/membership_message.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace hornbeamgate {

/// Updates for one neighbor, and the number of the last change that they cover.
struct MemberUpdates {
    std::vector<MemberUpdate> updates;
    std::uint64_t upToChange = 0;
};

/// Maximum number of members in a table; updates about further hosts are ignored.
constexpr std::size_t kMaxMembers = 8192;

/// Whether updates are sent back to the neighbor that reported them.
enum class EchoPolicy : std::uint8_t {
    Exclude,
    Include,
};

/// Members known to this process. Each change is assigned the next local change number, which serves as a cursor for
/// sending a neighbor only the changes that it has not received.
class MemberTable {
public:
    MemberTable() = default;
    MemberTable(const MemberTable&) = delete;
    MemberTable& operator=(const MemberTable&) = delete;
    MemberTable(MemberTable&&) = default;
    MemberTable& operator=(MemberTable&&) = default;
    ~MemberTable() = default;

    /// Applies an update received from `source` and returns whether it changed the table. Ignores an update that has no
    /// identity for an unknown incarnation, and an update that reports an unknown host as dead.
    bool apply(const MemberUpdate& update, const HostId& source);

    /// Assigns a new change number to the member, so that it is sent to all neighbors again.
    void markChanged(const HostId& host);

    void remove(const HostId& host);

    const Member* find(const HostId& host) const;

    /// Returns the changes after `cursor` in order, up to `maxBytes` of updates, without those about `receiver` itself.
    /// Updates that `receiver` reported are included only with EchoPolicy::Include, which a restarted receiver needs
    /// because it has lost what it reported. Load changes are sent only to receivers in the member's data centre.
    MemberUpdates changesSince(
        std::uint64_t cursor, const HostId& receiver, std::size_t maxBytes, EchoPolicy echoPolicy) const;

    /// Number of the last change.
    std::uint64_t lastChange() const { return m_lastChange; }

    /// Number of the last change that was not a load change.
    std::uint64_t lastUrgentChange() const { return m_lastUrgentChange; }

    /// Assigns the next change number to a change that is stored outside the table.
    std::uint64_t allocateChangeNumber() { return ++m_lastChange; }

    /// Hash of all members that are not dead. Excludes loads, so that processes with equal members have equal hashes.
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
        std::uint64_t urgentChanged = 0; // last change that was not a load change
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
