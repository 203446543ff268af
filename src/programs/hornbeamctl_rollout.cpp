#include "hornbeamctl_rollout.hpp"

#include "platform_directory.hpp"

namespace hornbeamgate::ctl {
namespace {

    using namespace std::chrono_literals;
    using gateway::DirectoryPage;
    using gateway::DirectoryTopic;
    using gateway::platform::PlatformDirectory;

    /// Runs the main loop until `call` has reported.
    template <typename T, typename Call>
    Result<T, std::string> await(Call call)
    {
        std::optional<Result<T, gateway::DirectoryError>> reported;
        call([&reported](Result<T, gateway::DirectoryError> result) { reported = std::move(result); });
        while (!reported)
            g_main_context_iteration(nullptr, TRUE);
        return std::move(*reported).map_error([](const gateway::DirectoryError& error) { return error.detail; });
    }

    /// Returns the newest record of the service's rollout in a topic, or nothing if there is none that can be decoded.
    template <typename T>
    Result<std::optional<T>, std::string> readNewest(PlatformDirectory& directory, DirectoryTopic topic, const ServiceId& service, MonotonicTime deadline)
    {
        const auto page = await<DirectoryPage>([&](auto callback) { directory.list(topic, std::max<Duration>(deadline - MonotonicClock::now(), 1ms), callback); });
        if (!page)
            return failure(page.error());
        for (const auto& record : page->records) {
            if (!record.value || directory.findRolloutService(record.key) != service)
                continue;
            const auto item = directory.decode(topic, record);
            if (!item)
                return failure("the record " + record.key + " cannot be decoded: " + item.error().detail);
            return std::get<T>(*item);
        }
        return std::optional<T>();
    }

} // namespace

Result<LogOffset, std::string> startRollout(const SocketAddress& store, const gateway::RolloutOrder& order)
{
    PlatformDirectory directory(store);
    return await<LogOffset>([&](auto callback) { directory.orderRollout(order, callback); });
}

Result<LogOffset, std::string> abortRollout(const SocketAddress& store, const ServiceId& service)
{
    PlatformDirectory directory(store);
    return await<LogOffset>([&](auto callback) { directory.removeRolloutOrder(service, callback); });
}

Result<RolloutRecords, std::string> readRollout(const SocketAddress& store, const ServiceId& service, MonotonicTime deadline)
{
    PlatformDirectory directory(store);
    auto order = readNewest<gateway::RolloutOrder>(directory, DirectoryTopic::Operators, service, deadline);
    if (!order)
        return failure(order.error());
    auto status = readNewest<gateway::RolloutStatus>(directory, DirectoryTopic::Status, service, deadline);
    if (!status)
        return failure(status.error());
    return RolloutRecords { std::move(*order), std::move(*status) };
}

} // namespace hornbeamgate::ctl
