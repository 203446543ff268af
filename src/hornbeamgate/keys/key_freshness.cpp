#include "hornbeamgate/keys/key_freshness.hpp"

#include <algorithm>

namespace hornbeamgate {
namespace {

    void raise(std::optional<MonotonicTime>& time, MonotonicTime to)
    {
        time = time ? std::max(*time, to) : to;
    }

} // namespace

Result<KeyFreshness, KeyFreshnessError> KeyFreshness::create(KeyFreshnessOptions options)
{
    if (options.acceptFor <= Duration::zero() || options.witnessAge <= Duration::zero())
        return failure(KeyFreshnessError { "ages must be above zero" });
    if (options.streamFor < options.acceptFor)
        return failure(KeyFreshnessError { "streams must go on at least as long as requests are accepted" });
    if (options.witnessAge >= options.acceptFor)
        return failure(KeyFreshnessError { "peers must count as unable to read the log before requests are refused" });
    return KeyFreshness(options);
}

void KeyFreshness::handle(const KeyFreshnessEvent& event, MonotonicTime now)
{
    std::visit([&](const auto& content) { on(content); }, event);
    if (isOutageEverywhere(now))
        raise(m_trustedUntil, now);
}

void KeyFreshness::on(const ConfigConfirmed& event)
{
    raise(m_confirmedUntil, event.at + m_options.acceptFor);
    raise(m_trustedUntil, event.at + m_options.acceptFor);
}

void KeyFreshness::on(const ConfigPeerReport& event)
{
    const bool canRead = event.confirmedAgo && *event.confirmedAgo < m_options.witnessAge;
    if (canRead)
        m_witnessedUntil.erase(event.dataCenter);
    else
        m_witnessedUntil[event.dataCenter] = event.sentAt + m_options.acceptFor;
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

/// Without any other host there is no witness, and being cut off alone cannot be told from an outage.
bool KeyFreshness::isOutageEverywhere(MonotonicTime now) const
{
    if (m_dataCenters.empty())
        return false;
    return std::all_of(m_dataCenters.begin(), m_dataCenters.end(), [&](const auto& dataCenter) {
        const auto witness = m_witnessedUntil.find(dataCenter);
        return witness != m_witnessedUntil.end() && now < witness->second;
    });
}

bool KeyFreshness::mustCutStreams(MonotonicTime now) const
{
    if (mayAccept(now))
        return false;
    return !m_trustedUntil || now >= *m_trustedUntil + (m_options.streamFor - m_options.acceptFor);
}

} // namespace hornbeamgate
