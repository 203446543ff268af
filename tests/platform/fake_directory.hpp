#pragma once

#include "record_decoder.hpp"

#include <array>
#include <optional>

namespace hornbeamgate::gateway::testing {

/// Directory whose answers the test gives one by one.
class FakeDirectory : public Directory {
public:
    void list(DirectoryTopic topic, Report<DirectoryPage> report) override { listings[index(topic)] = std::move(report); }
    void follow(DirectoryTopic topic, LogOffset from, std::chrono::milliseconds, Report<DirectoryPage> report) override
    {
        followedFrom[index(topic)] = from;
        follows[index(topic)] = std::move(report);
    }
    void announce(const DaemonEntry&, bool, Report<LogOffset> report) override { announcements.push_back(std::move(report)); }
    void holdDuty(const HostId&, std::chrono::milliseconds lifetime, Report<DutyGrant> report) override
    {
        dutyLifetime = lifetime;
        grants.push_back(std::move(report));
    }
    void leaveDuty(const HostId&, Report<bool> report) override
    {
        ++left;
        departures.push_back(std::move(report));
    }
    Result<DirectoryItem, RecordFault> decode(DirectoryTopic topic, const DirectoryRecord& record) const override { return platform::decodeRecord(topic, record); }

    static std::size_t index(DirectoryTopic topic) { return static_cast<std::size_t>(topic); }

    /// Answers the call that waits for `topic`.
    void answer(DirectoryTopic topic, const Result<DirectoryPage, DirectoryFault>& page)
    {
        auto& waiting = listings[index(topic)] ? listings[index(topic)] : follows[index(topic)];
        const auto report = std::exchange(waiting, {});
        report(page);
    }
    bool isAsked(DirectoryTopic topic) const { return listings[index(topic)] || follows[index(topic)]; }

    std::array<Report<DirectoryPage>, kDirectoryTopics> listings;
    std::array<Report<DirectoryPage>, kDirectoryTopics> follows;
    std::array<LogOffset, kDirectoryTopics> followedFrom {};
    std::vector<Report<LogOffset>> announcements;
    std::vector<Report<DutyGrant>> grants;
    std::vector<Report<bool>> departures;
    std::chrono::milliseconds dutyLifetime {};
    int left = 0;
};

} // namespace hornbeamgate::gateway::testing
