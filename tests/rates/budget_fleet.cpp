#include "rates/budget_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamgate::testing {

namespace {

    constexpr TrueTime kMinWakeDelay = std::chrono::milliseconds(1);
    constexpr auto kLongLifetime = std::chrono::hours(2);

    std::int64_t scaled(TrueTime span, double factor)
    {
        return static_cast<std::int64_t>(std::llround(static_cast<double>(span.count()) * factor));
    }

} // namespace

BudgetFleet::BudgetFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    for (const auto& region : m_options.layout.regions) {
        for (std::size_t i = 0; i < m_options.hostsPerRegion; ++i) {
            Node node;
            node.host = HostId(region.value() + "-" + std::to_string(i));
            node.region = region;
            m_byHost.emplace(node.host, m_nodes.size());
            m_nodes.push_back(std::move(node));
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
}

MonotonicTime BudgetFleet::localClock(const Node& node) const
{
    return MonotonicTime(std::chrono::hours(1) + TrueTime(scaled(m_now - node.bootedAt, 1 + node.drift)));
}

TrueTime BudgetFleet::trueTimeOf(const Node& node, MonotonicTime local) const
{
    const auto left = local - localClock(node);
    return m_now + std::max(TrueTime(scaled(left, 1 / (1 + node.drift))), kMinWakeDelay);
}

void BudgetFleet::schedule(TrueTime at, std::size_t node, std::function<void()> run)
{
    m_events.push({ at, m_eventOrder++, node, std::move(run) });
}

void BudgetFleet::runUntil(TrueTime until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        auto event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        auto& node = m_nodes[event.node];
        if (node.pausedUntil > m_now)
            schedule(node.pausedUntil, event.node, std::move(event.run));
        else
            event.run();
    }
    m_now = until;
}

void BudgetFleet::start(std::size_t index)
{
    auto& node = m_nodes[index];
    ++node.epoch;
    node.bootedAt = m_now;
    node.wakeAt = TrueTime::max();
    node.drift = std::uniform_real_distribution<>(-m_options.clockDrift, m_options.clockDrift)(m_random);
    node.hasReadLog = false;
    const Incarnation incarnation(m_random());
    LenderOptions lenderOptions;
    lenderOptions.self = { node.host, node.host.value() + ":7000", incarnation };
    lenderOptions.firstSequence = m_random() >> 1U;
    lenderOptions.region = node.region;
    lenderOptions.layout = m_options.layout;
    lenderOptions.timing = m_options.timing;
    node.lender.emplace(*BudgetLender::create(lenderOptions));
    BorrowerOptions borrowerOptions;
    borrowerOptions.host = node.host;
    borrowerOptions.region = node.region;
    borrowerOptions.firstSequence = m_random() >> 1U;
    borrowerOptions.layout = m_options.layout;
    node.borrower.emplace(*BudgetBorrower::create(borrowerOptions));
    LiveHostsChanged live;
    for (const auto& other : m_nodes) {
        if (other.region == node.region)
            live.hosts.push_back(other.host);
    }
    handle(index, LenderEvent { live });
    handle(index, LenderEvent { BudgetRulesChanged { m_rules } });
    handle(index, BorrowerEvent { BudgetRulesChanged { m_rules } });
    const TrueTime firstPoll(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(m_options.logPoll.count())));
    schedule(m_now + firstPoll, index, [this, index, epoch = node.epoch] {
        if (m_nodes[index].epoch == epoch)
            pollLog(index);
    });
}

void BudgetFleet::setRules(const std::vector<WorkspaceRule>& rules)
{
    m_rules = rules;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!isUp(i))
            continue;
        handle(i, LenderEvent { BudgetRulesChanged { m_rules } });
        handle(i, BorrowerEvent { BudgetRulesChanged { m_rules } });
    }
}

RequestId BudgetFleet::spend(std::size_t node, const WorkspaceId& workspace, const Amounts& need)
{
    const RequestId request(m_nextRequest++);
    if (!isUp(node))
        return request;
    m_waiting[request] = { m_now, workspace, node, need, false };
    schedule(m_now, node, [this, node, request, workspace, need] {
        handle(node, BorrowerEvent { SpendRequested { request, workspace, need } });
    });
    runUntil(m_now);
    return request;
}

void BudgetFleet::settle(RequestId request, std::int64_t usedTokens)
{
    const auto found = admissions.find(request);
    if (found == admissions.end() || found->second.settled)
        return;
    auto& admission = found->second;
    const auto& node = m_nodes[admission.node];
    if (!isUp(admission.node) || node.bootedAt > admission.at || node.pausedUntil > m_now)
        return;
    admission.settled = true;
    admission.charged.tokens = std::min(admission.charged.tokens, usedTokens);
    handle(admission.node, BorrowerEvent { ReservationSettled { request, admission.workspace, usedTokens } });
}

void BudgetFleet::pause(std::size_t node, TrueTime span)
{
    m_nodes[node].pausedUntil = m_now + span;
}

void BudgetFleet::crash(std::size_t node)
{
    ++m_nodes[node].epoch;
    m_nodes[node].lender.reset();
    m_nodes[node].borrower.reset();
    m_nodes[node].pausedUntil = {};
}

void BudgetFleet::leave(std::size_t node)
{
    if (isUp(node) && m_nodes[node].pausedUntil <= m_now)
        handle(node, LenderEvent { BudgetShutdownRequested {} });
}

void BudgetFleet::handle(std::size_t index, const LenderEvent& event)
{
    auto& node = m_nodes[index];
    if (!node.lender)
        return;
    for (const auto& action : node.lender->handle(event, localClock(node))) {
        if (const auto* append = std::get_if<AppendRecord>(&action))
            execute(index, *append);
        if (const auto* answer = std::get_if<SendLoanReply>(&action))
            execute(index, *answer);
        if (const auto* message = std::get_if<SendLoanMessage>(&action))
            execute(index, *message, true);
        if (const auto* changed = std::get_if<ShardHomeChanged>(&action))
            handle(index, BorrowerEvent { *changed });
    }
    scheduleWake(index);
}

void BudgetFleet::handle(std::size_t index, const BorrowerEvent& event)
{
    auto& node = m_nodes[index];
    if (!node.borrower)
        return;
    for (const auto& action : node.borrower->handle(event, localClock(node))) {
        if (const auto* message = std::get_if<SendLoanMessage>(&action))
            execute(index, *message, false);
        if (const auto* admitted = std::get_if<SpendAdmitted>(&action)) {
            auto admission = m_waiting.extract(admitted->request);
            admission.mapped().at = m_now;
            admissions.insert(std::move(admission));
        }
        if (const auto* refused = std::get_if<SpendRefused>(&action))
            refusals.emplace(refused->request, refused->reason);
    }
    scheduleWake(index);
}

void BudgetFleet::execute(std::size_t node, const SendLoanMessage& action, bool fromLender)
{
    if (const auto* request = std::get_if<LoanRequest>(&action.message); request != nullptr && fromLender)
        m_transfers.insert(request->sequence);
    send(node, action.to, action.message);
}

void BudgetFleet::execute(std::size_t node, const SendLoanReply& action)
{
    send(node, action.to, action.reply);
}

void BudgetFleet::send(std::size_t from, const HostId& to, const LoanMessage& message)
{
    const auto target = nodeOf(to);
    const bool crossRegion = m_nodes[from].region != m_nodes[target].region;
    const auto bytes = encodeLoanMessage(message);
    if (from != target) {
        traffic.messages += 1;
        traffic.bytes += bytes.size();
        traffic.crossRegionMessages += crossRegion ? 1 : 0;
        traffic.crossRegionBytes += crossRegion ? bytes.size() : 0;
    }
    const int copies = chance(faults.duplicated) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (from != target && ((crossRegion && partitioned) || chance(faults.dropped)))
            continue;
        auto delay = from == target ? TrueTime {} : crossRegion ? m_options.crossRegionDelay
                                                                : m_options.sameRegionDelay;
        if (faults.extraDelay.count() > 0)
            delay += TrueTime(static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(faults.extraDelay.count())));
        schedule(m_now + delay, target, [this, target, bytes] { deliver(target, bytes); });
    }
}

void BudgetFleet::deliver(std::size_t node, const Bytes& bytes)
{
    auto message = decodeLoanMessage(bytes);
    if (!message)
        throw std::logic_error("a message cannot be decoded");
    if (auto* request = std::get_if<LoanRequest>(&*message))
        handle(node, LenderEvent { LoanRequestReceived { std::move(*request) } });
    else if (auto* closures = std::get_if<LoanClosures>(&*message))
        handle(node, LenderEvent { LoanClosuresReceived { std::move(*closures) } });
    else if (auto* homesRequest = std::get_if<ShardHomesRequest>(&*message))
        handle(node, LenderEvent { ShardHomesRequestReceived { std::move(*homesRequest) } });
    else if (auto* homes = std::get_if<ShardHomesReply>(&*message))
        handle(node, LenderEvent { ShardHomesReplyReceived { std::move(*homes) } });
    else
        deliverReply(node, std::get<LoanReply>(*message));
}

void BudgetFleet::deliverReply(std::size_t node, const LoanReply& reply)
{
    if (m_transfers.contains(reply.sequence))
        handle(node, LenderEvent { LoanReplyReceived { reply } });
    else
        handle(node, BorrowerEvent { LoanReplyReceived { reply } });
}

void BudgetFleet::execute(std::size_t index, const AppendRecord& action)
{
    traffic.appends += 1;
    const auto report = [this, index, epoch = m_nodes[index].epoch](const AppendEvent& event) {
        schedule(m_now + m_options.sameRegionDelay, index, [this, index, epoch, event] {
            if (m_nodes[index].epoch == epoch)
                handle(index, LenderEvent { event });
        });
    };
    if (logDown)
        return report(AppendRefused { action.ticket });
    if (chance(lostAppendReplies)) {
        const TrueTime delay(static_cast<std::int64_t>(m_random() % 3'000'000'000U));
        // The record is appended later, even if its writer has ended by then.
        schedule(m_now + delay, index, [this, data = action.data] { m_log.push_back(data); });
        return report(AppendOutcomeUnknown { action.ticket });
    }
    m_log.push_back(action.data);
    report(AppendSucceeded { action.ticket, LogOffset(m_log.size() - 1) });
}

Bytes BudgetFleet::alteredRecord(std::size_t index, std::size_t offset) const
{
    const auto injectedDefect = m_options.injectedDefect;
    const bool altersRecords = injectedDefect == InjectedDefect::EarlyTakeover || injectedDefect == InjectedDefect::ClaimDeadlineIgnored
        || injectedDefect == InjectedDefect::FullBurstOnRestart;
    if (!altersRecords)
        return m_log[offset];
    auto record = *decodeClaimRecord(m_log[offset]);
    const bool own = record.holder.host == m_nodes[index].host;
    if (injectedDefect == InjectedDefect::EarlyTakeover && !own)
        record.lifetime = std::chrono::seconds(1);
    if (injectedDefect == InjectedDefect::ClaimDeadlineIgnored && own)
        record.lifetime = kLongLifetime;
    if (injectedDefect == InjectedDefect::FullBurstOnRestart && own && !m_nodes[index].hasReadLog) {
        record.kind = ClaimKind::Release;
        for (const auto& rule : m_rules) {
            const auto shares = m_options.layout.sharesOf(rule);
            for (std::uint32_t share = 0; share < shares.size(); ++share) {
                const Amounts full { static_cast<std::int64_t>(shares[share].limits.requests.burst),
                    static_cast<std::int64_t>(shares[share].limits.tokens.burst) };
                record.accounts.push_back({ rule.id, share, full, {} });
            }
        }
    }
    return encodeClaimRecord(record);
}

void BudgetFleet::pollLog(std::size_t index)
{
    auto& node = m_nodes[index];
    schedule(m_now + m_options.logPoll, index, [this, index, epoch = node.epoch] {
        if (m_nodes[index].epoch == epoch)
            pollLog(index);
    });
    const auto position = node.lender->position().value();
    if (logDown)
        return handle(index, LenderEvent { LogReadEvent { LogUnreachable {} } });
    if (position < m_logFirst)
        return handle(index, LenderEvent { LogReadEvent { LogTrimmed { LogOffset(m_logFirst) } } });
    if (position == m_log.size() && node.hasReadLog)
        return;
    LogRecordsRead read { {}, LogOffset(m_log.size()) };
    for (auto offset = position; offset < m_log.size(); ++offset)
        read.records.push_back({ LogOffset(offset), alteredRecord(index, offset) });
    node.hasReadLog = true;
    handle(index, LenderEvent { LogReadEvent { std::move(read) } });
}

void BudgetFleet::scheduleWake(std::size_t index)
{
    auto& node = m_nodes[index];
    std::optional<MonotonicTime> next;
    if (node.lender)
        next = node.lender->nextDeadline(localClock(node));
    if (node.borrower) {
        if (const auto other = node.borrower->nextDeadline())
            next = std::min(next.value_or(*other), *other);
    }
    if (!next)
        return;
    const auto at = trueTimeOf(node, *next);
    if (at >= node.wakeAt)
        return;
    node.wakeAt = at;
    schedule(at, index, [this, index, at, epoch = node.epoch] {
        if (m_nodes[index].epoch == epoch && m_nodes[index].wakeAt == at)
            wake(index);
    });
}

void BudgetFleet::wake(std::size_t index)
{
    m_nodes[index].wakeAt = TrueTime::max();
    handle(index, LenderEvent { BudgetTimerExpired {} });
    handle(index, BorrowerEvent { BudgetTimerExpired {} });
}

std::size_t BudgetFleet::nodeOf(const HostId& host) const
{
    return m_byHost.at(host);
}

bool BudgetFleet::chance(double fraction)
{
    return fraction > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < fraction;
}

double maxLimitExcess(const std::vector<std::pair<TrueTime, double>>& amounts, const RateLimit& limit)
{
    // A token bucket that starts full and may go negative: its level is below zero exactly when some window exceeds the
    // limit.
    double level = limit.burst;
    double excess = -limit.burst;
    TrueTime last {};
    for (const auto& [at, amount] : amounts) {
        const std::chrono::duration<double> elapsed = at - last;
        level = std::min(limit.burst, level + limit.perSecond * elapsed.count()) - amount;
        excess = std::max(excess, -level);
        last = at;
    }
    return excess;
}

double maxLimitExcess(const BudgetFleet& fleet, const WorkspaceRule& rule)
{
    std::vector<Admission> admitted;
    for (const auto& [request, admission] : fleet.admissions) {
        if (admission.workspace == rule.id)
            admitted.push_back(admission);
    }
    std::stable_sort(admitted.begin(), admitted.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    std::vector<std::pair<TrueTime, double>> requests;
    std::vector<std::pair<TrueTime, double>> tokens;
    for (const auto& admission : admitted) {
        requests.emplace_back(admission.at, static_cast<double>(admission.charged.requests));
        tokens.emplace_back(admission.at, static_cast<double>(admission.charged.tokens));
    }
    return std::max(maxLimitExcess(requests, rule.requests), maxLimitExcess(tokens, rule.tokens));
}

} // namespace hornbeamgate::testing
