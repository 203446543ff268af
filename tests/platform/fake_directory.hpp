#pragma once

#include "record_decoder.hpp"

#include <array>
#include <optional>

namespace hornbeamgate::gateway::testing {

/// Directory whose calls are completed explicitly by the test.
class FakeDirectory : public Directory {
public:
    void list(DirectoryTopic topic, Duration timeout, Callback<DirectoryPage> callback) override
    {
        silences[index(topic)] = timeout;
        listings[index(topic)] = std::move(callback);
    }
    void watch(DirectoryTopic topic, LogOffset from, Duration wait, Duration timeout, Callback<DirectoryPage> callback) override
    {
        silences[index(topic)] = wait + timeout;
        watchedFrom[index(topic)] = from;
        watches[index(topic)] = std::move(callback);
    }
    void registerDaemon(const DaemonEntry&, bool, Callback<LogOffset> callback) override { registrations.push_back(std::move(callback)); }
    void renewRolloutMembership(const HostId&, std::chrono::milliseconds lifetime, Callback<RolloutMembership> callback) override
    {
        membershipLifetime = lifetime;
        renewals.push_back(std::move(callback));
    }
    void leaveRolloutGroup(const HostId&, Callback<bool> callback) override
    {
        ++leaveCount;
        departures.push_back(std::move(callback));
    }
    void readOrderRecord(Callback<OrderRecordPosition> callback) override { orderRecordReads.push_back(std::move(callback)); }
    void appendOrderRecord(const OrderRecord& record, LogOffset at, Callback<LogOffset> callback) override
    {
        appendedOrderRecords.push_back(record);
        appendedAt.push_back(at);
        orderRecordAppends.push_back(std::move(callback));
    }
    void readObservations(Callback<std::vector<StoredObservations>> callback) override { observationReads.push_back(std::move(callback)); }
    void saveObservations(const HostId& host, const Bytes& observations, Callback<LogOffset> callback) override
    {
        savedObservations.push_back({ host, observations });
        observationSaves.push_back(std::move(callback));
    }
    void readStatusEnd(Callback<DirectoryPage> callback) override { statusReads.push_back(std::move(callback)); }
    void appendStatus(const RolloutStatus& status, LogOffset at, Callback<LogOffset> callback) override
    {
        appendedStatuses.emplace_back(status, at);
        statusAppends.push_back(std::move(callback));
    }
    std::optional<ServiceId> findRolloutService(const std::string& key) const override { return platform::serviceOfRolloutKey(key); }
    Result<DirectoryItem, RecordError> decode(DirectoryTopic topic, const DirectoryRecord& record) const override { return platform::decodeRecord(topic, record); }

    static std::size_t index(DirectoryTopic topic) { return static_cast<std::size_t>(topic); }

    /// Completes the pending list or watch call of `topic`.
    void answer(DirectoryTopic topic, const Result<DirectoryPage, DirectoryError>& page)
    {
        auto& waiting = listings[index(topic)] ? listings[index(topic)] : watches[index(topic)];
        const auto callback = std::exchange(waiting, {});
        callback(page);
    }
    bool hasPendingCall(DirectoryTopic topic) const { return listings[index(topic)] || watches[index(topic)]; }

    std::array<Callback<DirectoryPage>, kDirectoryTopics> listings;
    std::array<Callback<DirectoryPage>, kDirectoryTopics> watches;
    std::array<Duration, kDirectoryTopics> silences {}; ///< of the store, until the last call is given up
    std::array<LogOffset, kDirectoryTopics> watchedFrom {};
    std::vector<Callback<LogOffset>> registrations;
    std::vector<Callback<RolloutMembership>> renewals;
    std::vector<Callback<bool>> departures;
    std::vector<Callback<OrderRecordPosition>> orderRecordReads;
    std::vector<Callback<LogOffset>> orderRecordAppends;
    std::vector<OrderRecord> appendedOrderRecords;
    std::vector<LogOffset> appendedAt;
    std::vector<Callback<std::vector<StoredObservations>>> observationReads;
    std::vector<StoredObservations> savedObservations;
    std::vector<Callback<LogOffset>> observationSaves;
    std::vector<Callback<DirectoryPage>> statusReads;
    std::vector<std::pair<RolloutStatus, LogOffset>> appendedStatuses; ///< each with the end it was conditional on
    std::vector<Callback<LogOffset>> statusAppends;
    std::chrono::milliseconds membershipLifetime {};
    int leaveCount = 0;
};

} // namespace hornbeamgate::gateway::testing
