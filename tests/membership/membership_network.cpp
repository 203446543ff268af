#include "membership/membership_network.hpp"

#include <algorithm>

namespace hornbeamgate::test {

using namespace std::chrono_literals;

MembershipNetwork::MembershipNetwork(std::uint32_t seed, MembershipFault fault)
    : m_fault(fault)
    , m_random(seed)
{
}

std::size_t MembershipNetwork::add(const std::string& dataCenter, int region, MemberRole role)
{
    const auto number = m_nodes.size();
    Node node;
    node.host = HostId(dataCenter + "-" + std::to_string(number));
    node.dataCenter = dataCenter;
    node.region = region;
    node.role = role;
    m_byAddress["10.20.30.40:" + std::to_string(7000 + number)] = number;
    m_nodes.push_back(std::move(node));
    return number;
}

void MembershipNetwork::start(std::size_t number)
{
    auto& node = m_nodes[number];
    node.paused = false;
    node.leaving = false;
    node.deferredEvents.clear();
    node.previousIncarnation = node.incarnation;
    if (node.incarnation == 0 || m_fault != MembershipFault::IncarnationReused)
        node.incarnation = 1'796'000'000'000 + static_cast<std::uint64_t>(m_now.time_since_epoch() / 1ms) + number;
    MembershipOptions options;
    options.self.host = node.host;
    options.self.identity = { "10.20.30.40:" + std::to_string(7000 + number), node.role, DataCenterId(node.dataCenter),
        EndpointId(node.role == MemberRole::Agent ? "engine-" + std::to_string(number) : "") };
    options.self.status.incarnation = Incarnation(node.incarnation);
    auto random = [generator = std::mt19937_64(m_random())]() mutable { return generator(); };
    node.membership.emplace(Membership::create(options, random).value());
    handle(number, MembershipTimerExpired {});
}

void MembershipNetwork::crash(std::size_t number)
{
    m_nodes[number].membership.reset();
    m_nodes[number].paused = false;
}

void MembershipNetwork::pause(std::size_t number)
{
    m_nodes[number].paused = isRunning(number);
}

void MembershipNetwork::resume(std::size_t number)
{
    auto& node = m_nodes[number];
    if (!node.paused)
        return;
    node.paused = false;
    for (const auto& event : std::exchange(node.deferredEvents, {}))
        handle(number, event);
    handle(number, MembershipTimerExpired {});
}

void MembershipNetwork::leave(std::size_t number)
{
    m_nodes[number].leaving = true;
    if (m_fault != MembershipFault::LeaveNotAnnounced)
        handle(number, LeaveRequested {});
}

void MembershipNetwork::measureLoad(std::size_t number, std::uint8_t load)
{
    handle(number, LoadMeasured { load });
}

void MembershipNetwork::readHostList(std::size_t number, unsigned missingPercent)
{
    HostListRead list;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        const auto& node = m_nodes[other];
        if (node.incarnation != 0 && random(100) >= missingPercent)
            list.hosts.push_back({ node.host, "10.20.30.40:" + std::to_string(7000 + other),
                DataCenterId(node.dataCenter), false });
    }
    handle(number, list);
}

void MembershipNetwork::run(Duration time)
{
    const auto end = m_now + time;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        auto next = m_queue.extract(m_queue.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = end;
}

std::optional<std::string> MembershipNetwork::inconsistency() const
{
    for (std::size_t viewer = 0; viewer < m_nodes.size(); ++viewer) {
        if (!isRunning(viewer) || m_nodes[viewer].paused)
            continue;
        for (const auto& node : m_nodes) {
            const auto* seen = at(viewer).find(node.host);
            const auto text = m_nodes[viewer].host.value() + " sees " + node.host.value() + ' '
                + (seen == nullptr ? "as absent" : std::string(toString(seen->status.state)));
            if (!node.membership) {
                if (seen != nullptr && seen->status.state != MemberState::Dead && hasLiveObserver(node.dataCenter))
                    return text + " although it is not running";
                if (at(viewer).usable(node.host))
                    return text + " and considers it usable although it is not running";
                continue;
            }
            if (seen == nullptr || seen->status.incarnation.value() != node.incarnation)
                return text + ", but does not know its current incarnation";
            if (node.incarnation == node.previousIncarnation)
                return text + ", but its incarnation equals that of its previous process";
            const auto expected = node.leaving ? MemberState::Leaving : MemberState::Alive;
            if (seen->status.state != expected)
                return text + ", expected " + std::string(toString(expected));
            if (at(viewer).usable(node.host) != !node.leaving)
                return text + ", but usable() does not match its state";
        }
    }
    return std::nullopt;
}

/// Whether a running member of `dataCenter` is left to detect failures in it.
bool MembershipNetwork::hasLiveObserver(const std::string& dataCenter) const
{
    return std::any_of(m_nodes.begin(), m_nodes.end(),
        [&](const Node& node) { return node.membership && node.dataCenter == dataCenter; });
}

bool MembershipNetwork::usableAnywhere(std::size_t number) const
{
    for (std::size_t viewer = 0; viewer < m_nodes.size(); ++viewer) {
        if (viewer != number && isRunning(viewer) && at(viewer).usable(m_nodes[number].host))
            return true;
    }
    return false;
}

void MembershipNetwork::handle(std::size_t number, const MembershipEvent& event)
{
    auto& node = m_nodes[number];
    if (!node.membership)
        return;
    if (node.paused) {
        node.deferredEvents.push_back(event);
        return;
    }
    for (const auto& action : node.membership->handle(event, m_now)) {
        if (const auto* request = std::get_if<SendMembershipRequest>(&action))
            dispatch(number, *request);
        else if (const auto* answer = std::get_if<AnswerMembershipRequest>(&action))
            dispatch(number, *answer);
        else if (const auto* changed = std::get_if<MemberChanged>(&action); changed != nullptr && onMemberChanged)
            onMemberChanged(number, changed->member);
    }
    scheduleWake(number);
}

void MembershipNetwork::scheduleWake(std::size_t number)
{
    auto& node = m_nodes[number];
    const auto deadline = node.membership->nextDeadline();
    if (!deadline || (node.wakeAt > m_now && node.wakeAt <= *deadline))
        return;
    node.wakeAt = std::max(*deadline, m_now + 1ms);
    at(node.wakeAt, [this, number, wakeAt = node.wakeAt] {
        if (m_nodes[number].wakeAt != wakeAt || m_nodes[number].paused)
            return;
        handle(number, MembershipTimerExpired {});
    });
}

void MembershipNetwork::dispatch(std::size_t number, const SendMembershipRequest& request)
{
    const auto found = m_byAddress.find(request.address);
    if (found == m_byAddress.end())
        return;
    const auto target = found->second;
    const auto exchange = ++m_lastExchange;
    m_pendingExchanges[exchange] = { number, request.exchange };
    const auto incarnation = m_nodes[target].incarnation;
    if (m_fault == MembershipFault::FailuresHidden && !isRunning(target)) {
        MembershipMessage forged;
        forged.from = m_nodes[target].host;
        forged.incarnation = Incarnation(incarnation);
        return dispatch(target, AnswerMembershipRequest { exchange, forged });
    }
    transmit(number, target, request.message, [this, target, exchange](const MembershipMessage& message) {
        handle(target, MembershipRequestReceived { exchange, message });
    });
}

void MembershipNetwork::dispatch(std::size_t number, const AnswerMembershipRequest& answer)
{
    const auto pending = m_pendingExchanges.find(answer.exchange);
    if (pending == m_pendingExchanges.end())
        return;
    const auto [requester, exchange] = pending->second;
    m_pendingExchanges.erase(pending);
    const auto incarnation = m_nodes[requester].incarnation;
    transmit(number, requester, answer.message,
        [this, requester = requester, exchange = exchange, incarnation](const MembershipMessage& message) {
            if (m_nodes[requester].incarnation == incarnation)
                handle(requester, MembershipAnswerReceived { exchange, message });
        });
}

void MembershipNetwork::transmit(std::size_t from, std::size_t to, const MembershipMessage& message,
    std::function<void(const MembershipMessage&)> deliver)
{
    auto& sender = m_nodes[from];
    auto& receiver = m_nodes[to];
    const auto bytes = encodeMembershipMessage(injectFault(message));
    ++sender.traffic.messages;
    sender.traffic.bytesOut += bytes.size();
    const bool crossesRegions = sender.region != receiver.region;
    if (crossesRegions)
        m_regionLinkBytes += bytes.size();
    if (random(100) < m_lossPercent || m_partitions.contains(std::minmax(sender.region, receiver.region)))
        return;
    if (m_blockedHosts.contains(std::minmax(from, to)))
        return;
    if (isRunning(to))
        receiver.traffic.bytesIn += bytes.size();
    const Duration delay = crossesRegions ? 30ms : (sender.dataCenter == receiver.dataCenter ? 500us : 1500us);
    // With losses enabled, 1 of 20 messages arrives after the answer timeout.
    const Duration extraDelay = m_lossPercent > 0 && random(20) == 0 ? 3s : 0s;
    at(m_now + delay + extraDelay,
        [bytes, deliver = std::move(deliver)] { deliver(decodeMembershipMessage(bytes).value()); });
}

MembershipMessage MembershipNetwork::injectFault(const MembershipMessage& message) const
{
    auto faulty = message;
    const auto remove = [&](auto shouldRemove) {
        auto& updates = faulty.updates;
        updates.erase(std::remove_if(updates.begin(), updates.end(), shouldRemove), updates.end());
    };
    if (m_fault == MembershipFault::RefutationLost) {
        remove([&](const MemberUpdate& update) {
            return update.status.state == MemberState::Alive && update.status.revision > 0;
        });
    }
    if (m_fault == MembershipFault::UpdatesNotForwarded)
        remove([&](const MemberUpdate& update) { return update.host != message.from; });
    return faulty;
}

} // namespace hornbeamgate::test
