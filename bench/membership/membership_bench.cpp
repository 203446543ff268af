#include "linear_fit.hpp"
#include "membership/membership_network.hpp"

#include <malloc.h>

#include <algorithm>
#include <iostream>
#include <memory>

using namespace hornbeamgate;
using namespace hornbeamgate::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kDataCenters = 4;
constexpr Duration kSettlingStep = 10s;
constexpr Duration kSettlingMax = 600s;
constexpr Duration kSteady = 60s;
constexpr std::size_t kVictims = 5;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Fits {
    std::vector<bench::Sample> bytesOut;
    std::vector<bench::Sample> regionBytes;
    std::vector<bench::Sample> stormBytes;
};

struct Rates {
    double meanOut = 0;
    double maxOut = 0;
    double maxIn = 0;
    double messages = 0;
    double region = 0;
};

/// Traffic of live members while `during` runs for `time`.
template <typename F>
Rates ratesDuring(MembershipNetwork& network, Duration time, const F& during)
{
    std::vector<Traffic> before;
    for (std::size_t node = 0; node < network.size(); ++node)
        before.push_back(network.traffic(node));
    const auto regionBefore = network.regionLinkBytes();
    during();
    Rates rates;
    const auto seconds = secondsOf(time);
    const auto count = static_cast<double>(network.size());
    for (std::size_t node = 0; node < network.size(); ++node) {
        const auto& traffic = network.traffic(node);
        const auto out = static_cast<double>(traffic.bytesOut - before[node].bytesOut) / seconds;
        const auto in = static_cast<double>(traffic.bytesIn - before[node].bytesIn) / seconds;
        rates.meanOut += out / count;
        rates.messages += static_cast<double>(traffic.messages - before[node].messages) / seconds / count;
        rates.maxOut = std::max(rates.maxOut, out);
        rates.maxIn = std::max(rates.maxIn, in);
    }
    rates.region = static_cast<double>(network.regionLinkBytes() - regionBefore) / seconds;
    return rates;
}

void print(const char* what, const Rates& rates)
{
    std::cout << "  " << what << ": octets/s out mean " << rates.meanOut << " max " << rates.maxOut << ", in max "
              << rates.maxIn << ", messages/s " << rates.messages << ", region link octets/s " << rates.region << '\n';
}

/// Members of which about a third are entry daemons, spread over four data centres in two regions.
std::unique_ptr<MembershipNetwork> convergedNetwork(std::size_t members)
{
    auto network = std::make_unique<MembershipNetwork>(20261204);
    for (std::size_t i = 0; i < members; ++i) {
        const auto place = i % kDataCenters;
        const auto role = i / kDataCenters % 3 == 0 ? MemberRole::Entry : MemberRole::Agent;
        network->add("datacenter-" + std::to_string(place), static_cast<int>(place / 2), role);
        network->start(i);
    }
    for (std::size_t i = 0; i < members; ++i)
        network->readHostList(i);
    Duration settling = 0s;
    Rates busiest;
    while (settling < kSettlingMax && (settling == 0s || network->inconsistency())) {
        const auto rates = ratesDuring(*network, kSettlingStep, [&] { network->run(kSettlingStep); });
        settling += kSettlingStep;
        if (rates.maxOut > busiest.maxOut)
            busiest = rates;
    }
    print("busiest ten seconds of the start", busiest);
    std::cout << members << " members that started at once, after " << secondsOf(settling)
              << " s: " << network->inconsistency().value_or("agreed") << '\n';
    return network;
}

void measureSteady(MembershipNetwork& network, Fits& fits)
{
    const auto size = static_cast<double>(network.size());
    const auto idle = ratesDuring(network, kSteady, [&] { network.run(kSteady); });
    print("idle", idle);
    std::mt19937 random(1);
    const auto loaded = ratesDuring(network, kSteady, [&] {
        for (auto left = kSteady; left > 0s; left -= 10s) {
            for (std::size_t node = 0; node < network.size(); ++node)
                network.measureLoad(node, static_cast<std::uint8_t>(random() % 256));
            network.run(10s);
        }
    });
    print("loads changing", loaded);
    fits.bytesOut.push_back({ size, loaded.meanOut });
    fits.regionBytes.push_back({ size, loaded.region });
}

void printDistribution(const char* what, std::vector<double> seconds)
{
    std::sort(seconds.begin(), seconds.end());
    std::cout << "  " << what << ", s: ";
    if (seconds.empty()) {
        std::cout << "nothing seen\n";
        return;
    }
    std::cout << "median " << seconds[seconds.size() / 2] << " p95 " << seconds[seconds.size() * 95 / 100] << " max "
              << seconds.back() << " (" << seconds.size() << " views)\n";
}

void measureDetection(MembershipNetwork& network)
{
    std::vector<double> suspected;
    std::vector<double> found;
    std::vector<double> left;
    for (std::size_t i = 0; i < kVictims; ++i) {
        const auto victim = i * 5 + 1;
        const auto crashedAt = network.now();
        network.onMemberChanged = [&](std::size_t, const Member& member) {
            if (member.host != network.host(victim) || member.status.state < MemberState::Suspect)
                return;
            auto& seen = member.status.state == MemberState::Dead ? found : suspected;
            seen.push_back(secondsOf(network.now() - crashedAt));
        };
        network.crash(victim);
        network.run(15s);
        const auto leaver = victim + 1;
        const auto leftAt = network.now();
        network.onMemberChanged = [&](std::size_t node, const Member& member) {
            if (node != leaver && member.host == network.host(leaver) && member.status.state == MemberState::Leaving)
                left.push_back(secondsOf(network.now() - leftAt));
        };
        network.leave(leaver);
        network.run(10s);
    }
    network.onMemberChanged = nullptr;
    printDistribution("crash until suspected", suspected);
    printDistribution("crash until dead", found);
    printDistribution("leaving until known", left);
    std::cout << "  after it: " << network.inconsistency().value_or("agreed") << '\n';
}

void measureStorm(MembershipNetwork& network, Fits& fits)
{
    constexpr Duration kStorm = 20s;
    const auto storm = ratesDuring(network, kStorm, [&] {
        for (std::size_t node = 40; node < network.size(); node += 20)
            network.crash(node);
        network.run(kStorm);
    });
    print("one in twenty crashed at once", storm);
    fits.stormBytes.push_back({ static_cast<double>(network.size()), storm.maxOut });
}

MemberUpdate updateOf(std::size_t number)
{
    const MemberIdentity identity { "10.20.30.40:" + std::to_string(7000 + number), MemberRole::Agent,
        DataCenterId("datacenter-1"), EndpointId("engine-" + std::to_string(number)) };
    return { HostId("datacenter-1-" + std::to_string(number)),
        { Incarnation(1'796'000'000'000 + number), 0, MemberState::Alive, 0, 0 }, identity };
}

void measureState()
{
    std::vector<bench::Sample> samples;
    for (const std::size_t members : std::initializer_list<std::size_t> { 130, 260, 520, 1040 }) {
        const auto before = mallinfo2().uordblks;
        MemberTable table;
        for (std::size_t i = 0; i < members; ++i)
            table.apply(updateOf(i), HostId("datacenter-1-1"));
        samples.push_back({ static_cast<double>(members), static_cast<double>(mallinfo2().uordblks - before) });
    }
    bench::printFit("membership", "state bytes over members", "octets", bench::fitLine(samples));
}

/// Processor time of one idle probe at its receiver: decode, decide, encode the answer.
void measureMessageCost()
{
    constexpr int kMessages = 2'000;
    std::vector<bench::Sample> samples;
    for (const std::size_t members : std::initializer_list<std::size_t> { 30, 120, 360, 1040 }) {
        MembershipOptions options;
        const auto self = updateOf(0);
        options.self = { self.host, *self.identity, self.status };
        auto membership = Membership::create(options, [number = std::uint64_t { 0 }]() mutable { return ++number; }).value();
        MonotonicTime now(1h);
        membership.handle(HostListRead {}, now);
        MembershipMessage news;
        news.from = HostId("datacenter-1-1");
        news.incarnation = updateOf(1).status.incarnation;
        for (std::size_t i = 1; i < members; ++i)
            news.updates.push_back(updateOf(i));
        membership.handle(MembershipRequestReceived { 1, news }, now);
        news.updates.clear();
        news.acknowledged = membership.members().lastChange();
        news.acknowledgedIncarnation = self.status.incarnation;
        news.stateHash = membership.members().stateHash();
        const auto bytes = encodeMembershipMessage(news);
        const auto start = MonotonicClock::now();
        for (int i = 0; i < kMessages; ++i) {
            now += 1us;
            const auto actions
                = membership.handle(MembershipRequestReceived { 1, decodeMembershipMessage(bytes).value() }, now);
            for (const auto& action : actions) {
                if (const auto* answer = std::get_if<AnswerMembershipRequest>(&action))
                    static_cast<void>(encodeMembershipMessage(answer->message));
            }
        }
        const auto perMessage = secondsOf(MonotonicClock::now() - start) / kMessages;
        samples.push_back({ static_cast<double>(members), perMessage * 1e6 });
        std::cout << "probe answered among " << members << " members: " << perMessage * 1e6 << " us\n";
    }
    bench::printFit("membership", "processor time of an answered probe over members", "us", bench::fitLine(samples));
}

} // namespace

int main(int count, char** arguments)
{
    std::cout << std::unitbuf;
    measureState();
    measureMessageCost();
    std::vector<std::size_t> sizes { 30, 120, 360, 1040 };
    if (count > 1)
        sizes.clear();
    for (int i = 1; i < count; ++i)
        sizes.push_back(std::stoul(arguments[i]));
    Fits fits;
    for (const auto members : sizes) {
        const auto network = convergedNetwork(members);
        measureSteady(*network, fits);
        measureDetection(*network);
        measureStorm(*network, fits);
    }
    bench::printFit("membership", "octets per second out over members", "octets/s", bench::fitLine(fits.bytesOut));
    bench::printFit("membership", "region link over members", "octets/s", bench::fitLine(fits.regionBytes));
    bench::printFit(
        "membership", "octets per second out in a storm over members", "octets/s", bench::fitLine(fits.stormBytes));
}
