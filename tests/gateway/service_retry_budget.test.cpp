#include "hornbeamgate/gateway/service_retry_budget.hpp"

#include "gateway/time_support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace hornbeamgate::gateway;
using namespace hornbeamgate::gateway::testing;
using namespace std::chrono_literals;

TEST_CASE("the retries of the fleet stay within the limit in every window while all requests fail [retries]")
{
    constexpr std::size_t kDaemons = 5;
    const RetryLimits limits { 0.2, 50, 10s };
    std::vector<ServiceRetryBudget> daemons(kDaemons, ServiceRetryBudget(limits));
    std::vector<std::chrono::milliseconds> retries;
    std::vector<std::chrono::milliseconds> requests;
    for (auto now = 0ms; now < 60s; now += 10ms) {
        // One daemon receives half of the requests; every request fails and asks for a retry.
        const auto index = now.count() % 20 == 0 ? 0 : 1 + static_cast<std::size_t>(now.count() / 20) % (kDaemons - 1);
        daemons[index].recordRequest(at(now));
        requests.push_back(now);
        if (daemons[index].tryTakeRetry(kDaemons, at(now)))
            retries.push_back(now);
    }
    CHECK(retries.size() > 1000);
    for (auto start = 0ms; start < 50s; start += 500ms) {
        const auto inWindow = [&](const auto& times) { return std::count_if(times.begin(), times.end(), [&](auto time) { return time >= start && time < start + 10s; }); };
        const double bound = limits.ratio * static_cast<double>(inWindow(requests)) + limits.slack;
        REQUIRE(static_cast<double>(inWindow(retries)) <= bound);
    }
}

TEST_CASE("a daemon without requests has only its share of the slack [retries]")
{
    ServiceRetryBudget retryBudget({ 0.2, 50, 10s });
    int taken = 0;
    while (retryBudget.tryTakeRetry(10, at(0ms)))
        ++taken;
    CHECK(taken == 4);
    CHECK_FALSE(retryBudget.tryTakeRetry(10, at(9999ms)));
    CHECK(retryBudget.tryTakeRetry(10, at(10s)));
}
