#include "hornbeamgate/keys/key_freshness.hpp"

#include <algorithm>

namespace hornbeamgate {
namespace {

    void extendTo(std::optional<MonotonicTime>& time, MonotonicTime deadline)
    {
        time = time ? std::max(*time, deadline) : deadline;
    }

} // namespace

Result<KeyFreshness, KeyFreshnessError> KeyFreshness::create(KeyFreshnessOptions options)
{
    if (options.maxAcceptAge <= Duration::zero() || options.peerStaleAge <= Duration::zero())
        return failure(KeyFreshnessError { "maxAcceptAge and peerStaleAge must be greater than 0" });
    if (options.maxStreamAge < options.maxAcceptAge)
        return failure(KeyFreshnessError { "maxStreamAge must not be less than maxAcceptAge" });
    if (options.peerStaleAge >= options.maxAcceptAge)
        return failure(KeyFreshnessError { "peerStaleAge must be less than maxAcceptAge" });
    return KeyFreshness(options);
}

void KeyFreshness::handle(const KeyFreshnessEvent& event, MonotonicTime now)
{
    std::visit([&](const auto& content) { on(content); }, event);
    if (isOutageEverywhere(now))
        extendTo(m_trustedUntil, now);
}

void KeyFreshness::on(const ConfigConfirmed& event)
{
    extendTo(m_confirmedUntil, event.at + m_options.maxAcceptAge);
    extendTo(m_trustedUntil, event.at + m_options.maxAcceptAge);
}

void KeyFreshness::on(const ConfigPeerReport& event)
{
    const bool canRead = event.confirmedAgo && *event.confirmedAgo < m_options.peerStaleAge;
    if (canRead)
        m_peerOutageUntil.erase(event.dataCenter);
    else
        m_peerOutageUntil[event.dataCenter] = event.sentAt + m_options.maxAcceptAge;
}

void KeyFreshness::on(const KeyDataCentersKnown& event)
{
    m_dataCenters = event.dataCenters;
}

KeyTrust KeyFreshness::trust(MonotonicTime now) const
{
    if (m_confirmedUntil && now < *m_confirmedUntil)
        return KeyTrust::Confirmed;
    return isOutageEverywhere(now) ? KeyTrust::OutageEverywhere : KeyTrust::Unconfirmed;
}

/// Returns false if no other host is known: without reports from peers, an outage of the log cannot be distinguished
/// from the isolation of this daemon.
bool KeyFreshness::isOutageEverywhere(MonotonicTime now) const
{
    if (m_dataCenters.empty())
        return false;
    return std::all_of(m_dataCenters.begin(), m_dataCenters.end(), [&](const auto& dataCenter) {
        const auto report = m_peerOutageUntil.find(dataCenter);
        return report != m_peerOutageUntil.end() && now < report->second;
    });
}

bool KeyFreshness::mustCutStreams(MonotonicTime now) const
{
    if (mayAccept(now))
        return false;
    return !m_trustedUntil || now >= *m_trustedUntil + (m_options.maxStreamAge - m_options.maxAcceptAge);
}

} // namespace hornbeamgate
